"""Distribution of the configuration to all processes, without going back in time.

A few entry hosts of each data centre read the object API and push every change to the
other entry hosts, which push it to the agents. `ConfigurationSync` does this for one
process. `gather_rollout` determines which processes have applied a revision.
"""

from .members import MembersView
from .rollout import Rollout, gather_revisions, gather_rollout
from .sync import ConfigurationSync

__all__ = [
    "ConfigurationSync",
    "MembersView",
    "Rollout",
    "gather_revisions",
    "gather_rollout",
]

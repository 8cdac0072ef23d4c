"""Keeps the configuration in force everywhere, and never lets it go back.

A few entry hosts of each data centre read the object API and pass every change on
to the other entry hosts, and those to the agents. `ConfigurationSync` does a
process's part of it. `gather_rollout` tells which processes have a revision in
force.
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

"""Chooses the agents that run requests.

`AgentConnections` keeps an entry host connected to its subset of agents,
`AgentTable` holds what they report, and `Router` chooses one for each attempt.
"""

from .connections import AgentConnections
from .prefill_schedule import PrefillSchedule
from .router import Router
from .table import AgentTable, AgentView

__all__ = ["AgentConnections", "AgentTable", "AgentView", "PrefillSchedule", "Router"]

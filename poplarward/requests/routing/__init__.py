"""Routing of requests from entry hosts to agents.

`AgentConnections` keeps an entry host connected to its subset of the agents,
`AgentTable` holds their load reports, and `Router` chooses an agent for each attempt.
"""

from .connections import AgentConnections
from .prefill_schedule import PrefillSchedule
from .router import Router
from .table import AgentTable, AgentView

__all__ = ["AgentConnections", "AgentTable", "AgentView", "PrefillSchedule", "Router"]

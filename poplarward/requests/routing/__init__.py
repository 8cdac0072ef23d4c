"""Chooses the agents that run requests.

`AgentConnections` keeps an entry host connected to its subset of agents,
`AgentTable` holds what they report, and `Router` chooses one for each attempt.
"""

from .connections import AgentConnections
from .router import Router
from .table import AgentTable, AgentView
from .turns import PrefillTurns

__all__ = ["AgentConnections", "AgentTable", "AgentView", "PrefillTurns", "Router"]

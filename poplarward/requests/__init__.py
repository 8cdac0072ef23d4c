"""Carries callers' requests to upstreams and their answers back.

On an entry host the `Gateway` takes callers' requests, `Admission` limits and queues
them, the `Router` chooses agents, and the `AttemptLoop` runs attempts over the
`Relay`. On an upstream host the `Executor` runs attempts at the upstream.
"""

from .addresses import named_addresses
from .admission import Admission
from .attempts import AttemptLoop
from .directory import Directory
from .execution import Executor
from .gateway import Gateway
from .limits import WorkspaceLimits
from .pools import UpstreamPools
from .relay import Relay
from .routing import (
    AgentConnections,
    AgentTable,
    AgentView,
    PrefillTurns,
    Router,
)
from .upstream import UpstreamSettings

__all__ = [
    "Admission",
    "AgentConnections",
    "AgentTable",
    "AgentView",
    "AttemptLoop",
    "Directory",
    "Executor",
    "Gateway",
    "PrefillTurns",
    "Relay",
    "Router",
    "UpstreamPools",
    "UpstreamSettings",
    "WorkspaceLimits",
    "named_addresses",
]

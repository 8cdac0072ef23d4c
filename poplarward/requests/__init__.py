"""Carries callers' requests to upstreams and their answers back.

On an entry host the `Gateway` takes callers' requests and the `Relay` runs attempts
at agents. On an upstream host the `Executor` runs attempts at the upstream.
"""

from .execution import Executor, UpstreamSettings
from .gateway import Gateway
from .relay import AttemptStream, Relay
from .routing import AgentTable, AgentView, choose_agent

__all__ = [
    "AgentTable",
    "AgentView",
    "AttemptStream",
    "Executor",
    "Gateway",
    "Relay",
    "UpstreamSettings",
    "choose_agent",
]

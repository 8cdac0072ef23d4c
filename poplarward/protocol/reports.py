"""Messages by which agents tell entry hosts what they serve and their load."""

from __future__ import annotations

from enum import StrEnum

from .codec import message

__all__ = ["AgentReport", "ReportInterval", "UpstreamKind", "UpstreamState"]


class UpstreamKind(StrEnum):
    """What stands behind an agent."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(StrEnum):
    """Whether an agent takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"


@message(250)
class ReportInterval:
    """Asks an agent to report to this entry host no more often than this."""

    interval_ms: int


@message(20)
class AgentReport:
    """What an agent serves and how much it has in hand.

    Attributes
    ----------
    upstream : str
        Model group or plain service that the agent belongs to.
    state : UpstreamState
        Only a live agent takes new work.
    n_running, n_waiting : int
        Requests that have had a piece of their answer, and those that have not.
    n_tokens_outstanding : int
        Prefill and decode tokens still to be worked through.
    n_slots : int
        Requests that the upstream runs at once.
    kv_bytes_used, kv_bytes_limit : int
        The engine's memory for attention state; 0 for plain services.
    report_number : int
        Rises with each report of one start of the agent.
    last_sequence : int
        Greatest sequence number that the agent received on this connection.
    n_received : int
        Requests received since the agent's start.
    n_suspects : int
        Requests in hand that were on an upstream when it crashed.
    """

    upstream_kind: UpstreamKind
    upstream: str
    state: UpstreamState
    n_running: int
    n_waiting: int
    n_tokens_outstanding: int
    n_slots: int
    kv_bytes_used: int
    kv_bytes_limit: int
    report_number: int
    last_sequence: int = 0
    n_received: int = 0
    n_suspects: int = 0

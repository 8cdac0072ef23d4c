"""Load reports that agents send to entry hosts."""

from __future__ import annotations

from enum import StrEnum

from .codec import message

__all__ = ["AgentReport", "ReportInterval", "UpstreamKind", "UpstreamState"]


class UpstreamKind(StrEnum):
    """Kind of upstream that an agent serves."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(StrEnum):
    """Whether an agent accepts new requests; ``LEAVING`` agents are draining."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"


@message(250)
class ReportInterval:
    """Sets the minimum interval between an agent's reports to this entry host."""

    interval_ms: int


@message(20)
class AgentReport:
    """Upstream and load of an agent.

    Attributes
    ----------
    upstream : str
        Model group or plain service that the agent belongs to.
    state : UpstreamState
        Only a live agent accepts new requests.
    n_running, n_waiting : int
        Requests that have received a piece of their response, and the others.
    n_tokens_outstanding : int
        Prefill and decode tokens still to be processed.
    n_slots : int
        Requests that the upstream runs concurrently.
    kv_bytes_used, kv_bytes_limit : int
        Use and size of the engine's KV cache; 0 for plain services.
    report_number : int
        Increases with each report since the agent's start.
    last_sequence : int
        Greatest sequence number that the agent received on this connection.
    n_received : int
        Requests received since the agent's start.
    n_suspects : int
        Requests in flight that were on an upstream when it crashed.
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

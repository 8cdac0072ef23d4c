"""Configuration, upstreams and callers' requests, as decoded by an entry host."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..transport.http1_exchange import CallerLimits

__all__ = [
    "CallerRequest",
    "Configuration",
    "EngineProfile",
    "Repeatability",
    "Route",
    "Service",
    "ServiceWeight",
    "UpstreamEntry",
    "Workspace",
]


class Repeatability(enum.Enum):
    """How often a request may run.

    ``STREAM`` requests have event streams as responses; they count as ``ONCE`` unless
    their route allows resuming them.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceWeight(NamedTuple):
    """A service that a route leads to, and its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Which requests go to which services, with their objectives and limits.

    Attributes
    ----------
    timeout_ms : float
        Time within which a request has its final response.
    latency_objective_ms : float
        Time within which a response, or a stream's first event, is on time.
    pause_objective_ms : float
        Longest pause between a stream's events that is on time; 0 without objective.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Upstreams that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_ms: float
    latency_objective_ms: float
    pause_objective_ms: float
    priority: int
    targets: tuple[ServiceWeight, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run already may be sent again."""
        match self.repeatability:
            case Repeatability.IDEMPOTENT:
                return True
            case Repeatability.STREAM:
                return self.is_resumable
            case Repeatability.ONCE:
                return False


class EngineProfile(NamedTuple):
    """A model engine's published timing and the dimensions of its expert maps.

    Attributes
    ----------
    n_slots : int
        Requests that one rank runs at once.
    kv_tokens : int
        Tokens that one rank's KV cache holds.
    step_ms, per_sequence_ms, context_ms_per_k_tokens : float
        Time of a token step: fixed, per running request, and per 1,000 tokens of
        context.
    prefill_tokens_per_s : float
        Rate of prefill.
    steps_per_pass : int
        Token steps of one pass of the group.
    report_lag_ms : float
        Age of a rank's reports.
    mean_prompt_tokens, mean_answer_tokens : float
    n_layers, n_experts, n_expert_slots, n_spare_slots : int
        Sets of layers that share one placement; experts of a set; expert slots of a
        rank for a set, and how many of these one change may replace. All 0 without
        expert maps.
    expert_mb, link_mbps : float
        Weights of one expert, and the rate at which a rank receives them.
    expert_share : float
        Share of the work that is done by experts.
    """

    n_slots: int
    kv_tokens: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k_tokens: float
    prefill_tokens_per_s: float
    steps_per_pass: int
    report_lag_ms: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    n_layers: int
    n_experts: int
    n_expert_slots: int
    n_spare_slots: int
    expert_mb: float
    link_mbps: float
    expert_share: float


class Service(NamedTuple):
    """A set of interchangeable upstreams.

    Attributes
    ----------
    name : str
    max_connections : int
    engine : EngineProfile or None
        None for plain services.
    health_path : str
        Path of its upstreams' health probe, empty without one.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None
    health_path: str = ""


class Workspace(NamedTuple):
    """A customer, the keys of its callers, and its priority, None for the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Configuration(NamedTuple):
    """One version of everything that operators configure."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...]


class UpstreamEntry(NamedTuple):
    """An upstream as the registry lists it.

    Attributes
    ----------
    id : str
        Identifies the upstream; its address may be reused by another one.
    address : str
        IP number and port.
    is_draining : bool
        Whether it takes no new requests.
    started_at_ms : int
        Unix time of its start; an upstream that restarts under the same id has lost all
        state.
    """

    id: str
    service: str
    address: str
    data_centre: str
    n_slots: int
    is_draining: bool
    started_at_ms: int


class CallerRequest(NamedTuple):
    """What the headers of a caller's request state.

    Attributes
    ----------
    id : str
        Differs for each attempt of a caller.
    time_left_ms : float or None
        How long the caller will wait, counted from arrival.
    key : str or None
    last_event_id : int or None
        Last event that the caller has received, if it resumes a stream.
    prompt_tokens, max_answer_tokens : int
        Length of the prompt, and upper bound of the answer's; 0 for plain requests.
    expected_tokens : int or None
        The caller's own estimate of the answer's length, often far off.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share.
    """

    id: str
    host: str
    path: str
    time_left_ms: float | None
    key: str | None
    last_event_id: int | None
    prompt_tokens: int
    max_answer_tokens: int
    expected_tokens: int | None
    shared_parts: tuple[str, ...] = ()

    @property
    def estimated_answer_tokens(self) -> int | None:
        """Expected length of the answer within its upper bound, None if not known."""
        if self.expected_tokens is None:
            return None
        return min(self.expected_tokens, self.max_answer_tokens or self.expected_tokens)

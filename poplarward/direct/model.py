"""What an entry host knows of its configuration, upstreams and callers' requests."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..transport.http1_server import CallerLimits

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

    ``STREAM`` answers are events; they count as ``ONCE`` unless their route lets
    them be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceWeight(NamedTuple):
    """A service that a route leads to, and its part of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Which requests go to which services, and what their callers expect.

    Attributes
    ----------
    timeout_ms : float
        A request has its final answer by then.
    latency_objective_ms : float
        An answer, or a stream's first event, is on time until then.
    pause_objective_ms : float
        Longest pause between a stream's events that is still on time; 0 if none.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Upstreams that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may go on at another upstream.
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
        """Whether a request that may have run may be sent once more."""
        match self.repeatability:
            case Repeatability.IDEMPOTENT:
                return True
            case Repeatability.STREAM:
                return self.is_resumable
            case Repeatability.ONCE:
                return False


class EngineProfile(NamedTuple):
    """A model engine's published timing, and the shape of its expert maps.

    Attributes
    ----------
    n_slots : int
        Requests that one rank runs at once.
    kv_tokens : int
        Tokens that one rank's memory holds.
    step_ms, per_sequence_ms, context_ms_per_k_tokens : float
        Time of a token step: fixed, per running request, and per 1,000 tokens of
        context.
    prefill_tokens_per_s : float
        Rate at which prompts are read.
    steps_per_pass : int
        Token steps of one pass of the group.
    report_lag_ms : float
        Age of what a rank reports.
    mean_prompt_tokens, mean_answer_tokens : float
    n_layers, n_experts, n_places, n_spare : int
        Sets of experts; experts in a set; experts that a rank holds of a set, and how
        many of these one change may replace. All 0 without expert maps.
    expert_mb, link_mbps : float
        Weights of one expert, and the rate at which a rank receives them.
    expert_share : float
        Part of the work that experts do.
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
    """A set of interchangeable upstreams; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineProfile | None


class Workspace(NamedTuple):
    """A customer, the keys that its callers present, and its priority if it has one."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Configuration(NamedTuple):
    """One version of all that operators declare."""

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
        Names one upstream; an address may pass to another.
    address : str
        IP number and port.
    is_leaving : bool
        Whether it takes no new requests.
    started_at_ms : int
        Unix time of its start; an upstream that starts again under its id has
        forgotten everything.
    """

    id: str
    service: str
    address: str
    data_centre: str
    n_slots: int
    is_draining: bool
    started_at_ms: int


class CallerRequest(NamedTuple):
    """What a caller's request says of itself beside its bytes.

    Attributes
    ----------
    id : str
        New for each attempt of a caller.
    time_left_ms : float or None
        How long the caller will wait, from the arrival on.
    key : str or None
    last_event_id : int or None
        Last event of a stream that the caller has, if it resumes one.
    prompt_tokens, max_answer_tokens : int
        Size of a generation, the answer's at most; 0 for plain requests.
    expected_tokens : int or None
        The caller's own estimate of the answer's length, often far off.
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

    @property
    def estimated_answer_tokens(self) -> int | None:
        """Length of the answer to reckon with, None if nothing tells of it."""
        if self.expected_tokens is None:
            return None
        return min(self.expected_tokens, self.max_answer_tokens or self.expected_tokens)

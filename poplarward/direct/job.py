"""A request in flight through an entry host."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

from ..protocol.outcomes import Outcome
from ..requests.retries import combine_outcomes
from ..requests.suspects import part_digest, request_digest
from ..transport.buffer_budget import BufferShare
from ..transport.http1_client import BodyFraming
from ..transport.http1_exchange import Exchange
from .clock import now_ms
from .model import CallerRequest, Route
from .streams import ResumableStream

__all__ = ["Job", "ResponsePart"]


class ResponsePart(enum.Enum):
    """The part of an upstream's response that is being read."""

    HEAD = "head"
    BODY = "body"
    EVENTS = "events"


@dataclass
class Job:
    """A request in flight.

    ``first_asked_at_ms`` is when its caller first asked, estimated from the time left:
    a returning caller has less time left than its route allows. ``outcome`` is what is
    known of the effect of all attempts; one that has not ended counts as unknown.
    ``sent_at_ms`` is when the last attempt was sent, ``reading`` the part of its
    response that is being read, and ``framing`` that of the response, once its head was
    read. ``waited_ms`` is how long the request has waited for slots, for all attempts.
    ``is_logged`` tells whether the request's end was, and ``is_trial`` whether the
    request was sent although it is quarantined.
    """

    exchange: Exchange
    request: CallerRequest
    route: Route
    service: str
    workspace: str | None
    priority: int
    key: str | None
    arrived_at_ms: float
    first_asked_at_ms: float
    deadline_ms: float
    buffers: BufferShare
    outcome: Outcome = Outcome.NOT_RUN
    tried: list[str] = field(default_factory=list)
    stream: ResumableStream | None = None
    first_sent_ms: float | None = None
    last_sent_at_ms: float = 0.0
    longest_pause_ms: float = 0.0
    waited_ms: float = 0.0
    sent_at_ms: float = 0.0
    reading: ResponsePart = ResponsePart.HEAD
    framing: BodyFraming | None = None
    is_logged: bool = False
    is_trial: bool = False
    _earlier_outcome: Outcome = Outcome.NOT_RUN

    @cached_property
    def digest(self) -> int:
        """Digest that is the same whenever the request comes, at any entry host.

        The service is left out: a route may split its requests among several.
        """
        return request_digest(
            self.request.host,
            self.workspace or "",
            self.exchange.head.method,
            self.request.path,
            self.exchange.body,
        )

    @cached_property
    def part_digests(self) -> dict[int, str]:
        """Digests and ids of the parts of the prompt that other requests may share."""
        workspace = self.workspace or ""
        return {part_digest(workspace, p): p for p in self.request.shared_parts}

    def begin_attempt(self, upstream_id: str) -> None:
        """Record that the request is about to be sent to an upstream."""
        self.tried.append(upstream_id)
        self.sent_at_ms = now_ms()
        self.reading, self.framing = ResponsePart.HEAD, None
        self.buffers.clear()
        self._earlier_outcome = self.outcome
        self.outcome = combine_outcomes(self.outcome, Outcome.UNKNOWN)

    def end_attempt(self, outcome: Outcome) -> None:
        """Record what is known of the effect of the attempt begun last."""
        self.outcome = combine_outcomes(self._earlier_outcome, outcome)

    def left_ms(self) -> float:
        """Return the time until the final answer is due."""
        return self.deadline_ms - now_ms()

"""An attempt that an agent has in hand, from its arrival to its end."""

from __future__ import annotations

import math

import trio

from ..protocol import Connection
from ..protocol.requests import Head, Refusal, Submit
from .batching import ResponseBatcher
from .suspects import SlotHold, request_digest

__all__ = ["InFlightAttempt"]


class InFlightAttempt:
    """An attempt in hand.

    Attributes
    ----------
    started : bool
        Whether the upstream may have received it.
    barred : bool
        Whether it was promised that it never starts.
    is_suspect : bool
        Whether it was on an upstream that crashed.
    has_crashed : bool
        Whether the upstream crashed while it ran.
    turn : SlotHold, optional
        Its turn among the suspects.
    arrived_at, started_at : float
        When it came and when it got its slot, in seconds.
    refusal : Refusal
        Why the agent ended it, if it did.
    """

    def __init__(self, submit: Submit, connection: Connection, packer: ResponseBatcher):
        self.submit = submit
        self.connection = connection
        self.packer = packer
        self.cancel_scope = trio.CancelScope()
        self.ended = trio.Event()
        self.arrived_at = math.inf
        self.started_at = math.inf
        self.started = False
        self.barred = False
        self.is_suspect = False
        self.upstream_crashed = False
        self.turn: SlotHold | None = None
        self.refusal = Refusal.NONE
        self.n_pieces = submit.n_pieces_received
        self.head: Head | None = None
        self.body: list[bytes] = []

    @property
    def is_keyed(self) -> bool:
        """Whether its key decides if it may run."""
        return bool(self.submit.idempotency_key) and not self.submit.repeatable

    @property
    def response_started(self) -> bool:
        """Whether the upstream has begun its answer."""
        return self.n_pieces > self.submit.n_pieces_received

    def digest(self) -> int:
        """Return the number that names the request in all of its attempts."""
        submit = self.submit
        return request_digest(
            submit.pool, submit.workspace, submit.method, submit.path, submit.body
        )

    def reroute(self) -> None:
        """Stop it, so that the entry host runs it at another agent."""
        self.refusal = Refusal.LEAVING
        self.stop()

    def move(self) -> None:
        """Stop it while it runs, so that its answer is resumed at another agent."""
        if self.started and self.submit.repeatable:
            self.refusal = Refusal.MOVED
            self.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop it, unless it is running and may not be repeated."""
        if not self.started:
            self.barred = True
            self.cancel_scope.cancel()
        elif self.submit.repeatable:
            self.cancel_scope.cancel()

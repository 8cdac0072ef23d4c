"""An attempt at an agent, from its arrival to its end."""

from __future__ import annotations

import math

import trio

from ..protocol import Connection
from ..protocol.requests import Head, Refusal, Submit
from .batching import ResponseBatcher
from .suspects import SlotHold, part_digest, request_digest

__all__ = ["InFlightAttempt"]


class InFlightAttempt:
    """An attempt that is waiting or running at an agent.

    Attributes
    ----------
    started : bool
        Whether the upstream may have received the request.
    barred : bool
        Whether it must never start, since the entry host is told so.
    is_suspect : bool
        Whether the request was running at an upstream that crashed.
    upstream_crashed : bool
        Whether the upstream crashed while this attempt ran.
    suspect_slot : SlotHold, optional
        Its hold of the slot that suspects share.
    arrived_at, started_at : float
        When it arrived and when it got its slot, in seconds.
    refusal : Refusal
        Why the agent stopped it, if it did.
    """

    def __init__(self, submit: Submit, connection: Connection, packer: ResponseBatcher):
        self.submit = submit
        self.connection = connection
        self.batcher = packer
        self.cancel_scope = trio.CancelScope()
        self.ended = trio.Event()
        self.arrived_at = math.inf
        self.started_at = math.inf
        self.started = False
        self.barred = False
        self.is_suspect = False
        self.upstream_crashed = False
        self.suspect_slot: SlotHold | None = None
        self.refusal = Refusal.NONE
        self.n_pieces = submit.n_pieces_received
        self.head: Head | None = None
        self.body: list[bytes] = []

    @property
    def is_keyed(self) -> bool:
        """Whether its idempotency key decides if it may run."""
        return bool(self.submit.idempotency_key) and not self.submit.repeatable

    @property
    def response_started(self) -> bool:
        """Whether the upstream has sent a piece of the response."""
        return self.n_pieces > self.submit.n_pieces_received

    def digest(self) -> int:
        """Return the digest that identifies the request in all of its attempts."""
        submit = self.submit
        return request_digest(
            submit.pool, submit.workspace, submit.method, submit.path, submit.body
        )

    def part_digests(self) -> tuple[int, ...]:
        """Return the digests of the parts of its prompt that others may share."""
        submit = self.submit
        if not submit.prompt_prefix:
            return ()
        return (part_digest(submit.workspace, submit.prompt_prefix),)

    def reroute(self) -> None:
        """Stop the attempt so that the entry host sends it to another agent."""
        self.refusal = Refusal.LEAVING
        self.stop()

    def move(self) -> None:
        """Stop the running attempt so that it is resumed at another agent."""
        if self.started and self.submit.repeatable:
            self.refusal = Refusal.MOVED
            self.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop the attempt, unless it is running and not repeatable."""
        if not self.started:
            self.barred = True
            self.cancel_scope.cancel()
        elif self.submit.repeatable:
            self.cancel_scope.cancel()

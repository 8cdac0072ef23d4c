"""Serializes suspects at an upstream, so that a crash identifies one of them."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ["SlotHold", "SuspectSlot"]

MIN_HOLD_MS = 1_000.0
WAITING_SHARE = 0.5


class SuspectSlot:
    """The only slot in which suspects run at an upstream.

    Suspects wait until the running one has ended, unless they would miss their
    deadlines: a suspect that has streamed its response for its share of the remaining
    time releases the slot to the next one early. A suspect of more than one crash holds
    the slot until its end.
    """

    def __init__(self) -> None:
        self._semaphore = trio.Semaphore(1)
        self._waiting: list[float] = []

    @asynccontextmanager
    async def acquire(
        self, is_strict: bool, expires_at: float
    ) -> AsyncIterator[SlotHold]:
        """Wait for the slot and hold it until the block or the hold ends.

        `expires_at` is the deadline of the suspect's whole response.
        """
        self._waiting.append(expires_at)
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting.remove(expires_at)
        hold = SlotHold(self, is_strict)
        try:
            yield hold
        finally:
            hold.end()

    def hold_limit_s(self) -> float:
        """Return how long a suspect may hold the slot while streaming its response."""
        if not self._waiting:
            return math.inf
        remaining_s = min(self._waiting) - trio.current_time()
        share_s = remaining_s * WAITING_SHARE / len(self._waiting)
        return max(MIN_HOLD_MS / 1000, share_s)

    def release(self) -> None:
        """Release the slot to the next suspect."""
        self._semaphore.release()


class SlotHold:
    """A suspect's hold on the slot.

    Parameters
    ----------
    slot : SuspectSlot
    is_strict : bool
        Whether the slot is held until the suspect has ended.
    """

    def __init__(self, slot: SuspectSlot, is_strict: bool):
        self._slot = slot
        self._is_strict = is_strict
        self._is_over = False
        self._first_piece_at: float | None = None

    def record_piece(self) -> None:
        """Record a piece of the suspect's response; ends the hold if it is due."""
        now = trio.current_time()
        if self._first_piece_at is None:
            self._first_piece_at = now
        is_due = now >= self._first_piece_at + self._slot.hold_limit_s()
        if is_due and not self._is_strict:
            self.end()

    def end(self) -> None:
        """Release the slot, unless that was done before."""
        if not self._is_over:
            self._is_over = True
            self._slot.release()

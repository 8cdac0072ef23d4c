"""Lets suspects run at an upstream one at a time, so that a crash names one."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ["SlotHold", "SuspectSlot"]

MIN_HOLD_MS = 1_000.0
WAITING_SHARE = 0.5


class SuspectSlot:
    """The one place in which suspects run at an upstream.

    Others wait until a suspect has ended, unless they would miss their deadlines: a
    suspect that has answered for its share of the time left lets the next one begin
    beside it. One suspected for a second crash never does.
    """

    def __init__(self) -> None:
        self._place = trio.Semaphore(1)
        self._waiting: list[float] = []

    @asynccontextmanager
    async def acquire(
        self, is_strict: bool, expires_at: float
    ) -> AsyncIterator[SlotHold]:
        """Wait for a turn and hold it for the length of a block, or until it ends.

        `expires_at` is when the suspect's answer has to be whole.
        """
        self._waiting.append(expires_at)
        try:
            await self._place.acquire()
        finally:
            self._waiting.remove(expires_at)
        turn = SlotHold(self, is_strict)
        try:
            yield turn
        finally:
            turn.end()

    def hold_limit_s(self) -> float:
        """Return how long a suspect may answer while others wait."""
        if not self._waiting:
            return math.inf
        left_s = min(self._waiting) - trio.current_time()
        share_s = left_s * WAITING_SHARE / len(self._waiting)
        return max(MIN_HOLD_MS / 1000, share_s)

    def release(self) -> None:
        """Let the next suspect begin."""
        self._place.release()


class SlotHold:
    """A suspect's turn in the lane.

    Parameters
    ----------
    lane : SuspectSlot
    is_strict : bool
        Whether the turn lasts until the suspect has ended.
    """

    def __init__(self, lane: SuspectSlot, is_strict: bool):
        self._lane = lane
        self._is_strict = is_strict
        self._is_over = False
        self._first_piece_at: float | None = None

    def record_piece(self) -> None:
        """Note a piece of the suspect's answer."""
        now = trio.current_time()
        if self._first_piece_at is None:
            self._first_piece_at = now
        is_due = now >= self._first_piece_at + self._lane.hold_limit_s()
        if is_due and not self._is_strict:
            self.end()

    def end(self) -> None:
        """Let the next suspect begin, if that was not done."""
        if not self._is_over:
            self._is_over = True
            self._lane.release()

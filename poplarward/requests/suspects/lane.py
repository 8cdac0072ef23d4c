"""Lets suspects run at an upstream one at a time, so that a crash names the culprit."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ["SuspectLane", "Turn"]

PROBATION_MS = 1_000.0


class Turn:
    """A suspect's turn in the lane.

    Parameters
    ----------
    places : trio.Semaphore
        Released when the turn is over.
    is_strict : bool
        Whether the turn lasts until the suspect has ended.
    """

    def __init__(self, places: trio.Semaphore, is_strict: bool):
        self._places = places
        self._is_strict = is_strict
        self._is_over = False
        self._first_piece_at: float | None = None

    def note_piece(self) -> None:
        """Note a piece of the suspect's answer; the next may run after a while."""
        now = trio.current_time()
        if self._first_piece_at is None:
            self._first_piece_at = now
        if not self._is_strict and now >= self._first_piece_at + PROBATION_MS / 1000:
            self.end()

    def end(self) -> None:
        """Let the next suspect run."""
        if not self._is_over:
            self._is_over = True
            self._places.release()


class SuspectLane:
    """The one place in which suspects run at an upstream.

    A suspect that answers for `PROBATION_MS` lets the next one begin beside it, since
    most crashes come with a request's first step and a long stream must not hold up
    the others until their deadlines. One suspected for a second crash never does.
    """

    def __init__(self) -> None:
        self._places = trio.Semaphore(1)

    @asynccontextmanager
    async def turn(self, is_strict: bool) -> AsyncIterator[Turn]:
        """Wait for a turn and hold it for the length of a block, or until it ends."""
        await self._places.acquire()
        turn = Turn(self._places, is_strict)
        try:
            yield turn
        finally:
            turn.end()

"""Tells the crash of an upstream from a broken connection, and who was on it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from ...protocol.suspects import Verdict
from ...telemetry import get_logger
from .table import SuspectTable

__all__ = ["CrashDetector"]

CRASH_WINDOW_MS = 200.0
DELIVERY_GRACE_MS = 10.0

log = get_logger("suspects")


class _Break:
    """Requests that ran when one of them broke off, and those that broke off since."""

    def __init__(self, at_risk: set[int]):
        self.began_at = trio.current_time()
        self.at_risk = at_risk
        self.broken: dict[int, int] = {}
        self.settled = trio.Event()
        self.has_survivor = False
        self.is_crash = False


class CrashDetector:
    """Watches the requests that run at an upstream.

    The upstream has crashed if every request that ran at the first break breaks off
    within `CRASH_WINDOW_MS`. If a suspect was among them and no other suspect, it is
    quarantined; otherwise all suspects among them, or all if there was none, are
    suspected.

    Parameters
    ----------
    table : SuspectTable
        Learns the verdicts.
    is_planned : callable
        Returns whether the upstream is being stopped on purpose.
    """

    def __init__(self, table: SuspectTable, is_planned: Callable[[], bool]):
        self._table = table
        self._is_planned = is_planned
        self._running: set[int] = set()
        self._n_begun = 0
        self._break: _Break | None = None

    @contextmanager
    def track(self) -> Iterator[int]:
        """Count a request as running for the length of a block; yields its number."""
        self._n_begun += 1
        number = self._n_begun
        self._running.add(number)
        try:
            yield number
        finally:
            self._running.discard(number)

    def report_end(self, number: int) -> None:
        """Note that a running request ended in order."""
        current = self._break
        if current is None or number not in current.at_risk:
            return
        if trio.current_time() >= current.began_at + DELIVERY_GRACE_MS / 1000:
            # Its last piece had not arrived before the break.
            current.has_survivor = True

    async def report_disconnect(self, number: int, digest: int) -> bool:
        """Note that a running request broke off; returns whether by a crash.

        The verdicts are in the table on return.
        """
        current = self._break
        if current is None:
            current = self._break = _Break(set(self._running))
        current.broken[number] = digest
        if not self._survivors(current):
            current.settled.set()
        with trio.move_on_after(CRASH_WINDOW_MS / 1000) as scope:
            # A caller who leaves now does not end what others wait for.
            scope.shield = True
            await current.settled.wait()
        if self._break is current:
            self._break = None
            self._judge(current)
            current.settled.set()
        return current.is_crash

    def _survivors(self, current: _Break) -> set[int]:
        return (current.at_risk & self._running) - set(current.broken)

    def _judge(self, current: _Break) -> None:
        is_alive = current.has_survivor or self._survivors(current)
        if is_alive or self._is_planned():
            return
        current.is_crash = True
        digests = set(current.broken.values())
        suspects = {d for d in digests if self._table.verdict(d) is Verdict.SUSPECT}
        if len(suspects) == 1:
            [digest] = suspects
            self._table.quarantine(digest)
        else:
            self._table.suspect(suspects or digests)
        log.warning(
            "upstream.crashed",
            n_requests=len(digests),
            n_suspects=len(suspects),
            quarantined=f"{digest:016x}" if len(suspects) == 1 else "",
        )

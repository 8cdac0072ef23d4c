"""Distinguishes the crash of an upstream from a lost connection."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio

from ...protocol.suspects import Verdict
from ...telemetry import get_logger
from .table import SuspectTable

__all__ = ["CrashDetector"]

CRASH_WINDOW_MS = 200.0
DELIVERY_GRACE_MS = 10.0
CRASH_ID_BITS = 32

log = get_logger("suspects")


class _DisconnectBatch:
    """Requests that ran at the first disconnect, and those disconnected since."""

    def __init__(self, at_risk: set[int]):
        self.started_at = trio.current_time()
        self.at_risk = at_risk
        self.disconnected: dict[int, int] = {}
        self.parts: set[int] = set()
        self.resolved = trio.Event()
        self.has_survivor = False
        self.is_crash = False


class CrashDetector:
    """Tracks the requests that run at an upstream to detect its crashes.

    The upstream has crashed if all requests that ran at the first disconnect are
    disconnected within `CRASH_WINDOW_MS`. If exactly one of them was a suspect, it is
    quarantined. Otherwise all suspects among them, or all requests if there was no
    suspect, are suspected.

    Parameters
    ----------
    table : SuspectTable
        Receives the verdicts.
    is_planned : callable
        Returns whether the upstream is being stopped on purpose.
    """

    def __init__(self, table: SuspectTable, is_planned: Callable[[], bool]):
        self._table = table
        self._is_planned = is_planned
        self._running: set[int] = set()
        self._n_tracked = 0
        self._batch: _DisconnectBatch | None = None

    @contextmanager
    def track(self) -> Iterator[int]:
        """Track a request as running for the length of a block; yields its number."""
        self._n_tracked += 1
        number = self._n_tracked
        self._running.add(number)
        try:
            yield number
        finally:
            self._running.discard(number)

    def report_end(self, number: int) -> None:
        """Record that a running request has ended without a disconnect."""
        batch = self._batch
        if batch is None or number not in batch.at_risk:
            return
        if trio.current_time() >= batch.started_at + DELIVERY_GRACE_MS / 1000:
            # Its last piece arrived after the disconnect, so the upstream is alive. If
            # a request ends earlier, the piece may have arrived before the disconnect.
            batch.has_survivor = True

    async def report_disconnect(
        self, number: int, digest: int, parts: Iterable[int] = ()
    ) -> bool:
        """Record the disconnect of a running request; returns whether it is a crash.

        `parts` are the digests of the shared parts of its prompt. On return, the
        verdicts are in the table.
        """
        batch = self._batch
        if batch is None:
            batch = self._batch = _DisconnectBatch(set(self._running))
        batch.disconnected[number] = digest
        batch.parts.update(parts)
        if not self._survivors(batch):
            batch.resolved.set()
        with trio.move_on_after(CRASH_WINDOW_MS / 1000) as scope:
            # Other requests wait for the result, also if this one's caller disconnects.
            scope.shield = True
            await batch.resolved.wait()
        if self._batch is batch:
            self._batch = None
            self._resolve(batch)
            batch.resolved.set()
        return batch.is_crash

    def _survivors(self, batch: _DisconnectBatch) -> set[int]:
        return (batch.at_risk & self._running) - set(batch.disconnected)

    def _resolve(self, batch: _DisconnectBatch) -> None:
        is_upstream_alive = batch.has_survivor or self._survivors(batch)
        if is_upstream_alive or self._is_planned():
            return
        batch.is_crash = True
        digests = set(batch.disconnected.values())
        suspects = {d for d in digests if self._table.verdict(d) is Verdict.SUSPECT}
        if len(suspects) == 1:
            [digest] = suspects
            self._table.quarantine(digest)
        else:
            self._table.suspect(suspects or digests)
        crash = secrets.randbits(CRASH_ID_BITS)
        for digest in suspects or digests:
            self._table.record_crash_id(digest, crash)
        for part in batch.parts:
            self._table.record_crash(part, crash, is_part=True)
        log.warning(
            "upstream.crashed",
            n_requests=len(digests),
            n_suspects=len(suspects),
            quarantined=f"{min(suspects):016x}" if len(suspects) == 1 else "",
            parts=",".join(f"{part:016x}" for part in sorted(batch.parts)) or None,
        )

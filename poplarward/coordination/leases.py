"""Leases that elect one holder through the object API.

A lease only elects. Its holder counts its time from before it sent the renewal, on
its own monotonic clock; a rival waits the whole length, and more for clocks that
drift, from when it saw the last change. A holder that is paused between looking at
its fence and using it is stopped by the fencing number: whoever takes an order
refuses numbers smaller than the greatest it has seen.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from ..errors import (
    ConflictError,
    FormatUnsupported,
    NotFound,
    StoreUnavailable,
    WriteUnknown,
)
from ..state import (
    FORMAT_KEY,
    ObjectStore,
    StoredObject,
    Writer,
    check_format,
)
from ..state.writer import OPERATIONS_KEY
from ..telemetry import get_logger

__all__ = ["LEASES_KIND", "Lease", "LeaseCandidate", "LeaseTiming", "fence_of"]

LEASES_KIND = "leases"
FORMAT_VERSION = 1
KNOWN_KEYS = frozenset(
    {FORMAT_KEY, "holder", "fence", "length_ms", "wanted_by", OPERATIONS_KEY}
)
MIN_REQUEST_INTERVAL_MS = 4_000.0
MAX_REQUEST_INTERVAL_MS = 60_000.0

log = get_logger("leases")


class LeaseTiming(NamedTuple):
    """How long a lease lasts.

    Attributes
    ----------
    length_ms : float
        Time that a holder may count on from when it sent a renewal.
    renew_interval_ms, poll_interval_ms : float
        Time between renewals of a holder, and between looks of a rival.
    drift : float
        Share of the length that a rival waits in addition, for clocks that run
        at different rates.
    """

    length_ms: float = 6000.0
    renew_interval_ms: float = 2000.0
    poll_interval_ms: float = 2000.0
    drift: float = 0.02

    @classmethod
    def of_length(cls, length_ms: float) -> LeaseTiming:
        """Return the timing for a length, with renewals that may fail twice."""
        return cls(length_ms, length_ms / 3, length_ms / 3)


class LeaseCandidate(NamedTuple):
    """Where a process stands among those that may hold a lease.

    Attributes
    ----------
    rank : callable
        Returns how many live processes go before this one; None if it must not
        take the lease.
    precedes : callable
        Tells whether this process goes before a live holder; it then asks for the
        lease.
    yields_to : callable
        Tells whether a process that asks goes before this one.
    """

    rank: Callable[[], int | None] = lambda: 0
    precedes: Callable[[str], bool] = lambda holder: False
    yields_to: Callable[[str], bool] = lambda holder: False


def fence_of(stored: StoredObject) -> int:
    """Return the fencing number of a lease: the version at which it was acquired.

    Raises `FormatUnsupported`.
    """
    check_format(f"lease {stored.name}", stored.spec, FORMAT_VERSION)
    return int(stored.spec["fence"]) or stored.version


class _Held(NamedTuple):
    version: int
    fence: int
    valid_until_s: float


class Lease:
    """One lease, as one process sees it.

    Parameters
    ----------
    store : ObjectStore
        Where the lease is read.
    name : str
        Name of the lease.
    holder : str
        Name of this start of this process; no other start may have it.
    writer : Writer, optional
        Shared with the rest of the process.
    clock : callable, optional
        Monotonic clock of the process, in seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        *,
        writer: Writer | None = None,
        timing: LeaseTiming | None = None,
        candidate: LeaseCandidate | None = None,
        clock: Callable[[], float] = trio.current_time,
    ):
        self.name = name
        self._store = store
        self._holder = holder
        self._writer = writer or Writer(store)
        self._timing = timing or LeaseTiming()
        self._candidate = candidate or LeaseCandidate()
        self._clock = clock
        self._held: _Held | None = None
        self._asked_at_s = -math.inf
        self._ask_interval_ms = 0.0
        self._scope = trio.CancelScope()
        self._later: dict[str, Any] = {}

    @property
    def fence(self) -> int | None:
        """The fencing number, None unless the lease is surely held at this moment."""
        if self._held is None or self._clock() >= self._held.valid_until_s:
            return None
        return self._held.fence

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to compete for the lease."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop competing, and give the lease up if it is held."""
        self._scope.cancel()
        held, self._held = self._held, None
        if held is not None and self._clock() < held.valid_until_s:
            await self._release(held.version)

    async def _run(self) -> None:
        with self._scope:
            while True:
                replaced_version = await self._wait_until_free()
                await self._acquire(replaced_version)
                while self._held is not None:
                    await trio.sleep(self._timing.renew_interval_ms / 1000)
                    await self._renew()

    async def _wait_until_free(self) -> int:
        """Return the version to replace, once this process may take the lease."""
        seen_version = -1
        seen_at_s = self._clock()
        while True:
            try:
                stored = await self._read()
            except StoreUnavailable as error:
                if isinstance(error, FormatUnsupported):
                    log.error("lease.unreadable", lease=self.name, reason=str(error))
                await trio.sleep(self._timing.poll_interval_ms / 1000)
                continue
            version = 0 if stored is None else stored.version
            if version != seen_version:
                seen_version, seen_at_s = version, self._clock()
            unchanged_ms = (self._clock() - seen_at_s) * 1000
            wait_ms = self._wait_ms(stored)
            if wait_ms is not None and unchanged_ms >= wait_ms:
                return version
            if stored is not None:
                await self._ask_for(stored)
            await trio.sleep(self._next_look_ms(wait_ms, unchanged_ms) / 1000)

    def _wait_ms(self, stored: StoredObject | None) -> float | None:
        """Return how long the lease must stay unchanged before it may be taken."""
        rank = self._candidate.rank()
        if rank is None:
            return None
        if stored is None:
            return rank * self._timing.length_ms
        whole_ms = stored.spec["length_ms"] * (1 + self._timing.drift)
        is_free = stored.spec["holder"] in ("", self._holder)
        return whole_ms * (rank if is_free else rank + 1)

    def _next_look_ms(self, wait_ms: float | None, unchanged_ms: float) -> float:
        if wait_ms is None:
            return self._timing.poll_interval_ms
        # At least a moment, since the process's clock may run slower than time.
        left_ms = max(wait_ms - unchanged_ms, 10.0)
        return min(left_ms, self._timing.poll_interval_ms)

    async def _ask_for(self, stored: StoredObject) -> None:
        """Ask a holder that this process goes before to give the lease up."""
        holder = stored.spec["holder"]
        if not holder or stored.spec["wanted_by"] == self._holder:
            return
        if self._candidate.rank() != 0 or not self._candidate.precedes(holder):
            return
        if (self._clock() - self._asked_at_s) * 1000 < self._ask_interval_ms:
            return
        self._asked_at_s = self._clock()
        # A holder that has not heard of this process yet refuses, and will not soon
        # after; one that never sees it as live must not pay a renewal often.
        self._ask_interval_ms = min(
            max(2 * self._ask_interval_ms, MIN_REQUEST_INTERVAL_MS),
            MAX_REQUEST_INTERVAL_MS,
        )
        spec = {**stored.spec, "wanted_by": self._holder, "fence": fence_of(stored)}
        await self._put(spec, stored.version)

    async def _acquire(self, replaced_version: int) -> None:
        sent_at_s = self._clock()
        stored = await self._put(self._spec(fence=0), replaced_version)
        if stored is not None:
            self._hold(stored.version, stored.version, sent_at_s)
            self._ask_interval_ms = 0.0
            log.info("lease.acquired", lease=self.name, fence=stored.version)

    def _hold(self, version: int, fence: int, sent_at_s: float) -> None:
        valid_until_s = sent_at_s + self._timing.length_ms / 1000
        self._held = _Held(version, fence, valid_until_s)

    async def _renew(self) -> None:
        held = self._held
        assert held is not None
        sent_at_s = self._clock()
        if sent_at_s >= held.valid_until_s:
            self._lose("expired")
            return
        left_ms = (held.valid_until_s - sent_at_s) * 1000
        try:
            stored = await self._writer.put(
                LEASES_KIND, self.name, self._spec(held.fence), held.version, left_ms
            )
        except ConflictError:
            await self._resolve_conflict(held)
        except (StoreUnavailable, WriteUnknown) as error:
            log.warning("lease.not_renewed", lease=self.name, reason=str(error))
        else:
            self._hold(stored.version, held.fence, sent_at_s)

    async def _resolve_conflict(self, held: _Held) -> None:
        """Find out whether the lease was taken, or only asked for."""
        try:
            stored = await self._read()
        except StoreUnavailable:
            return
        if stored is None or stored.spec["holder"] != self._holder:
            self._lose("taken")
        elif self._candidate.yields_to(stored.spec["wanted_by"]):
            self._lose("asked for")
            await self._release(stored.version)
        else:
            # Asking does not prolong the lease: its end stays where it was.
            self._held = held._replace(version=stored.version)
            await self._renew()

    def _lose(self, reason: str) -> None:
        self._held = None
        log.warning("lease.lost", lease=self.name, reason=reason)

    async def _release(self, version: int) -> None:
        await self._put({**self._spec(fence=0), "holder": ""}, version)

    def _spec(self, fence: int) -> dict[str, Any]:
        return {
            FORMAT_KEY: FORMAT_VERSION,
            **self._later,
            "holder": self._holder,
            "fence": fence,
            "length_ms": self._timing.length_ms,
            "wanted_by": "",
        }

    async def _put(self, spec: dict[str, Any], version: int) -> StoredObject | None:
        """Write the lease; returns None if that failed or its outcome is not known."""
        timeout_ms = self._timing.length_ms / 2
        try:
            return await self._writer.put(
                LEASES_KIND, self.name, spec, version, timeout_ms
            )
        except (ConflictError, StoreUnavailable, WriteUnknown) as error:
            log.info("lease.not_written", lease=self.name, reason=str(error))
            return None

    async def _read(self) -> StoredObject | None:
        try:
            stored = await self._store.get(LEASES_KIND, self.name)
        except NotFound:
            return None
        found = check_format(f"lease {self.name}", stored.spec, FORMAT_VERSION)
        # What a later release added stays in the lease when it is rewritten.
        later = {k: v for k, v in stored.spec.items() if k not in KNOWN_KEYS}
        self._later = {**later, FORMAT_KEY: max(FORMAT_VERSION, found)}
        return stored

"""Leader election with leases in the object API.

The holder measures validity on its own monotonic clock, from before it sent the
renewal. A rival waits for the whole length of the lease, plus an allowance for clock
drift, from when it observed the last change. A holder can be paused between checking
its lease and using it, so every command carries a fencing number, and the receiver
rejects numbers smaller than the greatest that it has seen.
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
    """Duration of a lease and its renewal and poll intervals.

    Attributes
    ----------
    length_ms : float
        Time for which the lease is valid after its holder sent a renewal.
    renew_interval_ms, poll_interval_ms : float
        Time between renewals by the holder, and between polls by a rival.
    drift : float
        Fraction of the length that a rival waits in addition, to allow for clocks
        that run at different rates.
    """

    length_ms: float = 6000.0
    renew_interval_ms: float = 2000.0
    poll_interval_ms: float = 2000.0
    drift: float = 0.02

    @classmethod
    def of_length(cls, length_ms: float) -> LeaseTiming:
        """Return the timing for a length; two renewals in a row may fail."""
        return cls(length_ms, length_ms / 3, length_ms / 3)


class LeaseCandidate(NamedTuple):
    """Precedence of a process among the candidates for a lease.

    Attributes
    ----------
    rank : callable
        Returns the number of live processes that precede this one; None if it must
        not acquire the lease.
    precedes : callable
        Returns whether this process precedes a live holder. If so, it requests the
        lease.
    yields_to : callable
        Returns whether a process that requests the lease precedes this one.
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
    """A candidate's client of one lease.

    Parameters
    ----------
    store : ObjectStore
        Store that the lease is read from.
    name : str
        Name of the lease.
    holder : str
        Identifies this start of the process; must be unique to it.
    writer : Writer, optional
        Writer to use, usually shared with the rest of the process.
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
        self._requested_at_s = -math.inf
        self._request_interval_ms = 0.0
        self._scope = trio.CancelScope()
        self._unknown_fields: dict[str, Any] = {}

    @property
    def fence(self) -> int | None:
        """The fencing number, None unless the lease is held and valid now."""
        if self._held is None or self._clock() >= self._held.valid_until_s:
            return None
        return self._held.fence

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to compete for the lease."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop competing, and release the lease if it is held."""
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
        """Return the version to replace, once this process may acquire the lease."""
        observed_version = -1
        observed_at_s = self._clock()
        while True:
            try:
                stored = await self._read()
            except StoreUnavailable as error:
                if isinstance(error, FormatUnsupported):
                    log.error("lease.unreadable", lease=self.name, reason=str(error))
                await trio.sleep(self._timing.poll_interval_ms / 1000)
                continue
            version = 0 if stored is None else stored.version
            if version != observed_version:
                observed_version, observed_at_s = version, self._clock()
            unchanged_ms = (self._clock() - observed_at_s) * 1000
            wait_ms = self._wait_ms(stored)
            if wait_ms is not None and unchanged_ms >= wait_ms:
                return version
            if stored is not None:
                await self._request(stored)
            await trio.sleep(self._next_poll_ms(wait_ms, unchanged_ms) / 1000)

    def _wait_ms(self, stored: StoredObject | None) -> float | None:
        """Return how long the lease must be unchanged before it may be acquired."""
        rank = self._candidate.rank()
        if rank is None:
            return None
        if stored is None:
            return rank * self._timing.length_ms
        expiry_ms = stored.spec["length_ms"] * (1 + self._timing.drift)
        is_free = stored.spec["holder"] in ("", self._holder)
        return expiry_ms * (rank if is_free else rank + 1)

    def _next_poll_ms(self, wait_ms: float | None, unchanged_ms: float) -> float:
        if wait_ms is None:
            return self._timing.poll_interval_ms
        # At least 10 ms: the process's clock may run slower than real time.
        remaining_ms = max(wait_ms - unchanged_ms, 10.0)
        return min(remaining_ms, self._timing.poll_interval_ms)

    async def _request(self, stored: StoredObject) -> None:
        """Request the lease from a holder that this process precedes."""
        holder = stored.spec["holder"]
        if not holder or stored.spec["wanted_by"] == self._holder:
            return
        if self._candidate.rank() != 0 or not self._candidate.precedes(holder):
            return
        if (self._clock() - self._requested_at_s) * 1000 < self._request_interval_ms:
            return
        self._requested_at_s = self._clock()
        # A holder that does not know this process yet refuses, but accepts soon
        # after. Each request costs the holder a renewal, so requests to a holder that
        # never regards this process as live must be rare.
        self._request_interval_ms = min(
            max(2 * self._request_interval_ms, MIN_REQUEST_INTERVAL_MS),
            MAX_REQUEST_INTERVAL_MS,
        )
        spec = {**stored.spec, "wanted_by": self._holder, "fence": fence_of(stored)}
        await self._put(spec, stored.version)

    async def _acquire(self, replaced_version: int) -> None:
        sent_at_s = self._clock()
        stored = await self._put(self._spec(fence=0), replaced_version)
        if stored is not None:
            self._hold(stored.version, stored.version, sent_at_s)
            self._request_interval_ms = 0.0
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
        remaining_ms = (held.valid_until_s - sent_at_s) * 1000
        try:
            stored = await self._writer.put(
                LEASES_KIND,
                self.name,
                self._spec(held.fence),
                held.version,
                remaining_ms,
            )
        except ConflictError:
            await self._resolve_conflict(held)
        except (StoreUnavailable, WriteUnknown) as error:
            log.warning("lease.not_renewed", lease=self.name, reason=str(error))
        else:
            self._hold(stored.version, held.fence, sent_at_s)

    async def _resolve_conflict(self, held: _Held) -> None:
        """Determine whether the lease was taken, or only requested."""
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
            # A request does not extend the lease: its expiry is unchanged.
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
            **self._unknown_fields,
            "holder": self._holder,
            "fence": fence,
            "length_ms": self._timing.length_ms,
            "wanted_by": "",
        }

    async def _put(self, spec: dict[str, Any], version: int) -> StoredObject | None:
        """Write the lease; returns None if that failed or the outcome is unknown."""
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
        stored_format = check_format(f"lease {self.name}", stored.spec, FORMAT_VERSION)
        # Keep fields that a later release added when the lease is rewritten.
        unknown = {k: v for k, v in stored.spec.items() if k not in KNOWN_KEYS}
        self._unknown_fields = {
            **unknown,
            FORMAT_KEY: max(FORMAT_VERSION, stored_format),
        }
        return stored

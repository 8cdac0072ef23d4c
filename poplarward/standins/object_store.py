"""Stand-in of the platform's object API, with injectable faults."""

from __future__ import annotations

import copy
import random
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from ..errors import ConflictError, NotFound, StoreUnavailable
from ..state import StoredObject, WatchEvent

__all__ = ["MemoryObjectStore", "StoreFaults"]

MAX_HISTORY_EVENTS = 20_000
LATE_WRITE_MS = 200.0


@dataclass
class StoreFaults:
    """Faults injected into calls to the object API.

    Attributes
    ----------
    is_down : bool
        Every call fails and every watch is closed.
    delay_ms : float
        Time each call takes.
    lost_answers : float
        Probability that a write takes effect but its response is lost.
    late_writes : float
        Probability that a write gets no response and is executed only after
        `LATE_WRITE_MS`, if its condition still holds then.
    reads_per_s, writes_per_s : float
        Limits of the rate; calls beyond them are refused.
    """

    is_down: bool = False
    delay_ms: float = 2.0
    lost_answers: float = 0.0
    late_writes: float = 0.0
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0


@dataclass
class StoreCounts:
    """Calls made so far; a waiting watch counts as one read."""

    n_reads: int = 0
    n_writes: int = 0
    n_conflicts: int = 0
    n_refused: int = 0
    n_watches: int = 0


@dataclass
class _LeakyBucket:
    """Limits the rate of calls, with a capacity of one second's calls."""

    level: float = 0.0
    filled_at: float = field(default_factory=trio.current_time)

    def take(self, per_s: float) -> bool:
        now = trio.current_time()
        self.level = max(0.0, self.level - (now - self.filled_at) * per_s)
        self.filled_at = now
        if self.level + 1 > per_s:
            return False
        self.level += 1
        return True


class MemoryObjectStore:
    """The object API in memory; satisfies `ObjectStore`.

    Examples
    --------
    >>> store = MemoryObjectStore(StoreFaults(delay_ms=5))
    >>> trio.run(store.put, "workspaces", "ateliers", {"share": 1}, 0).version
    1
    """

    def __init__(self, faults: StoreFaults | None = None, seed: int = 0):
        self.faults = faults or StoreFaults()
        self.counts = StoreCounts()
        self.revision = 0
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._history: list[tuple[int, WatchEvent]] = []
        self._changed = trio.Event()
        self._late_writes: list[tuple[float, Callable[[], StoredObject]]] = []
        self._rng = random.Random(seed)
        self._reads: _LeakyBucket | None = None
        self._writes: _LeakyBucket | None = None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; raises `NotFound`."""
        await self._read()
        found = self._objects.get((kind, name))
        if found is None:
            raise NotFound(f"{kind}/{name}")
        return copy.deepcopy(found)

    async def list(self, kind: str) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and all objects of a kind at it."""
        await self._read()
        items = [item for (k, _), item in self._objects.items() if k == kind]
        return self.revision, copy.deepcopy(items)

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], expected_version: int
    ) -> StoredObject:
        """Write an object if it has the expected version, 0 if it must be new."""
        await self._write()
        content = copy.deepcopy(spec)
        if self._happens(self.faults.late_writes):
            due = trio.current_time() + LATE_WRITE_MS / 1000
            late = partial(self._put_now, kind, name, content, expected_version)
            self._late_writes.append((due, late))
            raise StoreUnavailable("no answer in time")
        stored = self._put_now(kind, name, content, expected_version)
        self._maybe_lose_response()
        return copy.deepcopy(stored)

    def _put_now(
        self, kind: str, name: str, spec: dict[str, Any], expected_version: int
    ) -> StoredObject:
        self._check_version(kind, name, expected_version)
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, spec)
        self._objects[(kind, name)] = stored
        self._publish(WatchEvent(False, stored))
        return stored

    async def delete(self, kind: str, name: str, expected_version: int) -> int:
        """Delete an object; returns the revision of the deletion."""
        await self._write()
        self._check_version(kind, name, expected_version)
        self.revision += 1
        old = self._objects.pop((kind, name))
        self._publish(WatchEvent(True, old._replace(version=self.revision)))
        self._maybe_lose_response()
        return self.revision

    async def watch(
        self, kind: str, after_revision: int
    ) -> AsyncGenerator[WatchEvent, None]:
        """Yield each change of a kind after a revision, in order."""
        await self._read()
        if self._history and after_revision < self._history[0][0] - 1:
            raise ConflictError(f"revision {after_revision} is too old")
        self.counts.n_watches += 1
        try:
            position = after_revision
            while True:
                if self.faults.is_down:
                    raise StoreUnavailable("the object API is down")
                changed = self._changed
                for revision, event in self._history_after(position):
                    position = revision
                    if event.object.kind == kind:
                        yield copy.deepcopy(event)
                await changed.wait()
        finally:
            self.counts.n_watches -= 1

    def history(self) -> list[WatchEvent]:
        """Return the changes that took effect, oldest first."""
        return [event for _, event in self._history]

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; an outage closes every watch."""
        self.faults.is_down = is_down
        self._wake()

    def _history_after(self, position: int) -> list[tuple[int, WatchEvent]]:
        start = len(self._history)
        while start and self._history[start - 1][0] > position:
            start -= 1
        return self._history[start:]

    def _publish(self, event: WatchEvent) -> None:
        self._history.append((self.revision, event))
        del self._history[:-MAX_HISTORY_EVENTS]
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        stored = self._objects.get((kind, name))
        version = 0 if stored is None else stored.version
        if version != expected:
            self.counts.n_conflicts += 1
            raise ConflictError(f"{kind}/{name} has version {version}, not {expected}")

    def _maybe_lose_response(self) -> None:
        if self._happens(self.faults.lost_answers):
            raise StoreUnavailable("the answer was lost")

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._rng.random() < probability

    def _execute_late_writes(self) -> None:
        while self._late_writes and self._late_writes[0][0] <= trio.current_time():
            _, put = self._late_writes.pop(0)
            try:
                put()
            except ConflictError:
                pass

    async def _read(self) -> None:
        self.counts.n_reads += 1
        self._reads = self._reads or _LeakyBucket()
        await self._call(self._reads.take(self.faults.reads_per_s))

    async def _write(self) -> None:
        self.counts.n_writes += 1
        self._writes = self._writes or _LeakyBucket()
        await self._call(self._writes.take(self.faults.writes_per_s))

    async def _call(self, within_rate: bool) -> None:
        await trio.sleep(self.faults.delay_ms / 1000)
        self._execute_late_writes()
        if self.faults.is_down:
            raise StoreUnavailable("the object API is down")
        if not within_rate:
            self.counts.n_refused += 1
            raise StoreUnavailable("too many calls")

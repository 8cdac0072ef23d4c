"""Closed segments of a journal: read once and indexed by the digests of their keys."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable

import trio
import xxhash

from ...errors import ConflictError, NotFound, StoreUnavailable
from ...state import ObjectStore, StoredObject
from ...state.writer import Writer
from .journal import Journal, Record, Segment

__all__ = ["KIND", "STORE_TIMEOUT_MS", "ClosedSegments"]

KIND = "payments"
STORE_TIMEOUT_MS = 1_500.0
N_PARALLEL_READS = 4


class ClosedSegments:
    """Index of the closed segments of one partition at one agent.

    Eight bytes per key are kept in memory. The few keys that are repeated are looked
    up in the store, which also resolves collisions of digests.

    Parameters
    ----------
    store, writer
        Where segments are read and written.
    name : str
        Name of the journal's object in the store.
    """

    def __init__(self, store: ObjectStore, writer: Writer, name: str):
        self._store = store
        self._writer = writer
        self._name = name
        self._digests: dict[int, array[int]] = {}

    async def load(self, segments: Iterable[Segment], now_ms: int) -> None:
        """Index the segments that are not indexed yet; drops those not passed.

        Raises `StoreUnavailable`, or `ConflictError` if a segment is missing: then the
        journal that lists it was replaced, or the segment was deleted.
        """
        live = {s.number for s in segments if not s.is_expired(now_ms)}
        for number in self._digests.keys() - live:
            del self._digests[number]
        missing = sorted(live - self._digests.keys())
        failures: list[Exception] = []

        async def read_missing() -> None:
            while missing and not failures:
                try:
                    await self._read_digests(missing.pop())
                except (ConflictError, StoreUnavailable) as error:
                    failures.append(error)

        async with trio.open_nursery() as nursery:
            for _ in range(min(N_PARALLEL_READS, len(missing))):
                nursery.start_soon(read_missing)
        if failures:
            raise failures[0]

    async def write(self, number: int, content: Journal) -> None:
        """Write a segment, unless it exists: then it has the same content."""
        try:
            await self._writer.put(
                KIND, self._object_name(number), content.to_spec(), 0, STORE_TIMEOUT_MS
            )
        except ConflictError:
            pass
        self._digests[number] = _digests(content)

    async def find(self, key: str) -> Record | None:
        """Return a key's record, if any; raises the same errors as `load`."""
        digest = _digest(key)
        for number, digests in list(self._digests.items()):
            index = bisect_left(digests, digest)
            if index < len(digests) and digests[index] == digest:
                records = (await self._read(number)).records
                if key in records:
                    return records[key]
        return None

    async def delete(self, number: int) -> None:
        """Delete a segment that no journal lists or whose keys have expired."""
        self._digests.pop(number, None)
        with trio.move_on_after(STORE_TIMEOUT_MS / 1000):
            try:
                stored = await self._store.get(KIND, self._object_name(number))
                await self._store.delete(KIND, stored.name, stored.version)
            except NotFound:
                return
            except ConflictError as error:
                raise StoreUnavailable(str(error)) from error
            return
        raise StoreUnavailable("the segment was not deleted in time")

    async def _read_digests(self, number: int) -> None:
        self._digests[number] = _digests(await self._read(number))

    async def _read(self, number: int) -> Journal:
        try:
            stored = await read_with_timeout(self._store, self._object_name(number))
        except NotFound as error:
            raise ConflictError(f"segment {error} is missing") from error
        return Journal.from_spec(stored.spec)

    def _object_name(self, number: int) -> str:
        return f"{self._name}.{number}"


async def read_with_timeout(store: ObjectStore, name: str) -> StoredObject:
    """Read an object; raises `NotFound`, or `StoreUnavailable` on time-out."""
    with trio.move_on_after(STORE_TIMEOUT_MS / 1000):
        return await store.get(KIND, name)
    raise StoreUnavailable(f"{name} was not read in time")


def _digest(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _digests(content: Journal) -> array[int]:
    return array("Q", sorted(map(_digest, content.records)))

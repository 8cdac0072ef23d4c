"""Conditional writes with a known outcome.

A response of the object API may be lost after the write took effect. Every write
therefore adds a random operation id to the object. The object keeps the last few ids,
each with the version that its write replaced. A writer that received no response reads
the object back and finds its own id, or that of the write that took its place, even if
other writers followed. If these ids are not conclusive, because the object was deleted
or was written too often since, the writer replays the store's history with a watch.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Mapping
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, NamedTuple

import trio

from ..errors import ConflictError, NotFound, StoreUnavailable, WriteUnknown
from .budget import Backoff, RetryBudget
from .store import ObjectStore, StoredObject

__all__ = ["OPERATIONS_KEY", "Operation", "Writer", "operations_of"]

OPERATIONS_KEY = "operations"
MAX_OPERATIONS = 8
MAX_CACHED_OBJECTS = 1024


class Operation(NamedTuple):
    """A write that took effect, as recorded in the object.

    Attributes
    ----------
    id : str
        Random id of the write.
    replaced_version : int
        Version that the write replaced; 0 if it created the object.
    """

    id: str
    replaced_version: int


def operations_of(spec: Mapping[str, Any]) -> list[Operation]:
    """Return the most recent writes recorded in an object, oldest first."""
    return [Operation(str(i), int(v)) for i, v in spec.get(OPERATIONS_KEY, [])]


@dataclass(frozen=True)
class _Applied:
    version: int


@dataclass(frozen=True)
class _NotApplied:
    """The write did not take effect and no longer can."""


@dataclass(frozen=True)
class _Pending:
    """The write has not taken effect, but may be sent again."""


@dataclass(frozen=True)
class _Inconclusive:
    """Only the store's history can determine the outcome."""


_Result = _Applied | _NotApplied | _Pending | _Inconclusive


class _Write(NamedTuple):
    kind: str
    name: str
    spec: dict[str, Any]
    expected_version: int
    operation_id: str


def _result_from(write: _Write, found: StoredObject | None) -> _Result:
    """Return the result of a write, derived from the object as read back."""
    if found is None:
        return _Inconclusive() if write.expected_version else _Pending()
    operations = operations_of(found.spec)
    for i, operation in enumerate(operations):
        if operation.id != write.operation_id:
            continue
        if i + 1 < len(operations):
            return _Applied(operations[i + 1].replaced_version)
        return _Applied(found.version)
    if found.version == write.expected_version:
        return _Pending()
    replaced = [operation.replaced_version for operation in operations]
    if write.expected_version and write.expected_version in replaced:
        return _NotApplied()
    return _Inconclusive()


class Writer:
    """Writes objects and determines the outcome of each write.

    Parameters
    ----------
    store : ObjectStore
        Store that the objects are written to.
    seed : int
        Seed of the backoff jitter; each process needs a different one.
    budget : RetryBudget, optional
        Shared with other users of the store in the process.
    """

    def __init__(
        self, store: ObjectStore, seed: int = 0, budget: RetryBudget | None = None
    ):
        self._store = store
        self._rng = random.Random(seed)
        self._budget = budget or RetryBudget()
        self._seen_revision = 0
        self._cached_operations: dict[tuple[str, str], tuple[int, list[Operation]]] = {}

    async def put(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, Any],
        expected_version: int,
        timeout_ms: float,
    ) -> StoredObject:
        """Write an object at its expected version; 0 means that it must be new.

        Raises `ConflictError` only if this write did not take effect,
        `StoreUnavailable` if it was never sent, and `WriteUnknown` if its outcome
        could not be determined within the timeout. Returns the object as written;
        another writer may have replaced it since.
        """
        write: _Write | None = None
        with trio.move_on_after(timeout_ms / 1000):
            write = await self._prepare(kind, name, spec, expected_version)
            return await self._put_until_resolved(write)
        if write is None:
            raise StoreUnavailable(f"{kind}/{name} could not be read in time")
        raise WriteUnknown(f"{kind}/{name} after version {expected_version}")

    async def _prepare(
        self, kind: str, name: str, spec: Mapping[str, Any], expected_version: int
    ) -> _Write:
        operations: list[Operation] = []
        if expected_version:
            operations = await self._operations_at(kind, name, expected_version)
        operation_id = secrets.token_hex(8)
        operations = [*operations, Operation(operation_id, expected_version)]
        recorded = [list(operation) for operation in operations[-MAX_OPERATIONS:]]
        content = {**spec, OPERATIONS_KEY: recorded}
        return _Write(kind, name, content, expected_version, operation_id)

    async def _operations_at(
        self, kind: str, name: str, version: int
    ) -> list[Operation]:
        """Return the operations recorded at a version; raises `ConflictError`."""
        cached = self._cached_operations.get((kind, name))
        if cached is not None and cached[0] == version:
            return cached[1]
        found = await self._read(kind, name)
        if found is None or found.version != version:
            actual = "no version" if found is None else f"version {found.version}"
            raise ConflictError(f"{kind}/{name} has {actual}, not {version}")
        return operations_of(found.spec)

    async def _put_until_resolved(self, write: _Write) -> StoredObject:
        backoff = Backoff(self._budget, self._rng)
        started_revision = self._seen_revision
        maybe_sent = False
        while True:
            try:
                stored = await self._store.put(
                    write.kind, write.name, write.spec, write.expected_version
                )
            except ConflictError:
                if not maybe_sent:
                    raise
            except StoreUnavailable:
                maybe_sent = True
                await backoff.wait()
            else:
                return self._cache(write, stored.version)
            match await self._determine_result(write, started_revision):
                case _Applied(version):
                    return self._cache(write, version)
                case _NotApplied():
                    raise ConflictError(f"{write.kind}/{write.name} was replaced")
                case _Pending():
                    await backoff.wait()

    async def _determine_result(self, write: _Write, started_revision: int) -> _Result:
        found = await self._read(write.kind, write.name)
        result = _result_from(write, found)
        if isinstance(result, _Inconclusive):
            return await self._search_history(write, found, started_revision)
        return result

    async def _search_history(
        self, write: _Write, found: StoredObject | None, started_revision: int
    ) -> _Result:
        """Look for the write among the changes since it was first sent."""
        backoff = Backoff(self._budget, self._rng)
        while True:
            try:
                return await self._replay(write, found, started_revision)
            except StoreUnavailable:
                await backoff.wait()
            except ConflictError as error:
                raise WriteUnknown(f"{write.kind}/{write.name}: {error}") from error

    async def _replay(
        self, write: _Write, found: StoredObject | None, started_revision: int
    ) -> _Result:
        after = write.expected_version or started_revision
        async with aclosing(self._store.watch(write.kind, after)) as events:
            async for event in events:
                if event.object.name != write.name:
                    continue
                operations = operations_of(event.object.spec)
                is_ours = bool(operations) and operations[-1].id == write.operation_id
                if is_ours and not event.deleted:
                    return _Applied(event.object.version)
                # A version is replaced only once, but a name can be reused many times.
                if write.expected_version:
                    return _NotApplied()
                if found is not None and event.object.version >= found.version:
                    return _NotApplied()
        raise StoreUnavailable("the watch ended")

    async def _read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none; retries until cancelled."""
        backoff = Backoff(self._budget, self._rng)
        while True:
            try:
                found = await self._store.get(kind, name)
            except NotFound:
                return None
            except StoreUnavailable:
                await backoff.wait()
            else:
                self._seen_revision = max(self._seen_revision, found.version)
                return found

    def _cache(self, write: _Write, version: int) -> StoredObject:
        self._seen_revision = max(self._seen_revision, version)
        key = (write.kind, write.name)
        self._cached_operations.pop(key, None)
        self._cached_operations[key] = (version, operations_of(write.spec))
        if len(self._cached_operations) > MAX_CACHED_OBJECTS:
            del self._cached_operations[next(iter(self._cached_operations))]
        return StoredObject(write.kind, write.name, version, write.spec)

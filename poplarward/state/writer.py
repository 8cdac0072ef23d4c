"""Conditional writes whose effect the writer always learns.

An answer of the object API may be lost after the write took effect. So every write
adds a random operation id to the object, which keeps the last few of them, each with
the version that its write replaced. A writer that got no answer reads the object back
and finds its own id, or the id of the write that took its place, even if other
writers followed. Where these ids do not settle it, because the object was deleted or
written too often since, the store's history does, as a watch replays it.
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
    """A write that took effect, as the object records it.

    Attributes
    ----------
    id : str
        Random name of the write.
    replaced_version : int
        Version that the write replaced; 0 if it created the object.
    """

    id: str
    replaced_version: int


def operations_of(spec: Mapping[str, Any]) -> list[Operation]:
    """Return the last writes that an object records, oldest first."""
    return [Operation(str(i), int(v)) for i, v in spec.get(OPERATIONS_KEY, [])]


@dataclass(frozen=True)
class _TookEffect:
    version: int


@dataclass(frozen=True)
class _Refuted:
    """The write did not take effect and no longer can."""


@dataclass(frozen=True)
class _Pending:
    """The write has not taken effect, but may be sent again."""


@dataclass(frozen=True)
class _Unclear:
    """Only the store's history can tell."""


_Verdict = _TookEffect | _Refuted | _Pending | _Unclear


class _Write(NamedTuple):
    kind: str
    name: str
    spec: dict[str, Any]
    expected_version: int
    operation_id: str


def _judge(write: _Write, found: StoredObject | None) -> _Verdict:
    """Tell what became of a write from the object as it was read back."""
    if found is None:
        return _Unclear() if write.expected_version else _Pending()
    operations = operations_of(found.spec)
    for i, operation in enumerate(operations):
        if operation.id != write.operation_id:
            continue
        if i + 1 < len(operations):
            return _TookEffect(operations[i + 1].replaced_version)
        return _TookEffect(found.version)
    if found.version == write.expected_version:
        return _Pending()
    replaced = [operation.replaced_version for operation in operations]
    if write.expected_version and write.expected_version in replaced:
        return _Refuted()
    return _Unclear()


class Writer:
    """Writes objects so that the outcome of each write is known.

    Parameters
    ----------
    store : ObjectStore
        Where objects are written.
    seed : int
        Seed of the jitter between retries; a process passes a number of its own.
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
        self._remembered: dict[tuple[str, str], tuple[int, list[Operation]]] = {}

    async def put(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, Any],
        expected_version: int,
        timeout_ms: float,
    ) -> StoredObject:
        """Write an object if it has the expected version, 0 if it must be new.

        Raises `ConflictError` only if this very write did not take effect,
        `StoreUnavailable` if it was never sent, and `WriteUnknown` if its outcome
        could not be learnt within the timeout. The object that is returned is the
        one written; another writer may have replaced it since.
        """
        write: _Write | None = None
        with trio.move_on_after(timeout_ms / 1000):
            write = await self._prepare(kind, name, spec, expected_version)
            return await self._put_until_known(write)
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
        remembered = self._remembered.get((kind, name))
        if remembered is not None and remembered[0] == version:
            return remembered[1]
        found = await self._read(kind, name)
        if found is None or found.version != version:
            held = "no version" if found is None else f"version {found.version}"
            raise ConflictError(f"{kind}/{name} has {held}, not {version}")
        return operations_of(found.spec)

    async def _put_until_known(self, write: _Write) -> StoredObject:
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
                return self._remember(write, stored.version)
            match await self._learn(write, started_revision):
                case _TookEffect(version):
                    return self._remember(write, version)
                case _Refuted():
                    raise ConflictError(f"{write.kind}/{write.name} was replaced")
                case _Pending():
                    await backoff.wait()

    async def _learn(self, write: _Write, started_revision: int) -> _Verdict:
        found = await self._read(write.kind, write.name)
        verdict = _judge(write, found)
        if isinstance(verdict, _Unclear):
            return await self._learn_from_history(write, found, started_revision)
        return verdict

    async def _learn_from_history(
        self, write: _Write, found: StoredObject | None, started_revision: int
    ) -> _Verdict:
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
    ) -> _Verdict:
        after = write.expected_version or started_revision
        async with aclosing(self._store.watch(write.kind, after)) as events:
            async for event in events:
                if event.object.name != write.name:
                    continue
                operations = operations_of(event.object.spec)
                is_ours = bool(operations) and operations[-1].id == write.operation_id
                if is_ours and not event.deleted:
                    return _TookEffect(event.object.version)
                # A version is replaced only once, but a name can be free many times.
                if write.expected_version:
                    return _Refuted()
                if found is not None and event.object.version >= found.version:
                    return _Refuted()
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

    def _remember(self, write: _Write, version: int) -> StoredObject:
        self._seen_revision = max(self._seen_revision, version)
        key = (write.kind, write.name)
        self._remembered.pop(key, None)
        self._remembered[key] = (version, operations_of(write.spec))
        if len(self._remembered) > MAX_CACHED_OBJECTS:
            del self._remembered[next(iter(self._remembered))]
        return StoredObject(write.kind, write.name, version, write.spec)

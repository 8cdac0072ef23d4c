"""Writes operators' changes to the object API, and keeps the replaced versions."""

from __future__ import annotations

from typing import Any

import trio

from ..errors import ConflictError, NotFound, StoreUnavailable, WriteUnknown
from ..state import (
    CONFIGURATION_FORMAT,
    FORMAT_KEY,
    STORE_KIND,
    ObjectStore,
    Resource,
    StoredObject,
    Writer,
    fields_of_later_releases,
    format_of,
    object_name,
    resource_of,
)

__all__ = ["ResourceWriter", "VersionConflict"]

HISTORY_KEY = "history"
MAX_HISTORY_VERSIONS = 5
WRITE_TIMEOUT_MS = 8000.0
DELETE_BACKOFF_S = 0.25
MAX_SET_ATTEMPTS = 5


class VersionConflict(ConflictError):
    """A change named a version that is not the current one.

    Attributes
    ----------
    current : Resource, optional
        The current resource; None if it does not exist.
    """

    def __init__(self, text: str, current: Resource | None):
        super().__init__(text)
        self.current = current


class ResourceWriter:
    """Writes resources, and keeps the versions that were replaced.

    The history is stored in the object itself, so that one conditional update writes
    both the change and its history.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    writer : Writer
        Makes the conditional writes.
    """

    def __init__(self, store: ObjectStore, writer: Writer):
        self._store = store
        self._writer = writer

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], expected_version: int
    ) -> Resource:
        """Write a resource that has the expected version, 0 if it must be new.

        Raises `VersionConflict`, `StoreUnavailable` or `WriteUnknown`.
        """
        found = await self._find(kind, name)
        self._check_version(kind, name, found, expected_version)
        history = [] if found is None else _extended_history(found)
        content = {
            **_preserved_fields(found, kind),
            **spec,
            HISTORY_KEY: history,
        }
        try:
            stored = await self._writer.put(
                STORE_KIND,
                object_name(kind, name),
                content,
                expected_version,
                WRITE_TIMEOUT_MS,
            )
        except ConflictError as error:
            found = await self._find(kind, name)
            raise _conflict(str(error), found) from error
        return resource_of(stored)

    async def delete(self, kind: str, name: str, expected_version: int) -> int:
        """Delete a resource that has the expected version; returns a revision.

        A process that has applied this revision has removed the resource.
        """
        maybe_sent = False
        with trio.move_on_after(WRITE_TIMEOUT_MS / 1000):
            while True:
                try:
                    found = await self._find(kind, name)
                    if found is None and maybe_sent:
                        return (await self._store.list(STORE_KIND))[0]
                    if found is None:
                        raise NotFound(f"{kind}/{name}")
                    if maybe_sent and found.version != expected_version:
                        # Deleted and created again, or changed before the deletion.
                        break
                    self._check_version(kind, name, found, expected_version)
                    maybe_sent = True
                    return await self._store.delete(
                        STORE_KIND, object_name(kind, name), expected_version
                    )
                except VersionConflict:
                    raise
                except (StoreUnavailable, ConflictError):
                    # The response may be lost, or the conflict caused by an earlier
                    # attempt at this deletion.
                    if not maybe_sent:
                        raise
                await trio.sleep(DELETE_BACKOFF_S)
        raise WriteUnknown(f"deletion of {kind}/{name} at version {expected_version}")

    async def set_or_delete(
        self, kind: str, name: str, spec: dict[str, Any] | None
    ) -> int:
        """Write a resource, or delete it, whatever its version; returns a revision."""
        for _ in range(MAX_SET_ATTEMPTS):
            found = await self._find(kind, name)
            version = 0 if found is None else found.version
            held = None if found is None else resource_of(found).spec
            if held == spec:
                return version
            try:
                if spec is None:
                    return await self.delete(kind, name, version)
                return (await self.put(kind, name, spec, version)).version
            except ConflictError:
                continue
        raise VersionConflict(f"{kind}/{name} changes all the time", None)

    async def history(self, kind: str, name: str) -> list[Resource]:
        """Return the stored versions, newest first; raises `NotFound`."""
        found = await self._find(kind, name)
        if found is None:
            raise NotFound(f"{kind}/{name}")
        earlier = found.spec.get(HISTORY_KEY, [])
        kept = [Resource(kind, name, version, spec) for version, spec in earlier]
        return [resource_of(found), *kept]

    async def _find(self, kind: str, name: str) -> StoredObject | None:
        try:
            return await self._store.get(STORE_KIND, object_name(kind, name))
        except NotFound:
            return None

    def _check_version(
        self, kind: str, name: str, found: StoredObject | None, expected: int
    ) -> None:
        version = 0 if found is None else found.version
        if version != expected:
            text = f"{kind}/{name} has version {version}, not {expected}"
            raise _conflict(text, found)


def _conflict(text: str, found: StoredObject | None) -> VersionConflict:
    return VersionConflict(text, None if found is None else resource_of(found))


def _preserved_fields(found: StoredObject | None, kind: str) -> dict[str, Any]:
    """Return the format and the fields that only later releases define."""
    if found is None:
        return {FORMAT_KEY: CONFIGURATION_FORMAT}
    later = fields_of_later_releases(kind, found.spec)
    return {**later, FORMAT_KEY: max(CONFIGURATION_FORMAT, format_of(found.spec))}


def _extended_history(found: StoredObject) -> list[list[Any]]:
    """Return the history to store with the next version, newest first."""
    earlier = found.spec.get(HISTORY_KEY, [])
    newest = [found.version, resource_of(found).spec]
    return [newest, *earlier][:MAX_HISTORY_VERSIONS]

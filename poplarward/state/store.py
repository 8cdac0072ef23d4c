"""Interface of the platform's object API."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any, NamedTuple, Protocol

__all__ = ["ObjectStore", "StoredObject", "WatchEvent"]


class StoredObject(NamedTuple):
    """An object as stored in the object API.

    Attributes
    ----------
    version : int
        Store revision at which the object was last written.
    spec : dict
        The object's content, up to a megabyte of JSON.
    """

    kind: str
    name: str
    version: int
    spec: dict[str, Any]


class WatchEvent(NamedTuple):
    """A change reported by a watch; deleted objects carry their last content."""

    deleted: bool
    object: StoredObject


class ObjectStore(Protocol):
    """The platform's object API.

    Every method raises `StoreUnavailable` if the API gives no usable response; a write
    may have taken effect nevertheless.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; raises `NotFound`."""
        ...

    async def list(self, kind: str) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and all objects of a kind at it."""
        ...

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], expected_version: int
    ) -> StoredObject:
        """Write an object at its expected version; 0 means that it must be new.

        Raises `ConflictError` if it has another version.
        """
        ...

    async def delete(self, kind: str, name: str, expected_version: int) -> int:
        """Delete an object; returns the revision of the deletion."""
        ...

    def watch(self, kind: str, after_revision: int) -> AsyncGenerator[WatchEvent, None]:
        """Yield each change of a kind after a revision, in order, until cancelled.

        Raises `ConflictError` if the revision is too old to resume from; list again.
        """
        ...

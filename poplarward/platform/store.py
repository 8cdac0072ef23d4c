"""Client of the platform's metadata store."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

import trio

from ..direct.ports import FeedChange, FeedChanges, FeedListing
from ..errors import (
    ConflictError,
    FindingsError,
    NotFound,
    RevisionTooOld,
    StoreInterrupted,
    StoreUnavailable,
    UpstreamUnreachable,
)
from ..telemetry.logs import get_logger
from ..transport.decoding import decode_json_partly
from ..transport.http1_client import Http1Pool

__all__ = ["PlatformStore", "StoreFeed"]

CALL_TIMEOUT_MS = 1_200.0  # The store takes 4 ms, or 250 ms when it is slow.
WATCH_MARGIN_MS = 600.0  # For the transit of a response that the store has held.
MAX_RESPONSE_BYTES = 16_777_216  # A page of a list is about 1 MB at most.
IDLE_CONNECTIONS = 3  # Two watches and one call at a time.

log = get_logger("store")


class _Response(NamedTuple):
    status: int
    document: Any


class PlatformStore:
    """Client of the store, with one connection for each call in progress.

    Every call raises `StoreUnavailable` if there is no usable response; a write may
    have taken effect even then.

    Attributes
    ----------
    n_calls : int
        Calls made so far.
    """

    def __init__(self, address: str):
        self.n_calls = 0
        self._n_failed_calls = 0
        self._pool = Http1Pool(address, IDLE_CONNECTIONS)
        self._host = address.encode()

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close()

    @property
    def n_interruptions(self) -> int:
        """How often contact with the store was lost so far.

        Revisions read before an interruption may not be used after it.
        """
        return self._n_failed_calls + self._pool.n_ended_idle

    async def list_page(self, kind: str, after: str | None) -> dict[str, Any]:
        """Return a page of a kind's objects."""
        query = f"?after={quote(after, errors='surrogateescape')}" if after else ""
        response = await self._call("GET", f"/objects/{kind}{query}", None)
        return self._checked_document(response, kind)

    async def watch(
        self, kind: str, after_revision: int, wait_ms: int
    ) -> dict[str, Any]:
        """Return the changes after a revision, waiting until there are some."""
        path = f"/objects/{kind}?watch={after_revision}&waitMs={wait_ms}"
        response = await self._call("GET", path, None, wait_ms + WATCH_MARGIN_MS)
        if response.status == 410:
            raise RevisionTooOld(f"{kind} after {after_revision}")
        return self._checked_document(response, kind)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object; raises `ConflictError` if it exists."""
        document = {"metadata": {"name": name}, "spec": spec}
        response = await self._call("POST", f"/objects/{kind}", document)
        self._checked_document(response, f"{kind}/{name}")

    async def replace(self, kind: str, name: str, spec: Any) -> None:
        """Replace an object, whatever its revision; raises `NotFound`."""
        document = {"metadata": {"name": name}, "spec": spec}
        response = await self._call("PUT", f"/objects/{kind}/{quote(name)}", document)
        self._checked_document(response, f"{kind}/{name}")

    async def _call(
        self, method: str, path: str, document: Any, timeout_ms: float = CALL_TIMEOUT_MS
    ) -> _Response:
        self.n_calls += 1
        body = b"" if document is None else json.dumps(document).encode()
        headers = [(b"Host", self._host)]
        if document is not None:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", b"%d" % len(body)))
        try:
            with trio.fail_after(timeout_ms / 1000):
                return await self._exchange(method, path, headers, body)
        except UpstreamUnreachable as error:
            raise self._unavailable(str(error)) from error
        except trio.TooSlowError as error:
            raise self._unavailable(f"no response in {timeout_ms:.0f} ms") from error
        except ValueError as error:
            raise self._unavailable(f"invalid response: {error}") from error

    async def _exchange(
        self, method: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> _Response:
        connection = await self._pool.acquire()
        is_whole = False
        try:
            await connection.send(method, path, headers, body)
            head = await connection.read_head()
            content = await connection.read_body(MAX_RESPONSE_BYTES)
            is_whole = True
        finally:
            if is_whole:
                await self._pool.release(connection)
            else:
                await connection.close()
        return _Response(head.status, decode_json_partly(content) if content else None)

    def _checked_document(self, response: _Response, what: str) -> dict[str, Any]:
        match response.status:
            case 200 | 201:
                if isinstance(response.document, dict):
                    return response.document
                raise self._unavailable(f"{what}: no JSON object in the response")
            case 404:
                raise NotFound(what)
            case 409:
                raise ConflictError(what)
            case status:
                raise self._unavailable(f"{what}: status {status}")

    def _unavailable(self, reason: str) -> StoreUnavailable:
        """Count a failed call and return its error."""
        self._n_failed_calls += 1
        return StoreUnavailable(reason)


class StoreFeed:
    """The objects of one kind, decoded.

    Objects that can't be decoded are logged and treated as missing.

    Parameters
    ----------
    store : PlatformStore
    kind : str
    decode : callable
        Takes an object's name and content; raises `FindingsError`.
    """

    def __init__(
        self, store: PlatformStore, kind: str, decode: Callable[[str, Any], Any]
    ):
        self._store = store
        self._kind = kind
        self._decode = decode
        self._n_interruptions = 0  # When the objects were last listed.

    async def list(self) -> FeedListing:
        """Return all objects."""
        self._n_interruptions = self._store.n_interruptions
        objects: dict[str, Any] = {}
        revision: int | None = None
        after: str | None = None
        while True:
            page = await self._store.list_page(self._kind, after)
            if after is not None and self._is_interrupted():
                raise StoreUnavailable(f"{self._kind}: contact lost between two pages")
            # Changes are watched from the first page's revision on, so that none that
            # happens between two pages is missed.
            revision = _revision(page) if revision is None else revision
            last = after
            for item in _list_of(page, "items"):
                change = self._read(item, is_deleted=False)
                if change is None:
                    continue
                last = change.name
                if change.value is not None:
                    objects[change.name] = change.value
            if not page.get("hasMore"):
                return FeedListing(revision, objects)
            if last == after:
                raise StoreUnavailable(f"{self._kind}: more after an empty page")
            after = last

    async def changes(self, after_revision: int, wait_ms: int) -> FeedChanges:
        """Return the changes after a revision, waiting until there are some."""
        self._check_contact(after_revision)
        response = await self._store.watch(self._kind, after_revision, wait_ms)
        self._check_contact(after_revision)
        if _revision(response) < after_revision:
            raise StoreInterrupted(f"{self._kind}: revision below {after_revision}")
        changes = []
        for event in _list_of(response, "events"):
            if not isinstance(event, dict):
                log.warning("store.event_invalid", kind=self._kind)
                continue
            is_deleted = event.get("deleted") is True
            change = self._read(event.get("object"), is_deleted)
            if change is not None:
                changes.append(change)
        return FeedChanges(_revision(response), changes)

    def _is_interrupted(self) -> bool:
        """Whether contact with the store was lost since the objects were listed."""
        return self._store.n_interruptions != self._n_interruptions

    def _check_contact(self, revision: int) -> None:
        if self._is_interrupted():
            raise StoreInterrupted(f"{self._kind}: contact lost since {revision}")

    def _read(self, item: Any, is_deleted: bool) -> FeedChange | None:
        """Return an object as it is now, or None if not even its name can be read."""
        try:
            metadata, spec = item["metadata"], item.get("spec")
            name = metadata["name"]
            is_deleted = is_deleted or metadata.get("deleting") is True
        except (TypeError, KeyError, AttributeError) as error:
            log.warning("store.object_invalid", kind=self._kind, reason=repr(error))
            return None
        if not isinstance(name, str):
            log.warning("store.object_invalid", kind=self._kind, reason="name")
            return None
        if is_deleted:
            return FeedChange(name, None)
        try:
            return FeedChange(name, self._decode(name, spec))
        except FindingsError as error:
            log.warning(
                "store.undecodable", kind=self._kind, name=name, reason=str(error)[:300]
            )
            return FeedChange(name, None)


def _list_of(document: dict[str, Any], name: str) -> list[Any]:
    values = document.get(name)
    if not isinstance(values, list):
        raise StoreUnavailable(f"no list of {name} in the response")
    return values


def _revision(document: dict[str, Any]) -> int:
    revision = document.get("storeRevision")
    if not isinstance(revision, int):
        raise StoreUnavailable(f"no revision in the response: {revision!r}")
    return revision

"""Client of the platform's object API over HTTP.

The API follows the conventions of Kubernetes' API: an object has a kind, a name and
a ``resourceVersion`` that increases with every write to any object; an update states
the version it replaces and is refused with status 409 if the object has another one;
a watch is a response with one JSON event per line.
"""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator, Iterator
from contextlib import aclosing, contextmanager
from typing import Any

from ..errors import ConflictError, NotFound, StoreUnavailable, UpstreamUnreachable
from ..transport.decoding import decode_json
from ..transport.http_client import HttpAccess, HttpClient, HttpResponse
from .store import StoredObject, WatchEvent

__all__ = ["HttpObjectStore"]

API_PREFIX = "/apis/poplarward.dev/v1"
CALL_TIMEOUT_MS = 3000
WATCH_IDLE_TIMEOUT_MS = 60_000
MAX_EVENT_BYTES = 4_194_304  # Objects are about 1 MB at most.


class HttpObjectStore:
    """Client of the object API over HTTP.

    Calls raise `StoreUnavailable` if there is no usable response, also if it is cut
    short; a write may have taken effect even then.

    Parameters
    ----------
    base_url : str
        Such as ``http://127.0.0.1:7000``.
    access : HttpAccess, optional
        TLS context and token for the platform.
    """

    def __init__(self, base_url: str, access: HttpAccess | None = None):
        self._client = HttpClient(base_url, access=access)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object; raises `NotFound`."""
        with _invalid_as_unavailable():
            return _read_object(await self._call("GET", f"/{kind}/{name}"))

    async def list(self, kind: str) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and all objects of a kind at it."""
        with _invalid_as_unavailable():
            document = await self._call("GET", f"/{kind}")
            items = [_read_object(item) for item in document["items"]]
            return int(document["metadata"]["resourceVersion"]), items

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], expected_version: int
    ) -> StoredObject:
        """Write an object at its expected version; 0 means that it must be new."""
        metadata = {"name": name, "resourceVersion": str(expected_version)}
        document = {"kind": kind, "metadata": metadata, "spec": spec}
        with _invalid_as_unavailable():
            return _read_object(await self._call("PUT", f"/{kind}/{name}", document))

    async def delete(self, kind: str, name: str, expected_version: int) -> int:
        """Delete an object; returns the revision of the deletion."""
        path = f"/{kind}/{name}?resourceVersion={expected_version}"
        with _invalid_as_unavailable():
            document = await self._call("DELETE", path)
            return int(document["metadata"]["resourceVersion"])

    async def watch(
        self, kind: str, after_revision: int
    ) -> AsyncGenerator[WatchEvent, None]:
        """Yield each change of a kind after a revision, in order."""
        path = f"{API_PREFIX}/{kind}?watch=true&resourceVersion={after_revision}"
        try:
            async with self._client.stream(
                "GET", path, timeout_ms=WATCH_IDLE_TIMEOUT_MS
            ) as response:
                if response.status == 410:
                    raise ConflictError(f"revision {after_revision} is too old")
                if response.status != 200:
                    raise StoreUnavailable(f"status {response.status}")
                remainder = b""
                async with aclosing(response.chunks()) as chunks:
                    async for chunk in chunks:
                        *lines, remainder = (remainder + chunk).split(b"\n")
                        for line in filter(None, lines):
                            with _invalid_as_unavailable():
                                event = _read_event(line)
                            yield event
                        if len(remainder) > MAX_EVENT_BYTES:
                            raise StoreUnavailable("an event without end")
        except UpstreamUnreachable as error:
            raise StoreUnavailable(str(error)) from error

    async def _call(self, method: str, path: str, document: Any = None) -> Any:
        body = b"" if document is None else json.dumps(document).encode()
        try:
            response = await self._client.call(
                method,
                API_PREFIX + path,
                [("content-type", "application/json")],
                body,
                CALL_TIMEOUT_MS,
            )
        except UpstreamUnreachable as error:
            raise StoreUnavailable(str(error)) from error
        return _read_response(response, path)


@contextmanager
def _invalid_as_unavailable() -> Iterator[None]:
    """Raise `StoreUnavailable` for a document that can't be read."""
    try:
        yield
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"invalid response: {error!r}") from error


def _read_response(response: HttpResponse, path: str) -> Any:
    match response.status:
        case 200 | 201:
            return decode_json(response.body)
        case 404:
            raise NotFound(path)
        case 409:
            raise ConflictError(path)
        case status:
            raise StoreUnavailable(f"status {status}")


def _read_object(document: Any) -> StoredObject:
    metadata = document["metadata"]
    return StoredObject(
        document["kind"],
        metadata["name"],
        int(metadata["resourceVersion"]),
        document["spec"],
    )


def _read_event(line: bytes) -> WatchEvent:
    document = decode_json(line)
    return WatchEvent(document["type"] == "DELETED", _read_object(document["object"]))

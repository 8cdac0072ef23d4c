"""Serves the stand-in object API and host list over HTTP.

Besides the published paths, ``PUT /faults`` sets the injected faults and
``GET /counts`` returns the number of calls, for tests and the demonstration.
"""

from __future__ import annotations

import dataclasses
import json
from collections import deque
from typing import Any

import trio

from ..errors import ConflictError, NotFound, StoreUnavailable
from ..state import StoredObject, WatchEvent
from ..state.http_store import API_PREFIX
from ..transport import HttpRequest, Responder
from .object_store import MemoryObjectStore

__all__ = ["PlatformStandin"]

MAX_BODY_BYTES = 2 * 1024 * 1024


class PlatformStandin:
    """The HTTP interface of the platform.

    Parameters
    ----------
    store : MemoryObjectStore
        Holds the objects.
    host_list_lag_ms : float
        Time until a change of the host list becomes visible.
    """

    def __init__(self, store: MemoryObjectStore, host_list_lag_ms: float = 500):
        self.store = store
        self._lag_s = host_list_lag_ms / 1000
        self._hosts: dict[str, dict[str, Any]] = {}
        self._pending: deque[tuple[float, str, dict[str, Any] | None]] = deque()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        try:
            if request.path.startswith(API_PREFIX + "/"):
                parts = request.path.removeprefix(API_PREFIX + "/").split("/")
                await self._handle_object(request, responder, parts)
            elif request.path == "/hosts" or request.path.startswith("/hosts/"):
                await self._handle_hosts(request, responder)
            else:
                await self._handle_control(request, responder)
        except NotFound as error:
            await responder.respond_json(404, {"message": str(error)})
        except ConflictError as error:
            await responder.respond_json(409, {"message": str(error)})
        except StoreUnavailable as error:
            if not responder.started:
                await responder.respond_json(503, {"message": str(error)})

    async def _handle_object(
        self, request: HttpRequest, responder: Responder, parts: list[str]
    ) -> None:
        store = self.store
        match request.method, parts:
            case "GET", [kind] if request.query.get("watch") == "true":
                after = int(request.query["resourceVersion"])
                await self._stream_watch(request, responder, kind, after)
            case "GET", [kind]:
                revision, items = await store.list(kind)
                document = {
                    "metadata": {"resourceVersion": str(revision)},
                    "items": [_object_document(item) for item in items],
                }
                await responder.respond_json(200, document)
            case "GET", [kind, name]:
                found = await store.get(kind, name)
                await responder.respond_json(200, _object_document(found))
            case "PUT", [kind, name]:
                document = json.loads(await request.body(MAX_BODY_BYTES))
                expected = int(document["metadata"]["resourceVersion"])
                stored = await store.put(kind, name, document["spec"], expected)
                await responder.respond_json(200, _object_document(stored))
            case "DELETE", [kind, name]:
                expected = int(request.query["resourceVersion"])
                revision = await store.delete(kind, name, expected)
                document = {"metadata": {"resourceVersion": str(revision)}}
                await responder.respond_json(200, document)
            case _:
                raise NotFound(request.path)

    async def _stream_watch(
        self, request: HttpRequest, responder: Responder, kind: str, after: int
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
            started = False
            try:
                events = self.store.watch(kind, after)
                await responder.start(200, [("content-type", "application/json")])
                started = True
                await responder.write(b"\n")
                async for event in events:
                    line = json.dumps(_event_document(event)).encode()
                    await responder.write(line + b"\n")
            except (ConflictError, StoreUnavailable):
                if started:
                    await responder.finish()
            nursery.cancel_scope.cancel()

    async def _handle_hosts(self, request: HttpRequest, responder: Responder) -> None:
        self._apply_due_host_changes()
        name = request.path.removeprefix("/hosts").lstrip("/")
        match request.method:
            case "GET" if not name:
                hosts = list(self._hosts.values())
                await responder.respond_json(200, {"hosts": hosts})
            case "PUT" if name:
                host = json.loads(await request.body(MAX_BODY_BYTES))
                self._schedule_host_change(name, {**host, "name": name})
                await responder.respond_json(200, {})
            case "DELETE" if name:
                self._schedule_host_change(name, None)
                await responder.respond_json(200, {})
            case _:
                raise NotFound(request.path)

    def _schedule_host_change(self, name: str, host: dict[str, Any] | None) -> None:
        self._pending.append((trio.current_time() + self._lag_s, name, host))

    def _apply_due_host_changes(self) -> None:
        while self._pending and self._pending[0][0] <= trio.current_time():
            _, name, host = self._pending.popleft()
            if host is None:
                self._hosts.pop(name, None)
            else:
                self._hosts[name] = host

    async def _handle_control(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "PUT", "/faults":
                changes = json.loads(await request.body(MAX_BODY_BYTES))
                for field, value in changes.items():
                    setattr(self.store.faults, field, value)
                self.store.set_down(self.store.faults.is_down)
                await responder.respond_json(200, {})
            case "GET", "/counts":
                counts = dataclasses.asdict(self.store.counts)
                await responder.respond_json(200, counts)
            case _:
                raise NotFound(request.path)


def _object_document(stored: StoredObject) -> dict[str, Any]:
    metadata = {"name": stored.name, "resourceVersion": str(stored.version)}
    return {"kind": stored.kind, "metadata": metadata, "spec": stored.spec}


def _event_document(event: WatchEvent) -> dict[str, Any]:
    kind = "DELETED" if event.deleted else "MODIFIED"
    return {"type": kind, "object": _object_document(event.object)}

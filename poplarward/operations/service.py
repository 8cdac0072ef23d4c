"""The operators' calls, implemented on an entry host."""

from __future__ import annotations

import hmac
from collections.abc import AsyncIterator, Mapping
from typing import Any

import trio
from connectrpc.code import Code
from connectrpc.errors import ConnectError, ErrorDetail
from protobuf.wkt import Any as AnyMessage

from ..errors import ConflictError, FindingsError, NotFound, StoreUnavailable
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..protocol.generated.poplarward.v1.operations_connect import (
    Operations,
    OperationsASGIApplication,
)
from ..state import (
    KINDS,
    STORE_KIND,
    ConfigurationView,
    ObjectStore,
    Resource,
    check_spec,
    object_name,
    resource_of,
)
from .conversion import message_of, spec_of

__all__ = ["OperationsService", "operations_application"]

WATCH_POLL_S = 0.2
IN_FORCE_WAIT_S = 2.0


class OperationsService(Operations):
    """Answers operators from the object API and the configuration in force.

    Parameters
    ----------
    store : ObjectStore
        Where accepted changes are written.
    view : ConfigurationView
        What this entry host has in force.
    """

    def __init__(self, store: ObjectStore, view: ConfigurationView):
        self._store = store
        self._view = view

    async def apply(self, request: pb.ApplyRequest, ctx: Any) -> pb.ApplyResponse:
        """Validate a resource and write it with its expected version."""
        name = request.resource.name
        try:
            kind, spec = spec_of(request.resource)
            spec = check_spec(kind, name, spec)
            if request.validate_only:
                checked = Resource(kind, name, request.expected_version, spec)
                return pb.ApplyResponse(resource=message_of(checked))
            stored = await self._store.put(
                STORE_KIND, object_name(kind, name), spec, request.expected_version
            )
        except FindingsError as error:
            raise _refusal(Code.INVALID_ARGUMENT, error) from error
        except ConflictError as error:
            raise await self._conflict(kind, name, error) from error
        except StoreUnavailable as error:
            raise ConnectError(Code.UNAVAILABLE, str(error)) from error
        resource = resource_of(stored)
        with trio.move_on_after(IN_FORCE_WAIT_S):
            await self._view.wait_beyond(resource.version - 1)
        return pb.ApplyResponse(resource=message_of(resource))

    async def delete(self, request: pb.DeleteRequest, ctx: Any) -> pb.DeleteResponse:
        """Delete a resource that has the expected version."""
        try:
            revision = await self._store.delete(
                STORE_KIND,
                object_name(request.kind, request.name),
                request.expected_version,
            )
        except ConflictError as error:
            raise await self._conflict(request.kind, request.name, error) from error
        except StoreUnavailable as error:
            raise ConnectError(Code.UNAVAILABLE, str(error)) from error
        return pb.DeleteResponse(revision=revision)

    async def get(self, request: pb.GetRequest, ctx: Any) -> pb.GetResponse:
        """Return a resource in force."""
        spec = self._view.get(request.kind, request.name)
        if spec is None:
            raise ConnectError(Code.NOT_FOUND, f"{request.kind}/{request.name}")
        version = self._view.version(request.kind, request.name)
        resource = Resource(request.kind, request.name, version, spec)
        return pb.GetResponse(resource=message_of(resource))

    async def list(self, request: pb.ListRequest, ctx: Any) -> pb.ListResponse:
        """Return all resources in force of a kind, or of every kind."""
        kinds = [request.kind] if request.kind else list(KINDS)
        resources = [
            message_of(resource)
            for kind in kinds
            for resource in self._view.all(kind)
            if resource.spec is not None
        ]
        return pb.ListResponse(revision=self._view.revision, resources=resources)

    async def watch(
        self, request: pb.WatchRequest, ctx: Any
    ) -> AsyncIterator[pb.WatchResponse]:
        """Stream each change in force after a revision."""
        sent = request.after_revision
        while True:
            changed = [r for r in self._view.all() if r.version > sent]
            for resource in sorted(changed, key=lambda r: r.version):
                sent = resource.version
                yield pb.WatchResponse(resource=message_of(resource))
            await trio.sleep(WATCH_POLL_S)

    async def _conflict(
        self, kind: str, name: str, error: ConflictError
    ) -> ConnectError:
        refusal = pb.Refusal()
        try:
            stored = await self._store.get(STORE_KIND, object_name(kind, name))
            refusal.current.CopyFrom(message_of(resource_of(stored)))
        except (NotFound, StoreUnavailable):
            pass
        return ConnectError(Code.ABORTED, str(error), [_detail(refusal)])


def _refusal(code: Code, error: FindingsError) -> ConnectError:
    findings = [
        pb.Finding(place=f.place, found=f.found, allowed=f.allowed)
        for f in error.findings
    ]
    return ConnectError(code, str(error), [_detail(pb.Refusal(findings=findings))])


def _detail(message: Any) -> ErrorDetail:
    url = "type.googleapis.com/" + message.DESCRIPTOR.full_name
    return ErrorDetail(AnyMessage(type_url=url, value=message.SerializeToString()))


def operations_application(
    service: OperationsService, operator_tokens: Mapping[str, str]
) -> Any:
    """Return the ASGI application that serves operators.

    Parameters
    ----------
    service : OperationsService
        Implements the calls.
    operator_tokens : mapping of str to str
        Bearer tokens of the operators, by operator's name.
    """
    application = OperationsASGIApplication(service)

    async def guarded(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http" and not _is_operator(scope, operator_tokens):
            await send({"type": "http.response.start", "status": 401, "headers": []})
            await send({"type": "http.response.body", "body": b""})
            return
        await application(scope, receive, send)

    return guarded


def _is_operator(scope: dict[str, Any], tokens: Mapping[str, str]) -> bool:
    headers = dict(scope["headers"])
    given = headers.get(b"authorization", b"").removeprefix(b"Bearer ")
    return any(hmac.compare_digest(given, t.encode()) for t in tokens.values())

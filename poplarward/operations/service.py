"""Implements the operators' calls on an entry host."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import trio
from connectrpc.code import Code

from ..errors import Finding, FindingsError, NotFound, RevisionTooOld
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..protocol.generated.poplarward.v1.operations_connect import Operations
from ..state import (
    DRAIN_KIND,
    FREEZE_KIND,
    KINDS,
    ConfigurationView,
    ObjectStore,
    Resource,
    Writer,
)
from .changes import ResourceWriter
from .conversion import is_declared, message_of, spec_of
from .differences import differences
from .refusals import difference_messages, errors_as_refusals, refusal
from .status import RebalanceControl, StatusSource
from .validation import check_deletion, check_resource

__all__ = ["OperationsService"]

IN_FORCE_WAIT_S = 2.0


class OperationsService(Operations):
    """Serves operators from the object API and the applied configuration.

    Parameters
    ----------
    store : ObjectStore
        Where accepted changes are written.
    view : ConfigurationView
        The configuration that this entry host has applied.
    status : StatusSource
        Knows the other processes.
    rebalancing : RebalanceControl, optional
        Starts a rebalancing on request.
    """

    def __init__(
        self,
        store: ObjectStore,
        view: ConfigurationView,
        status: StatusSource,
        rebalancing: RebalanceControl | None = None,
    ):
        self._changes = ResourceWriter(store, Writer(store))
        self._view = view
        self._status = status
        self._rebalancing = rebalancing

    async def apply(self, request: pb.ApplyRequest, ctx: Any) -> pb.ApplyResponse:
        """Validate a resource and write it with its expected version."""
        name, expected = request.resource.name, request.expected_version
        with errors_as_refusals():
            kind, spec = spec_of(request.resource)
            spec = check_resource(self._view, kind, name, spec)
        proposed = Resource(kind, name, expected, spec)
        if request.validate_only:
            return pb.ApplyResponse(resource=message_of(proposed))
        with errors_as_refusals(proposed):
            resource = await self._changes.put(kind, name, spec, expected)
        await self._wait_until_applied(resource.version)
        return pb.ApplyResponse(resource=message_of(resource))

    async def delete(self, request: pb.DeleteRequest, ctx: Any) -> pb.DeleteResponse:
        """Delete a resource at the expected version that no other refers to."""
        with errors_as_refusals():
            _check_kind(request.kind)
            check_deletion(self._view, request.kind, request.name)
            revision = await self._changes.delete(
                request.kind, request.name, request.expected_version
            )
        await self._wait_until_applied(revision)
        return pb.DeleteResponse(revision=revision)

    async def get(self, request: pb.GetRequest, ctx: Any) -> pb.GetResponse:
        """Return an applied resource."""
        with errors_as_refusals():
            _check_kind(request.kind)
            spec = self._view.get(request.kind, request.name)
            if spec is None:
                raise NotFound(f"{request.kind}/{request.name}")
        version = self._view.version(request.kind, request.name)
        resource = Resource(request.kind, request.name, version, spec)
        return pb.GetResponse(resource=message_of(resource))

    async def list(self, request: pb.ListRequest, ctx: Any) -> pb.ListResponse:
        """Return all applied resources of a kind, or of every kind."""
        if request.kind:
            with errors_as_refusals():
                _check_kind(request.kind)
        kinds = [request.kind] if request.kind else list(KINDS)
        resources = [
            message_of(resource)
            for kind in kinds
            for resource in sorted(self._view.all(kind), key=lambda r: r.name)
        ]
        return pb.ListResponse(revision=self._view.revision, resources=resources)

    async def watch(
        self, request: pb.WatchRequest, ctx: Any
    ) -> AsyncIterator[pb.WatchResponse]:
        """Stream each applied change after a revision; all resources after 0."""
        position = request.after_revision
        while True:
            with errors_as_refusals():
                changes = self._changes_after(position)
            for resource in changes:
                if is_declared(resource):
                    yield pb.WatchResponse(resource=message_of(resource))
            position = max(position, self._view.revision)
            await self._view.wait_for_newer(position)

    def _changes_after(self, revision: int) -> list[Resource]:
        if revision == 0:
            return sorted(self._view.all(), key=lambda resource: resource.version)
        if revision >= self._view.revision:
            return []
        changes = self._view.changes_after(revision)
        if changes is None:
            raise RevisionTooOld(f"changes since {revision} are not kept")
        return changes.resources

    async def history(self, request: pb.HistoryRequest, ctx: Any) -> pb.HistoryResponse:
        """Return the versions of a resource that are kept, newest first."""
        with errors_as_refusals():
            _check_kind(request.kind)
            versions = await self._changes.history(request.kind, request.name)
        return pb.HistoryResponse(versions=[message_of(r) for r in versions])

    async def diff(self, request: pb.DiffRequest, ctx: Any) -> pb.DiffResponse:
        """Compare two kept versions of a resource."""
        with errors_as_refusals():
            _check_kind(request.kind)
            versions = await self._changes.history(request.kind, request.name)
            specs = {resource.version: resource.spec for resource in versions}
            kept = ", ".join(str(version) for version in specs)
            findings = [
                Finding(f"$.{field}", str(version), f"one of {kept}")
                for field, version in (
                    ("before_version", request.before_version),
                    ("after_version", request.after_version),
                )
                if version not in specs
            ]
            if findings:
                raise FindingsError(findings)
        found = differences(specs[request.before_version], specs[request.after_version])
        return pb.DiffResponse(differences=difference_messages(found))

    async def get_rollout(
        self, request: pb.GetRolloutRequest, ctx: Any
    ) -> pb.GetRolloutResponse:
        """Return which live processes have applied a revision."""
        rollout = await self._status.rollout(request.revision)
        return pb.GetRolloutResponse(
            n_live=rollout.n_live, n_in_force=rollout.n_in_force, behind=rollout.behind
        )

    async def get_status(
        self, request: pb.GetStatusRequest, ctx: Any
    ) -> pb.GetStatusResponse:
        """Return the state of hosts, leases, model groups and their expert maps."""
        return await self._status.status()

    async def drain_host(
        self, request: pb.DrainHostRequest, ctx: Any
    ) -> pb.DrainHostResponse:
        """Stop sending new work to a host, or resume."""
        with errors_as_refusals():
            if request.drain and not self._status.knows_host(request.host):
                raise NotFound(f"host {request.host}")
            spec = {"drain": True} if request.drain else None
            revision = await self._changes.set_or_delete(DRAIN_KIND, request.host, spec)
        await self._wait_until_applied(revision)
        return pb.DrainHostResponse(revision=revision)

    async def freeze_rebalancing(
        self, request: pb.FreezeRebalancingRequest, ctx: Any
    ) -> pb.FreezeRebalancingResponse:
        """Stop or allow automatic rebalancing of a group's experts."""
        with errors_as_refusals():
            self._check_group(request.group)
            spec = {"frozen": True} if request.frozen else None
            revision = await self._changes.set_or_delete(
                FREEZE_KIND, request.group, spec
            )
        await self._wait_until_applied(revision)
        return pb.FreezeRebalancingResponse(revision=revision)

    async def force_rebalance(
        self, request: pb.ForceRebalanceRequest, ctx: Any
    ) -> pb.ForceRebalanceResponse:
        """Plan and start a rebalancing of a group's experts now."""
        with errors_as_refusals():
            self._check_group(request.group)
            if self._rebalancing is None:
                finding = Finding("$", "no rebalancing here", "another entry host")
                raise refusal(Code.FAILED_PRECONDITION, finding.found, [finding])
            version, n_moved = await self._rebalancing.force(request.group)
        return pb.ForceRebalanceResponse(map_version=version, n_experts_moved=n_moved)

    def _check_group(self, name: str) -> None:
        if self._view.get("modelgroups", name) is None:
            raise NotFound(f"modelgroups/{name}")

    async def _wait_until_applied(self, revision: int) -> None:
        """Wait until the revision is applied here, `IN_FORCE_WAIT_S` at most.

        The operator's next call to this host then sees the change.
        """
        with trio.move_on_after(IN_FORCE_WAIT_S):
            await self._view.wait_for_newer(revision - 1)


def _check_kind(kind: str) -> None:
    if kind not in KINDS:
        raise FindingsError([Finding("$.kind", repr(kind)[:80], ", ".join(KINDS))])

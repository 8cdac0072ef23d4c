"""Collects the status of the whole deployment for operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from ..coordination import ConfigurationSync
from ..coordination.configuration import (
    MembersView,
    Rollout,
    gather_revisions,
    gather_rollout,
)
from ..coordination.leases import LEASES_KIND, fence_of
from ..coordination.membership import Member
from ..errors import StoreUnavailable
from ..protocol import Peers
from ..protocol.generated.poplarward.v1 import operations_pb2 as pb
from ..state import (
    DRAIN_KIND,
    FREEZE_KIND,
    ConfigurationView,
    ObjectStore,
    StoredObject,
)

__all__ = ["DeploymentStatus", "GroupState", "RebalanceControl", "StatusSource"]


class GroupState(NamedTuple):
    """The expert map of a model group and the balance of its ranks.

    Attributes
    ----------
    preparing_version : int
        Map version that is being prepared, 0 if none.
    skew : float
        Work of the most loaded rank over the mean.
    """

    name: str
    map_version: int
    preparing_version: int
    skew: float
    n_experts_moved: int


class RebalanceControl(Protocol):
    """Rebalances the experts of model groups."""

    def groups(self) -> Sequence[GroupState]:
        """Return the state of the groups known to this process."""
        ...

    async def force(self, group: str) -> tuple[int, int]:
        """Start a rebalancing; returns map version and number of experts moved.

        Raises `NotFound` for an unknown group, `FindingsError` if none can start now.
        """
        ...


class StatusSource(Protocol):
    """Source of the deployment's status for the operators' calls."""

    async def rollout(self, revision: int) -> Rollout:
        """Return which live processes have applied a revision."""
        ...

    async def status(self) -> pb.GetStatusResponse:
        """Return the state of hosts, leases and groups."""
        ...

    def knows_host(self, name: str) -> bool:
        """Return whether a host is a known member."""
        ...


class DeploymentStatus:
    """The deployment's status as known to an entry host; satisfies `StatusSource`.

    Parameters
    ----------
    peers : Peers
        Queries the other processes.
    configuration : ConfigurationSync
        Publishes the configuration, and knows its subscribers' revisions.
    view : ConfigurationView
        The configuration that this process has applied.
    members : MembersView
        The processes of the deployment.
    store : ObjectStore
        Holds the leases; read once a call.
    rebalancing : RebalanceControl, optional
        Provides the state of the model groups.
    """

    def __init__(
        self,
        peers: Peers,
        configuration: ConfigurationSync,
        view: ConfigurationView,
        members: MembersView,
        store: ObjectStore,
        rebalancing: RebalanceControl | None = None,
    ):
        self._peers = peers
        self._configuration = configuration
        self._view = view
        self._members = members
        self._store = store
        self._rebalancing = rebalancing

    def knows_host(self, name: str) -> bool:
        """Return whether a host is a known member."""
        return any(member.identity.name == name for member in self._members.members())

    async def rollout(self, revision: int) -> Rollout:
        """Return which live processes have applied a revision."""
        return await gather_rollout(
            self._peers, self._configuration.publisher, self._members, revision
        )

    async def status(self) -> pb.GetStatusResponse:
        """Return the state of hosts, leases and groups."""
        revisions = await gather_revisions(
            self._peers, self._configuration.publisher, self._members
        )
        try:
            _, leases = await self._store.list(LEASES_KIND)
            store_reachable = True
        except StoreUnavailable:
            leases, store_reachable = [], False
        return pb.GetStatusResponse(
            revision_in_force=self._view.revision,
            store_reachable=store_reachable,
            hosts=self._host_messages(revisions),
            leases=[_lease_message(lease) for lease in leases],
            groups=self._group_messages(),
        )

    def _host_messages(self, revisions: dict[str, int]) -> list[pb.HostStatus]:
        return [
            pb.HostStatus(
                name=member.identity.name,
                role=member.identity.role,
                data_centre=member.identity.data_centre,
                state=str(member.state),
                revision_in_force=revisions.get(member.identity.name, 0),
                draining=self._view.get(DRAIN_KIND, member.identity.name) is not None,
            )
            for member in sorted(self._members.members(), key=_name_of)
        ]

    def _group_messages(self) -> list[pb.GroupStatus]:
        groups = self._rebalancing.groups() if self._rebalancing else ()
        return [
            pb.GroupStatus(
                name=group.name,
                map_version=group.map_version,
                preparing_version=group.preparing_version,
                frozen=self._view.get(FREEZE_KIND, group.name) is not None,
                skew=group.skew,
                n_experts_moved=group.n_experts_moved,
            )
            for group in groups
        ]


def _name_of(member: Member) -> str:
    return member.identity.name


def _lease_message(lease: StoredObject) -> pb.LeaseStatus:
    return pb.LeaseStatus(
        name=lease.name, holder=lease.spec["holder"], fencing_number=fence_of(lease)
    )

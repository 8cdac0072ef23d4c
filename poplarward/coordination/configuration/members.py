"""What the configuration needs to know of the other processes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from ...protocol import ProcessIdentity
from ..hosts import HostList

__all__ = ["ListedMembers", "LiveMember", "MembersView"]


class LiveMember(NamedTuple):
    """A process that is taken to be live."""

    identity: ProcessIdentity


class MembersView(Protocol):
    """The processes of the deployment, as this process knows them."""

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> Sequence[LiveMember]:
        """Return the live processes, those of a role or data centre if given."""
        ...


class ListedMembers:
    """The platform's host list as a `MembersView`."""

    def __init__(self, hosts: HostList):
        self._hosts = hosts

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> list[LiveMember]:
        """Return the live processes, those of a role or data centre if given."""
        return [
            LiveMember(
                ProcessIdentity(host.role, host.name, 0, host.peers, host.data_centre)
            )
            for host in sorted(self._hosts.hosts.values())
            if host.state == "live"
            and role in (None, host.role)
            and data_centre in (None, host.data_centre)
        ]

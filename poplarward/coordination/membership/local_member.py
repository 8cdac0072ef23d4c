"""This process's own membership record, and its replies to probes."""

from __future__ import annotations

import time
from collections.abc import Callable

from ...protocol import Connection, Peers, ProcessIdentity
from ...protocol.heartbeats import (
    HeartbeatStatus,
    MemberRecord,
    MemberState,
    Probe,
    ProbeReply,
)

__all__ = ["LocalMember"]


class LocalMember:
    """Membership record of this process; all that an agent needs of membership.

    Parameters
    ----------
    peers : Peers
        Must be started already, so that the address is known.
    callers_address : str
        Address at which an entry host accepts callers' requests.
    status : callable, optional
        Returns the configuration status that heartbeats carry.
    now_ms : callable, optional
        Wall clock; a later start of the process must read a later time.

    Attributes
    ----------
    on_status : list of callable
        Called with the sender and the status of each heartbeat received.
    """

    def __init__(
        self,
        peers: Peers,
        callers_address: str = "",
        status: Callable[[], HeartbeatStatus] = HeartbeatStatus,
        now_ms: Callable[[], float] = lambda: time.time() * 1000,
    ):
        self.status = status
        self.on_status: list[Callable[[ProcessIdentity, HeartbeatStatus], None]] = []
        self.table_digest: Callable[[], bytes] = lambda: b""
        self._peers = peers
        self._callers_address = callers_address
        self._incarnation = int(now_ms())
        self._state = MemberState.LIVE
        self._is_stopping = False
        peers.register(Probe, self._on_probe)

    def record(self) -> MemberRecord:
        """Return this process's own record."""
        identity = self._peers.identity
        return MemberRecord(
            identity.name,
            identity.role,
            identity.data_centre,
            identity.address,
            self._callers_address,
            identity.start_id,
            self._incarnation,
            self._state,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether this process is stopping, or its host is reported as draining."""
        return self._state is MemberState.LEAVING

    def leave(self) -> None:
        """Report this process as draining from now on."""
        self._is_stopping = True
        self._state = MemberState.LEAVING

    def apply_claim(self, incarnation: int, state: MemberState) -> None:
        """Apply what others claim about this process, or refute it if it is wrong."""
        if incarnation < self._incarnation:
            return
        match state:
            case MemberState.LEAVING:
                self._incarnation = incarnation
                self._state = MemberState.LEAVING
            case MemberState.SUSPECT | MemberState.GONE:
                self._incarnation = incarnation + 1
            case MemberState.LIVE:
                # The platform lists the host as live again, or the clock has gone
                # back since an earlier start of this process.
                if incarnation > self._incarnation:
                    self._incarnation = incarnation + 1
                    if not self._is_stopping:
                        self._state = MemberState.LIVE

    def notify_status(self, sender: ProcessIdentity, status: HeartbeatStatus) -> None:
        """Pass the status of a heartbeat to the registered callbacks."""
        for callback in self.on_status:
            callback(sender, status)

    async def _on_probe(self, connection: Connection, probe: Probe) -> ProbeReply:
        self.apply_claim(probe.incarnation, probe.state)
        self.notify_status(connection.identity, probe.status)
        return ProbeReply(self.record(), self.status(), self.table_digest())

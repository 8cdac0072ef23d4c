"""Failure detection and membership of all processes, on an entry host.

Each process is watched by a few entry hosts of its data centre. A watcher that gets no
reply probes indirectly through other entry hosts before it suspects the process, and
it disseminates the suspicion so that the process can refute it. Delegates of each data
centre probe those of the others, so a network partition is detected for a data centre
as a whole: its processes are suspect for the others, and live for each other.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from ...protocol import Connection, Peers
from ...protocol.heartbeats import MemberRecord, MemberState, ProbeReply
from ...slices import run_in_slices
from ...telemetry import get_logger
from ...transport import Address
from ..hosts import ListedHost
from .assignment import WatchAssignment
from .data_centres import DataCentreProber
from .dissemination import Disseminator
from .local_member import LocalMember
from .probing import Prober, Stalled
from .table import MemberTable
from .view import Member, MemberView, identity_of

__all__ = ["Membership", "MembershipTiming"]

ASSIGN_INTERVAL_MS = 500.0
ISOLATED_INTERVALS = 2.5
# Longer than the delay before a failed connection is reopened.
RECONNECT_DELAY_S = 0.3

_DRAINABLE_STATES = (MemberState.LIVE, MemberState.SUSPECT)

log = get_logger("membership")


class MembershipTiming(NamedTuple):
    """Intervals and timeouts of failure detection.

    Attributes
    ----------
    probe_interval_ms : float
        Time between the probes of one watcher.
    agent_probe_interval_ms : float
        The same for an agent that replied to the last probe.
    suspicion_timeout_ms : float
        Time from a suspicion until the process is regarded as gone.
    gone_retention_ms : float
        Time for which a gone process is still probed and its record is kept.
    """

    probe_interval_ms: float = 1000.0
    agent_probe_interval_ms: float = 2000.0
    suspicion_timeout_ms: float = 5000.0
    gone_retention_ms: float = 60_000.0


class Membership:
    """The processes of the deployment and their states.

    Parameters
    ----------
    local_member : LocalMember
        This process's own record.
    listed_hosts : callable
        Returns the platform's list of hosts, which may lag behind.
    n_list_reads : callable, optional
        Returns how often that list was read; by default each call counts as a read.

    Attributes
    ----------
    on_change : list of callable
        Called after each change of a state.
    """

    def __init__(
        self,
        peers: Peers,
        local_member: LocalMember,
        listed_hosts: Callable[[], Iterable[ListedHost]],
        timing: MembershipTiming | None = None,
        seed: int = 0,
        n_list_reads: Callable[[], int] | None = None,
    ):
        self.on_change: list[Callable[[], None]] = []
        self._peers = peers
        self._local_member = local_member
        self._listed_hosts = listed_hosts
        self._timing = timing or MembershipTiming()
        self._rng = random.Random(seed)
        self._table = MemberTable()
        self._disseminator = Disseminator(peers, self._table, self._merge)
        self._prober = Prober(peers, local_member, self._rng)
        self._data_centres = DataCentreProber(
            peers,
            self._table,
            self._prober,
            self._disseminator,
            self._apply_reply,
            self._changed,
        )
        self._view = MemberView(self._table, self._data_centres.reachability)
        self._watches: dict[str, trio.CancelScope] = {}
        self._connection_lost: dict[str, trio.Event] = {}
        self._assignment = WatchAssignment(peers.identity.name)
        self._needs_assignment = True
        self._last_reply_at = 0.0
        self._gone_at: dict[str, float] = {}
        self._hosts_read: dict[str, ListedHost] = {}
        self._n_list_reads = n_list_reads or itertools.count().__next__
        self._marked_draining: dict[str, tuple[int, int]] = {}
        self._scope = trio.CancelScope()
        local_member.table_digest = self._table.digest
        peers.on_lost.append(self._on_connection_lost)

    def members(
        self, role: str | None = None, data_centre: str | None = None
    ) -> list[Member]:
        """Return the processes of a role and data centre, in any state."""
        return self._view.members(role, data_centre)

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> list[Member]:
        """Return the processes that may be assigned work."""
        return self._view.live(role, data_centre)

    def not_live(self, role: str) -> frozenset[str]:
        """Return the names of a role's processes that may not be assigned work."""
        return self._view.not_live(role)

    def gone(self, role: str) -> set[str]:
        """Return the names of a role's processes that are gone."""
        return self._view.gone(role)

    async def start(self, nursery: trio.Nursery) -> None:
        """Announce this process and start to watch other processes."""
        self._read_hosts()
        self._announce()
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Announce that this process is draining, and stop watching."""
        self._local_member.leave()
        self._announce()
        with trio.move_on_after(1):
            await self._disseminator.flush()
        self._scope.cancel()

    def _announce(self) -> None:
        record = self._local_member.record()
        self._merge([record])
        self._disseminator.publish([record])

    def _merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        changed = self._table.merge(records)
        for record in changed:
            if record.name == self._peers.identity.name:
                self._apply_own_record(record)
            if record.state is MemberState.GONE:
                self._gone_at[record.name] = trio.current_time()
            log.debug("member.changed", name=record.name, state=record.state)
        if changed:
            self._needs_assignment = True
            self._changed()
        return changed

    def _apply_own_record(self, record: MemberRecord) -> None:
        own = self._local_member.record()
        if record == own:
            return
        self._local_member.apply_claim(record.incarnation, record.state)
        refutation = self._local_member.record()
        self._table.merge([refutation])
        self._disseminator.publish([refutation])

    def _changed(self) -> None:
        self._view.clear()
        self._data_centres.clear()
        for callback in self.on_change:
            callback()

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                await self._disseminator.start(nursery)
                nursery.start_soon(
                    self._data_centres.run, self._timing.probe_interval_ms
                )
                while True:
                    self._read_hosts()
                    self._expire_gone()
                    if self._needs_assignment:
                        self._needs_assignment = False
                        await self._assign(nursery)
                    await trio.sleep(ASSIGN_INTERVAL_MS / 1000)

    def _read_hosts(self) -> None:
        """Apply what is known only from the platform's list."""
        hosts = {host.name: host for host in self._listed_hosts()}
        n_reads = self._n_list_reads()
        changed = []
        for host in hosts.values():
            known = self._table.records.get(host.name)
            if known is None:
                changed.append(_record_of(host))
            elif host.state == "leaving":
                changed += self._mark_draining(known, n_reads)
            elif self._marked_draining.pop(host.name, None) is not None:
                changed += _undo_draining(known)
        self._hosts_read = hosts
        self._disseminator.publish(self._merge(changed))

    def _mark_draining(self, known: MemberRecord, n_reads: int) -> list[MemberRecord]:
        """Return the record change for a host that is listed as draining.

        The change is returned once for each start of the host and each read of the
        list, since an entry host that has read a newer list may undo it.
        """
        mark = (known.start_id, n_reads)
        if self._marked_draining.get(known.name) == mark:
            return []
        self._marked_draining[known.name] = mark
        if known.state not in _DRAINABLE_STATES:
            return []
        return [known._replace(state=MemberState.LEAVING)]

    def _expire_gone(self) -> None:
        """Remove unlisted processes that have been gone for the retention time."""
        limit = trio.current_time() - self._timing.gone_retention_ms / 1000
        for name, gone_at in list(self._gone_at.items()):
            known = self._table.records.get(name)
            if known is None or known.state is not MemberState.GONE:
                del self._gone_at[name]
            elif gone_at < limit and name not in self._hosts_read:
                del self._gone_at[name]
                self._table.forget(name)
                self._needs_assignment = True
                self._changed()

    async def _assign(self, nursery: trio.Nursery) -> None:
        """Start and stop watches as entry hosts join and leave."""
        records = list(self._table.records.values())
        watched = await run_in_slices(self._assignment.watched(records))
        for gone in self._watches.keys() - watched:
            self._watches.pop(gone).cancel()
        for new in sorted(watched - self._watches.keys()):
            scope = self._watches[new] = trio.CancelScope()
            nursery.start_soon(self._watch, new, scope)

    async def _watch(self, name: str, scope: trio.CancelScope) -> None:
        """Watch a process until it is reassigned or its record is removed."""
        with scope:
            interval_s = self._timing.probe_interval_ms / 1000
            await trio.sleep(self._rng.uniform(0, interval_s))
            silent_since: float | None = None
            while (known := self._table.records.get(name)) is not None:
                interval_s = self._timing.probe_interval_ms / 1000
                has_replied = await self._probe(known)
                if has_replied and known.role == "agent":
                    interval_s = self._timing.agent_probe_interval_ms / 1000
                if has_replied:
                    silent_since = None
                elif has_replied is False and not self._is_isolated():
                    silent_since = silent_since or trio.current_time()
                    self._handle_silence(known, silent_since)
                await self._pause(name, self._rng.uniform(0.9, 1.1) * interval_s)

    async def _pause(self, name: str, pause_s: float) -> None:
        """Wait until the next probe is due, or sooner if a connection is lost."""
        lost = self._connection_lost[name] = trio.Event()
        try:
            with trio.move_on_after(pause_s):
                await lost.wait()
                await trio.sleep(RECONNECT_DELAY_S)
        finally:
            self._connection_lost.pop(name, None)

    def _on_connection_lost(self, connection: Connection) -> None:
        lost = self._connection_lost.get(connection.identity.name)
        if lost is not None:
            lost.set()

    async def _probe(self, known: MemberRecord) -> bool | None:
        """Return whether a process replied, None if this process was stalled."""
        reply = await self._prober.probe(known)
        if isinstance(reply, Stalled):
            return None
        if reply is not None:
            self._apply_reply(reply)
            return True
        helpers = [
            r for r in self._disseminator.local_entry_hosts() if r.name != known.name
        ]
        record = await self._prober.probe_indirectly(known, helpers)
        if record is not None:
            self._record_contact(record)
            return True
        return False

    def _apply_reply(self, reply: ProbeReply) -> None:
        record = reply.record
        self._record_contact(record)
        self._local_member.notify_status(identity_of(record), reply.status)
        self._disseminator.compare_digest(
            record.name, record.address, reply.table_digest
        )

    def _record_contact(self, record: MemberRecord) -> None:
        self._last_reply_at = trio.current_time()
        self._update(record)

    def _update(self, record: MemberRecord) -> None:
        self._disseminator.publish(self._merge([record]))

    def _handle_silence(self, known: MemberRecord, silent_since: float) -> None:
        """Mark a silent process as suspect, and as gone after the timeout."""
        silent_ms = (trio.current_time() - silent_since) * 1000
        if known.state is MemberState.GONE:
            return
        if silent_ms >= self._timing.suspicion_timeout_ms:
            self._update(known._replace(state=MemberState.GONE))
            log.info("member.gone", name=known.name)
        elif known.state is MemberState.LIVE:
            self._update(known._replace(state=MemberState.SUSPECT))
            log.info("member.suspect", name=known.name)

    def _is_isolated(self) -> bool:
        """Return whether no process replies, so that this host is isolated."""
        silent_ms = (trio.current_time() - self._last_reply_at) * 1000
        limit_ms = ISOLATED_INTERVALS * self._timing.probe_interval_ms
        return len(self._watches) > 1 and silent_ms > limit_ms


def _record_of(host: ListedHost) -> MemberRecord:
    """Return the record of a process that is known only from the platform's list."""
    return MemberRecord(
        host.name,
        host.role,
        host.data_centre,
        Address.parse(host.peers_address),
        host.callers_address,
        start_id=0,
        incarnation=0,
        state=MemberState(host.state),
    )


def _undo_draining(known: MemberRecord) -> list[MemberRecord]:
    """Return the record change for a host that is listed as live again.

    A process that is stopping of its own accord refutes it.
    """
    if known.state is not MemberState.LEAVING:
        return []
    incarnation = known.incarnation + 1
    return [known._replace(incarnation=incarnation, state=MemberState.LIVE)]

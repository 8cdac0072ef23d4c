"""What an entry host knows of all processes of the deployment.

Each process is watched by a few entry hosts of its data centre. A watcher that gets
no answer asks others to try before it suspects the process, and the suspicion is
spread so that the process can contradict it. Delegates of each data centre watch
those of the others, so a data centre that is cut off is noticed as a whole: its
processes are suspect for the others, and live for each other.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from ...protocol import Connection, Peers
from ...protocol.heartbeats import MemberRecord, MemberState, ProbeReply
from ...slices import in_slices
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
# Longer than a link that failed is left alone before it is opened again.
RECONNECT_DELAY_S = 0.3

_MAY_LEAVE = (MemberState.LIVE, MemberState.SUSPECT)

log = get_logger("membership")


class MembershipTiming(NamedTuple):
    """How quickly silence counts.

    Attributes
    ----------
    probe_interval_ms : float
        Time between the probes of one watcher.
    agent_probe_interval_ms : float
        The same for an agent that has answered the last probe.
    suspect_ms : float
        Time from a suspicion until the process counts as gone.
    gone_retention_ms : float
        Time that a process that is gone is still probed and remembered.
    """

    probe_interval_ms: float = 1000.0
    agent_probe_interval_ms: float = 2000.0
    suspect_ms: float = 5000.0
    gone_retention_ms: float = 60_000.0


class Membership:
    """The processes of the deployment and their states.

    Parameters
    ----------
    presence : LocalMember
        This process's own record.
    listed_hosts : callable
        Returns the platform's list of hosts, lagging as it may.
    n_list_reads : callable, optional
        Returns how often that list was read; by default each call is a new read.

    Attributes
    ----------
    on_change : list of callable
        Called after each change of a state.
    """

    def __init__(
        self,
        peers: Peers,
        presence: LocalMember,
        listed_hosts: Callable[[], Iterable[ListedHost]],
        timing: MembershipTiming | None = None,
        seed: int = 0,
        n_list_reads: Callable[[], int] | None = None,
    ):
        self.on_change: list[Callable[[], None]] = []
        self._peers = peers
        self._presence = presence
        self._listed_hosts = listed_hosts
        self._timing = timing or MembershipTiming()
        self._rng = random.Random(seed)
        self._table = MemberTable()
        self._spreader = Disseminator(peers, self._table, self._merge)
        self._prober = Prober(peers, presence, self._rng)
        self._centres = DataCentreProber(
            peers,
            self._table,
            self._prober,
            self._spreader,
            self._note_reply,
            self._changed,
        )
        self._view = MemberView(self._table, self._centres.reachability)
        self._watches: dict[str, trio.CancelScope] = {}
        self._links_lost: dict[str, trio.Event] = {}
        self._assignment = WatchAssignment(peers.identity.name)
        self._needs_assignment = True
        self._answered_at = 0.0
        self._gone_at: dict[str, float] = {}
        self._hosts_read: dict[str, ListedHost] = {}
        self._n_list_reads = n_list_reads or itertools.count().__next__
        self._marked_leaving: dict[str, tuple[int, int]] = {}
        self._scope = trio.CancelScope()
        presence.table_digest = self._table.digest
        peers.on_lost.append(self._note_lost)

    def members(
        self, role: str | None = None, data_centre: str | None = None
    ) -> list[Member]:
        """Return the processes of a role and a data centre, in any state."""
        return self._view.members(role, data_centre)

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> list[Member]:
        """Return the processes that may be given work."""
        return self._view.live(role, data_centre)

    def not_live(self, role: str) -> frozenset[str]:
        """Return the names of a role's processes that may not be given work."""
        return self._view.not_live(role)

    def gone(self, role: str) -> set[str]:
        """Return the names of a role's processes that count as gone."""
        return self._view.gone(role)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to watch and to be watched."""
        self._read_hosts()
        self._announce()
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Tell the others that this process is leaving, and stop watching."""
        self._presence.leave()
        self._announce()
        with trio.move_on_after(1):
            await self._spreader.flush()
        self._scope.cancel()

    def _announce(self) -> None:
        record = self._presence.record()
        self._merge([record])
        self._spreader.publish([record])

    def _merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        news = self._table.merge(records)
        for record in news:
            if record.name == self._peers.identity.name:
                self._hear_of_self(record)
            if record.state is MemberState.GONE:
                self._gone_at[record.name] = trio.current_time()
            log.debug("member.changed", name=record.name, state=record.state)
        if news:
            self._needs_assignment = True
            self._changed()
        return news

    def _hear_of_self(self, record: MemberRecord) -> None:
        own = self._presence.record()
        if record == own:
            return
        self._presence.hear(record.incarnation, record.state)
        contradiction = self._presence.record()
        self._table.merge([contradiction])
        self._spreader.publish([contradiction])

    def _changed(self) -> None:
        self._view.clear()
        self._centres.clear()
        for callback in self.on_change:
            callback()

    async def _run(self) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                await self._spreader.start(nursery)
                nursery.start_soon(self._centres.run, self._timing.probe_interval_ms)
                while True:
                    self._read_hosts()
                    self._forget_gone()
                    if self._needs_assignment:
                        self._needs_assignment = False
                        await self._assign(nursery)
                    await trio.sleep(ASSIGN_INTERVAL_MS / 1000)

    def _read_hosts(self) -> None:
        """Take over what only the platform's list says."""
        hosts = {host.name: host for host in self._listed_hosts()}
        n_reads = self._n_list_reads()
        news = []
        for host in hosts.values():
            held = self._table.records.get(host.name)
            if held is None:
                news.append(_record_of(host))
            elif host.state == "leaving":
                news += self._mark_leaving(held, n_reads)
            elif self._marked_leaving.pop(host.name, None) is not None:
                news += _take_back(held)
        self._hosts_read = hosts
        self._spreader.publish(self._merge(news))

    def _mark_leaving(self, held: MemberRecord, n_reads: int) -> list[MemberRecord]:
        """Return the news that a listed host leaves.

        It is told once for each start of the host and each reading of the list,
        since an entry host that has read a newer one may take it back.
        """
        mark = (held.start_id, n_reads)
        if self._marked_leaving.get(held.name) == mark:
            return []
        self._marked_leaving[held.name] = mark
        if held.state not in _MAY_LEAVE:
            return []
        return [held._replace(state=MemberState.LEAVING)]

    def _forget_gone(self) -> None:
        """Drop processes that have been gone for long and are not listed."""
        limit = trio.current_time() - self._timing.gone_retention_ms / 1000
        for name, gone_at in list(self._gone_at.items()):
            held = self._table.records.get(name)
            if held is None or held.state is not MemberState.GONE:
                del self._gone_at[name]
            elif gone_at < limit and name not in self._hosts_read:
                del self._gone_at[name]
                self._table.forget(name)
                self._needs_assignment = True
                self._changed()

    async def _assign(self, nursery: trio.Nursery) -> None:
        """Begin and end watches as the entry hosts come and go."""
        records = list(self._table.records.values())
        watched = await in_slices(self._assignment.watched(records))
        for gone in self._watches.keys() - watched:
            self._watches.pop(gone).cancel()
        for new in sorted(watched - self._watches.keys()):
            scope = self._watches[new] = trio.CancelScope()
            nursery.start_soon(self._watch, new, scope)

    async def _watch(self, name: str, scope: trio.CancelScope) -> None:
        """Watch one process until another entry host does, or it is forgotten."""
        with scope:
            interval_s = self._timing.probe_interval_ms / 1000
            await trio.sleep(self._rng.uniform(0, interval_s))
            silent_since: float | None = None
            while (held := self._table.records.get(name)) is not None:
                interval_s = self._timing.probe_interval_ms / 1000
                answered = await self._ask(held)
                if answered and held.role == "agent":
                    interval_s = self._timing.agent_probe_interval_ms / 1000
                if answered:
                    silent_since = None
                elif answered is False and not self._is_isolated():
                    silent_since = silent_since or trio.current_time()
                    self._judge_silence(held, silent_since)
                await self._pause(name, self._rng.uniform(0.9, 1.1) * interval_s)

    async def _pause(self, name: str, pause_s: float) -> None:
        """Wait for the next probe, which comes early if a connection is lost."""
        lost = self._links_lost[name] = trio.Event()
        try:
            with trio.move_on_after(pause_s):
                await lost.wait()
                await trio.sleep(RECONNECT_DELAY_S)
        finally:
            self._links_lost.pop(name, None)

    def _note_lost(self, connection: Connection) -> None:
        lost = self._links_lost.get(connection.identity.name)
        if lost is not None:
            lost.set()

    async def _ask(self, held: MemberRecord) -> bool | None:
        """Tell whether a process answered, None if this one was held up."""
        reply = await self._prober.probe(held)
        if isinstance(reply, Stalled):
            return None
        if reply is not None:
            self._note_reply(reply)
            return True
        helpers = [r for r in self._spreader.near() if r.name != held.name]
        record = await self._prober.probe_indirectly(held, helpers)
        if record is not None:
            self._learn(record)
            return True
        return False

    def _note_reply(self, reply: ProbeReply) -> None:
        record = reply.record
        self._learn(record)
        self._presence.notify_status(identity_of(record), reply.status)
        self._spreader.compare_digest(record.name, record.address, reply.table_digest)

    def _learn(self, record: MemberRecord) -> None:
        self._answered_at = trio.current_time()
        self._spread(record)

    def _spread(self, record: MemberRecord) -> None:
        self._spreader.publish(self._merge([record]))

    def _judge_silence(self, held: MemberRecord, silent_since: float) -> None:
        """Suspect a silent process, then count it as gone."""
        silent_ms = (trio.current_time() - silent_since) * 1000
        if held.state is MemberState.GONE:
            return
        if silent_ms >= self._timing.suspect_ms:
            self._spread(held._replace(state=MemberState.GONE))
            log.info("member.gone", name=held.name)
        elif held.state is MemberState.LIVE:
            self._spread(held._replace(state=MemberState.SUSPECT))
            log.info("member.suspect", name=held.name)

    def _is_isolated(self) -> bool:
        """Tell whether nobody answers, so that this host is the one cut off."""
        silent_ms = (trio.current_time() - self._answered_at) * 1000
        limit_ms = ISOLATED_INTERVALS * self._timing.probe_interval_ms
        return len(self._watches) > 1 and silent_ms > limit_ms


def _record_of(host: ListedHost) -> MemberRecord:
    """Return the record of a process of which only the platform's list tells."""
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


def _take_back(held: MemberRecord) -> list[MemberRecord]:
    """Return the news that a host is listed as live again.

    A process that stops by itself contradicts it.
    """
    if held.state is not MemberState.LEAVING:
        return []
    incarnation = held.incarnation + 1
    return [held._replace(incarnation=incarnation, state=MemberState.LIVE)]

"""Probes of other data centres by the delegates of a data centre."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ...protocol import Connection, Peers
from ...protocol.heartbeats import ProbeReply, ReachabilityReport
from .assignment import delegates_of
from .dissemination import Disseminator
from .probing import Prober, Stalled
from .reachability import Reachability
from .table import MemberTable

__all__ = ["DataCentreProber"]


class DataCentreProber:
    """Probes the delegates of other data centres and reports to its own data centre.

    Parameters
    ----------
    on_reply : callable
        Called with each reply of a delegate.
    on_change : callable
        Called when a data centre becomes unreachable or reachable again.
    """

    def __init__(
        self,
        peers: Peers,
        table: MemberTable,
        prober: Prober,
        disseminator: Disseminator,
        on_reply: Callable[[ProbeReply], None],
        on_change: Callable[[], None],
    ):
        self.reachability = Reachability()
        self._peers = peers
        self._table = table
        self._prober = prober
        self._disseminator = disseminator
        self._on_reply = on_reply
        self._on_change = on_change
        self._delegates: dict[str, list[str]] | None = None
        self._n_rounds = 0
        self._responding: set[str] = set()
        peers.register(ReachabilityReport, self._on_report)

    def clear(self) -> None:
        """Discard the cached delegates, after a change of the table."""
        self._delegates = None

    async def run(self, interval_ms: float) -> None:
        """Probe until cancelled."""
        own = self._peers.identity
        while True:
            await trio.sleep(interval_ms / 1000)
            if self._delegates is None:
                self._delegates = delegates_of(self._table.records.values())
            own_delegates = self._delegates.get(own.data_centre, [])
            if self.reachability.retain_reporters(own_delegates):
                self._on_change()
            if own.name in own_delegates:
                await self._probe_all(dict(self._delegates))

    async def _probe_all(self, delegates: dict[str, list[str]]) -> None:
        self._n_rounds += 1
        async with trio.open_nursery() as nursery:
            for data_centre, names in delegates.items():
                if data_centre == self._peers.identity.data_centre:
                    continue
                # A data centre that responded is probed only every second round.
                if self._n_rounds % 2 == 0 or data_centre not in self._responding:
                    nursery.start_soon(self._probe, data_centre, names)

    async def _probe(self, data_centre: str, names: list[str]) -> None:
        is_reachable = False
        # One reply is sufficient, so rotate which delegate is probed first.
        first = self._n_rounds // 2 % len(names)
        for name in names[first:] + names[:first]:
            known = self._table.records.get(name)
            if known is None:
                continue
            reply = await self._prober.probe(known)
            if isinstance(reply, Stalled):
                return
            if reply is not None:
                self._on_reply(reply)
                is_reachable = True
                break
        if is_reachable:
            self._responding.add(data_centre)
        else:
            self._responding.discard(data_centre)
        await self._report(ReachabilityReport(data_centre, is_reachable))

    async def _report(self, report: ReachabilityReport) -> None:
        if self.reachability.update(self._peers.identity.name, report):
            self._on_change()
        has_recovered = self.reachability.pop_recovered(report.data_centre)
        # Repeated while the data centre is unreachable, for hosts that start meanwhile.
        if has_recovered or not report.is_reachable:
            for record in self._disseminator.local_entry_hosts():
                await self._disseminator.notify(record.address, report)

    async def _on_report(
        self, connection: Connection, report: ReachabilityReport
    ) -> None:
        if self.reachability.update(connection.identity.name, report):
            self._on_change()

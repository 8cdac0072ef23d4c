"""Finds out, as a delegate of a data centre, which others can be reached."""

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
    """Probes the delegates of other data centres and reports to its own.

    Parameters
    ----------
    on_reply : callable
        Called with each reply of a delegate.
    on_change : callable
        Called when a data centre was cut off or came back.
    """

    def __init__(
        self,
        peers: Peers,
        table: MemberTable,
        prober: Prober,
        spreader: Disseminator,
        on_reply: Callable[[ProbeReply], None],
        on_change: Callable[[], None],
    ):
        self.reachability = Reachability()
        self._peers = peers
        self._table = table
        self._prober = prober
        self._spreader = spreader
        self._on_reply = on_reply
        self._on_change = on_change
        self._delegates: dict[str, list[str]] | None = None
        self._n_rounds = 0
        self._answering: set[str] = set()
        peers.register(ReachabilityReport, self._on_report)

    def clear(self) -> None:
        """Work out the delegates again, after a change of the table."""
        self._delegates = None

    async def run(self, interval_ms: float) -> None:
        """Watch until cancelled."""
        own = self._peers.identity
        while True:
            await trio.sleep(interval_ms / 1000)
            if self._delegates is None:
                self._delegates = delegates_of(self._table.records.values())
            speakers = self._delegates.get(own.data_centre, [])
            if self.reachability.retain_reporters(speakers):
                self._on_change()
            if own.name in speakers:
                await self._check_all(dict(self._delegates))

    async def _check_all(self, delegates: dict[str, list[str]]) -> None:
        self._n_rounds += 1
        async with trio.open_nursery() as nursery:
            for data_centre, names in delegates.items():
                if data_centre == self._peers.identity.data_centre:
                    continue
                # One that answered is asked each second round only.
                if self._n_rounds % 2 == 0 or data_centre not in self._answering:
                    nursery.start_soon(self._check, data_centre, names)

    async def _check(self, data_centre: str, names: list[str]) -> None:
        is_reachable = False
        # One answer is enough, so they take turns in being asked first.
        first = self._n_rounds // 2 % len(names)
        for name in names[first:] + names[:first]:
            held = self._table.records.get(name)
            if held is None:
                continue
            reply = await self._prober.probe(held)
            if isinstance(reply, Stalled):
                return
            if reply is not None:
                self._on_reply(reply)
                is_reachable = True
                break
        if is_reachable:
            self._answering.add(data_centre)
        else:
            self._answering.discard(data_centre)
        await self._report(ReachabilityReport(data_centre, is_reachable))

    async def _report(self, report: ReachabilityReport) -> None:
        if self.reachability.note(self._peers.identity.name, report):
            self._on_change()
        came_back = self.reachability.pop_recovered(report.data_centre)
        # Repeated while it is cut off, for hosts that start meanwhile.
        if came_back or not report.is_reachable:
            for record in self._spreader.near():
                await self._spreader.notify(record.address, report)

    async def _on_report(
        self, connection: Connection, report: ReachabilityReport
    ) -> None:
        if self.reachability.note(connection.identity.name, report):
            self._on_change()

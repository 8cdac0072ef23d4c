"""Keeps an entry host connected to its subset of the agents."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ...coordination.hosts import ListedHost
from ...errors import PeerUnreachable
from ...protocol import Connection, Peers
from ...protocol.reports import ReportInterval
from ...slices import run_in_slices
from ...telemetry import get_logger
from ..pools import UpstreamPools
from .subset import AgentSubset, PoolMember
from .table import AgentTable

__all__ = ["AgentConnections", "report_interval_ms"]

CHECK_INTERVAL_S = 0.5
REPORT_BYTES = 100
REPORT_BYTES_PER_S = 12_000
MIN_REPORT_INTERVAL_MS = 100

log = get_logger("connections")


def report_interval_ms(n_agents: int) -> int:
    """Return the interval of load reports that keeps an entry host within its budget.

    Examples
    --------
    >>> report_interval_ms(5)
    100
    """
    needed_ms = 1000 * n_agents * REPORT_BYTES // REPORT_BYTES_PER_S
    return max(MIN_REPORT_INTERVAL_MS, needed_ms)


class AgentConnections:
    """Connects to the agents of the subset and closes connections to others.

    Parameters
    ----------
    peers : Peers
    table : AgentTable
        Tells which agents still run requests of this entry host.
    hosts : callable
        Returns the hosts listed by the platform.
    pools : UpstreamPools, optional
        Groups upstreams into pools; by default each upstream is a pool of its own.
    """

    def __init__(
        self,
        peers: Peers,
        table: AgentTable,
        hosts: Callable[[], Iterable[ListedHost]],
        pools: UpstreamPools | None = None,
    ):
        self._peers = peers
        self._table = table
        self._hosts = hosts
        self._pools = pools
        identity = peers.identity
        self._subset = AgentSubset(PoolMember(identity.name, identity.data_centre))
        self._hosts_seen: list[ListedHost] = []
        self._pool_of: dict[str, str] = {}
        self._wanted: list[ListedHost] = []
        self._report_intervals_ms: dict[Connection, int] = {}

    async def run(self) -> None:
        """Maintain the connections until cancelled."""
        while True:
            await self._refresh()
            interval_ms = report_interval_ms(len(self._wanted))
            async with trio.open_nursery() as nursery:
                for host in self._wanted:
                    connection = self._peers.open_connection(host.peers)
                    if (
                        connection is None
                        or self._report_intervals_ms.get(connection) != interval_ms
                    ):
                        nursery.start_soon(self._connect, host, interval_ms)
            await self._close_unwanted()
            await trio.sleep(CHECK_INTERVAL_S)

    async def _refresh(self) -> None:
        """Compute the subset again if the hosts or the pools have changed."""
        hosts = list(self._hosts())
        pool_of = self._pools.by_group() if self._pools else self._pool_of
        if hosts == self._hosts_seen and pool_of is self._pool_of:
            return
        identity = self._peers.identity
        own = PoolMember(identity.name, identity.data_centre)
        entries = {own} | {_member(h) for h in hosts if _is_serving(h, "entry")}
        agents = [host for host in hosts if _is_serving(host, "agent")]
        pools: dict[str, list[PoolMember]] = {}
        for host in agents:
            pools.setdefault(pool_of.get(host.upstream, host.upstream), []).append(
                _member(host)
            )
        await trio.lowlevel.checkpoint()
        names = await run_in_slices(self._subset.choose(entries, pools.values()))
        self._wanted = sorted(host for host in agents if host.name in names)
        self._hosts_seen, self._pool_of = hosts, pool_of

    async def _connect(self, host: ListedHost, interval_ms: int) -> None:
        try:
            connection = await self._peers.connection(host.peers)
            if self._report_intervals_ms.get(connection) != interval_ms:
                await connection.notify(ReportInterval(interval_ms))
                self._report_intervals_ms[connection] = interval_ms
        except PeerUnreachable as error:
            log.debug("agent.unreachable", agent=host.name, reason=str(error))

    async def _close_unwanted(self) -> None:
        """Close idle connections to agents that are no longer in the subset."""
        wanted = {host.peers for host in self._wanted}
        for connection in list(self._report_intervals_ms):
            address = connection.identity.address
            if connection.closed.is_set():
                del self._report_intervals_ms[connection]
            elif address not in wanted and self._table.is_idle(connection):
                del self._report_intervals_ms[connection]
                await connection.close()


def _member(host: ListedHost) -> PoolMember:
    return PoolMember(host.name, host.data_centre)


def _is_serving(host: ListedHost, role: str) -> bool:
    return host.role == role and host.state == "live"

"""Load reports, connections and the choice of agents over an in-memory network."""

from __future__ import annotations

import itertools
from contextlib import asynccontextmanager

import trio

from poplarward.coordination.hosts import ListedHost
from poplarward.protocol import Peers, ProcessIdentity, RequestId
from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.caller import CallerRequest
from poplarward.requests.reporting import LoadReporter
from poplarward.requests.routing import AgentConnections, AgentTable, Router
from poplarward.transport import Address, MemoryNetwork

REQUEST = CallerRequest(
    "w", "drafts", PriorityClass.DRAFTING, 1000, True, "POST", "/", [], b"", ""
)


class Agent:
    """An agent that only sends load reports."""

    def __init__(self, network: MemoryNetwork, name: str, host: str):
        address = Address(host, 9000)
        identity = ProcessIdentity("agent", name, 7, address, "rennes")
        self.peers = Peers(network.host(host), identity, "s")
        self.state = UpstreamState.LIVE
        self.n_waiting = 0
        self._numbers = itertools.count(1)
        self.reporter = LoadReporter(self.peers, self.make_report)
        self.entry = ListedHost(name, "agent", "rennes", "live", str(address))

    def make_report(self) -> AgentReport:
        number = next(self._numbers)
        kind = UpstreamKind.ENGINE
        return AgentReport(
            kind, "drafts", self.state, 0, self.n_waiting, 0, 32, 0, 0, number
        )


class Site:
    """One entry host and two agents."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.agents = {
            name: Agent(self.network, name, host)
            for name, host in (("agent-1", "10.0.0.1"), ("agent-2", "10.0.0.2"))
        }
        self.hosts = {name: agent.entry for name, agent in self.agents.items()}
        identity = ProcessIdentity(
            "entry", "entry-1", 3, Address("10.0.1.1", 9000), "rennes"
        )
        self.peers = Peers(self.network.host("10.0.1.1"), identity, "s")
        self.table = AgentTable(self.peers)
        self.router = Router(self.table, leaving=self._leaving)
        self.connections = AgentConnections(
            self.peers, self.table, lambda: self.hosts.values()
        )

    def _leaving(self) -> set[str]:
        return {h.name for h in self.hosts.values() if h.state == "leaving"}

    def connected(self) -> set[str]:
        """Return the agents that have reported over an open connection."""
        return {view.identity.name for view in self.table.views()}

    def chosen(self) -> set[str]:
        """Return the agents chosen in 50 attempts."""
        views = [self.router.choose(REQUEST) for _ in range(50)]
        return {view.identity.name for view in views if view is not None}


@asynccontextmanager
async def running_site():
    site = Site()
    async with trio.open_nursery() as nursery:
        for agent in site.agents.values():
            await agent.peers.start(nursery)
            nursery.start_soon(agent.reporter.run)
        await site.peers.start(nursery)
        nursery.start_soon(site.connections.run)
        await trio.sleep(1)
        yield site
        nursery.cancel_scope.cancel()


async def test_agent_that_reports_leaving_gets_no_new_work(autojump_clock):
    async with running_site() as site:
        assert site.chosen() == {"agent-1", "agent-2"}
        site.agents["agent-1"].state = UpstreamState.LEAVING
        await site.agents["agent-1"].reporter.report_now()
        await trio.sleep(0.01)
        assert site.chosen() == {"agent-2"}


async def test_agent_listed_as_leaving_gets_no_new_work(
    autojump_clock,
):
    async with running_site() as site:
        running = site.router.choose(REQUEST)
        while running.identity.name != "agent-1":
            running = site.router.choose(REQUEST)
        request_id = RequestId("entry-1", 3, 1)
        site.router.begin(running, request_id)
        site.hosts["agent-1"] = site.hosts["agent-1"]._replace(state="leaving")
        assert site.chosen() == {"agent-2"}
        # The connection stays open until the running request has ended.
        await trio.sleep(5)
        assert site.connected() == {"agent-1", "agent-2"}
        site.router.end(running, request_id)
        await trio.sleep(5)
        assert site.connected() == {"agent-2"}


async def test_disconnected_agent_is_not_chosen_and_its_load_is_reset(
    autojump_clock,
):
    async with running_site() as site:
        views = {v.identity.name: v for v in site.table.views()}
        site.router.begin(views["agent-1"], RequestId("entry-1", 3, 1))
        for connection in list(site.agents["agent-1"].peers.accepted):
            await connection.close()
        await trio.sleep(0.05)
        assert site.chosen() == {"agent-2"}
        await trio.sleep(3)
        assert site.chosen() == {"agent-1", "agent-2"}
        assert all(v.load.n_in_flight == 0 for v in site.table.views())


async def test_reports_keep_the_requested_interval(autojump_clock):
    async with running_site() as site:
        before = site.network.n_messages["10.0.0.1"]
        await trio.sleep(10)
        n_sent = site.network.n_messages["10.0.0.1"] - before
        assert 90 <= n_sent <= 110

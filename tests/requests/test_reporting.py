from __future__ import annotations

import trio

from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState
from poplarward.requests.reporting import LoadReporter
from poplarward.transport import Address, MemoryNetwork


class Load:
    def __init__(self):
        self.n_running = 0

    def read(self) -> AgentReport:
        live = UpstreamState.LIVE
        return AgentReport(
            UpstreamKind.ENGINE, "drafts", live, self.n_running, 0, 0, 8, 0, 0, 0
        )


async def start(nursery):
    network = MemoryNetwork()

    def peers(role, host):
        identity = ProcessIdentity(role, host, 1, Address(host, 0), "rennes")
        return Peers(network.host(host), identity, "s")

    agent, entry, load, received = peers("agent", "a"), peers("entry", "e"), Load(), []
    reporter = LoadReporter(agent, load.read)

    async def record(connection, report):
        received.append((trio.current_time(), report))

    entry.register(AgentReport, record)
    await agent.start(nursery)
    await entry.start(nursery)
    await entry.connection(agent.identity.address)
    nursery.start_soon(reporter.run)
    return agent, reporter, load, received


async def test_unchanged_load_is_reported_once_a_second(nursery, autojump_clock):
    *_, load, received = await start(nursery)
    load.n_running = 3
    await trio.sleep(10)
    assert 9 <= len(received) <= 11
    received.clear()
    for n_running in range(50):
        load.n_running = n_running
        await trio.sleep(0.1)
    assert len(received) > 20
    nursery.cancel_scope.cancel()


async def test_idle_agent_reports_every_five_seconds(nursery, autojump_clock):
    *_, load, received = await start(nursery)
    await trio.sleep(20)
    assert 4 <= len(received) <= 5
    received.clear()
    load.n_running = 1
    await trio.sleep(0.25)
    assert [report.n_running for _, report in received] == [1]
    load.n_running = 0
    await trio.sleep(0.25)
    assert [report.n_running for _, report in received] == [1, 0]
    nursery.cancel_scope.cancel()


async def test_entry_host_receives_a_report_when_it_connects(nursery, autojump_clock):
    *_, received = await start(nursery)
    await trio.sleep(0.25)
    assert [report.n_running for _, report in received] == [0]
    nursery.cancel_scope.cancel()


async def test_piggybacked_report_is_not_sent_separately(nursery, autojump_clock):
    agent, reporter, load, received = await start(nursery)
    (connection,) = agent.accepted
    numbers = []
    await trio.sleep(0.5)
    received.clear()
    for n_running in range(200):
        load.n_running = n_running
        report = reporter.due_report(connection)
        if report is not None:
            numbers.append(report.report_number)
            assert report.n_running == n_running
        await trio.sleep(0.02)
    assert len(numbers) > 20
    assert numbers == sorted(set(numbers))
    assert received == []
    nursery.cancel_scope.cancel()

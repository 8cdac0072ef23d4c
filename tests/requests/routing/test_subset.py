"""Incremental updates of a subset give the same result as a new computation."""

from __future__ import annotations

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarward.coordination.hosts import ListedHost
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.requests.routing import AgentConnections, AgentTable
from poplarward.requests.routing.subset import (
    AgentSubset,
    PoolMember,
    choose_subset,
)
from poplarward.slices import run_at_once, run_in_slices
from poplarward.transport import Address, MemoryNetwork

OWN = PoolMember("entry-0", "site-0")


def members(role, numbers, n_sites=3):
    return [PoolMember(f"{role}-{i}", f"site-{i % n_sites}") for i in sorted(numbers)]


@settings(max_examples=20)
@given(
    st.lists(
        st.tuples(st.sets(st.integers(1, 40)), st.sets(st.integers(0, 90), min_size=70))
    )
)
def test_incremental_subset_matches_a_new_one(fleets):
    subset = AgentSubset(OWN)
    for entry_numbers, agent_numbers in fleets:
        entries = members("entry", entry_numbers | {0})
        agents = members("agent", agent_numbers)
        assert run_at_once(subset.choose(entries, [agents])) == set(
            choose_subset(OWN, entries, agents)
        )


async def test_time_sliced_choice_matches_choice_at_once():
    entries, agents = members("entry", range(120)), members("agent", range(900))
    chosen = await run_in_slices(AgentSubset(OWN).choose(entries, [agents]))
    assert chosen == set(choose_subset(OWN, entries, agents))


def test_removal_of_any_entry_host_moves_few_connections():
    agents = members("agent", range(300))
    entries = members("entry", range(60))
    n_most = 2 * (24 + 8)
    subsets = {entry: AgentSubset(entry) for entry in entries}
    before = {e: run_at_once(s.choose(entries, [agents])) for e, s in subsets.items()}
    while len(entries) > 40:
        before.pop(entries.pop())
        after = {e: run_at_once(subsets[e].choose(entries, [agents])) for e in entries}
        assert sum(len(before[e] - after[e]) for e in entries) <= n_most
        before = after


def test_large_pools_share_the_connections():
    """Five models at the target size share the connections of an entry host."""
    entries = members("entry", range(1000), 18)
    models = [
        [PoolMember(f"agent-{m}-{i}", f"site-{i % 18}") for i in range(2000)]
        for m in range(5)
    ]
    sample = [AgentSubset(entry) for entry in entries[:72:18]]
    chosen = [run_at_once(subset.choose(entries, models)) for subset in sample]
    assert all(len(names) <= 100 for names in chosen)
    for m in range(5):
        numbers = [sum(n.startswith(f"agent-{m}-") for n in names) for names in chosen]
        assert min(numbers) >= 4


async def test_hosts_that_change_during_the_choice_are_included(
    nursery, autojump_clock
):
    network = MemoryNetwork(seed=1)
    identity = ProcessIdentity("entry", *OWN[:1], 1, Address("10.0.0.1", 1), OWN[1])
    peers = Peers(network.host("10.0.0.1"), identity, "s")
    await peers.start(nursery)
    n_iterations = 0

    def hosts():
        """Return one agent fewer from the third iteration of the event loop on."""
        n_agents = 300 if n_iterations < 3 else 299
        entries, agents = members("entry", range(90)), members("agent", range(n_agents))
        return [_listed("entry", m) for m in entries] + [
            _listed("agent", m) for m in agents
        ]

    async def count_iterations():
        nonlocal n_iterations
        while n_iterations < 3:
            n_iterations += 1
            await trio.lowlevel.checkpoint()

    connections = AgentConnections(peers, AgentTable(peers), hosts)
    nursery.start_soon(count_iterations)
    nursery.start_soon(connections.run)
    await trio.sleep(8)
    wanted = {host.name for host in connections._wanted}
    entries, agents = members("entry", range(90)), members("agent", range(299))
    assert wanted == set(choose_subset(OWN, entries, agents))
    nursery.cancel_scope.cancel()


def _listed(role, member):
    number = int(member.name.partition("-")[2])
    address = f"10.1.{number // 250}.{number % 250}:1"
    upstream = "model" if role == "agent" else ""
    return ListedHost(
        member.name, role, member.data_centre, "live", address, "", upstream
    )

"""Discovery of the other agents of a group through entry hosts."""

from __future__ import annotations

import trio

from poplarward.coordination import ListedHost
from poplarward.coordination.group_agents import (
    query_group_agents,
    register_group_agents,
)
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.transport import Address, MemoryNetwork


def listed(name, host, upstream="drafts", state="live"):
    return ListedHost(name, "agent", "rennes", state, f"{host}:9000", "", upstream)


class Fleet:
    """An agent and entry hosts that are connected to it."""

    def __init__(self, nursery):
        self.network = MemoryNetwork()
        self.nursery = nursery

    async def start(self, role, name, host, hosts=None):
        identity = ProcessIdentity(role, name, 1, Address(host, 9000), "rennes")
        peers = Peers(self.network.host(host), identity, "s")
        if hosts is not None:
            register_group_agents(peers, lambda: hosts)
        await peers.start(self.nursery)
        return peers

    async def start_entry(self, i, hosts, agent):
        entry = await self.start("entry", f"entry-{i}", f"10.1.0.{i}", hosts)
        await entry.connection(agent.identity.address)


async def test_agents_of_several_lagging_lists_are_merged(nursery, autojump_clock):
    fleet = Fleet(nursery)
    agent = await fleet.start("agent", "agent-1", "10.2.0.1")
    own = listed("agent-1", "10.2.0.1")
    leaving = listed("agent-2", "10.2.0.2", state="leaving")
    other_group = listed("agent-9", "10.2.0.9", "palettes")
    await fleet.start_entry(1, [own, leaving, other_group], agent)
    await fleet.start_entry(2, [own, listed("agent-3", "10.2.0.3")], agent)
    await trio.sleep(1)
    assert await query_group_agents(agent, "drafts") == [
        Address("10.2.0.2", 9000),
        Address("10.2.0.3", 9000),
    ]
    nursery.cancel_scope.cancel()


async def test_list_without_the_querying_agent_is_ignored(nursery, autojump_clock):
    fleet = Fleet(nursery)
    agent = await fleet.start("agent", "agent-1", "10.2.0.1")
    assert await query_group_agents(agent, "drafts") is None
    await fleet.start_entry(1, [listed("agent-2", "10.2.0.2")], agent)
    await trio.sleep(1)
    assert await query_group_agents(agent, "drafts") is None
    nursery.cancel_scope.cancel()

"""An agent rejects commands older than one that it or its group has accepted."""

from __future__ import annotations

import pytest
import trio

from poplarward.coordination.fencing import FenceGuard, FenceSync
from poplarward.coordination.leases import Lease
from poplarward.errors import StaleFence
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.transport import Address, LinkFaults, MemoryNetwork


async def test_command_of_a_holder_paused_past_expiry_is_rejected(
    autojump_clock, nursery
):
    store = MemoryObjectStore()
    guard = FenceGuard("drafts")
    guard.learn(0)
    first = Lease(store, "slot-0", "a:1")
    await first.start(nursery)
    await trio.sleep(1)
    # The holder reads its fencing number and is paused before it sends a command.
    old_fence = first.fence
    guard.check(old_fence)
    first._scope.cancel()
    second = Lease(store, "slot-0", "b:1")
    await second.start(nursery)
    await trio.sleep(10)
    guard.check(second.fence)
    with pytest.raises(StaleFence):
        guard.check(old_fence)
    guard.check(second.fence)
    nursery.cancel_scope.cancel()


class Group:
    """Agents of one group on a memory network."""

    def __init__(self, n_agents):
        self.unreachable = set()
        faults = LinkFaults(is_cut=lambda a, b: bool(self.unreachable & {a, b}))
        self.network = MemoryNetwork(faults)
        self.store = MemoryObjectStore()
        self.hosts = [f"10.0.0.{i}" for i in range(n_agents)]

    async def start_agent(self, nursery, i):
        host = self.hosts[i]
        address = Address(host, 9000)
        identity = ProcessIdentity("agent", f"agent-{i}", i, address, "rennes")
        peers = Peers(self.network.host(host), identity, "s")

        async def addresses():
            return [Address(other, 9000) for other in self.hosts if other != host]

        sync = FenceSync(peers, self.store, "drafts", "slot-0", addresses)
        await peers.start(nursery)
        await sync.start(nursery)
        return sync


async def test_restarted_agent_reads_the_fence_from_the_store(autojump_clock, nursery):
    group = Group(1)
    lease = Lease(group.store, "slot-0", "a:1")
    await lease.start(nursery)
    await trio.sleep(5)
    sync = await group.start_agent(nursery, 0)
    with pytest.raises(StaleFence):
        sync.guard.check(lease.fence)
    await sync.ready.wait()
    sync.guard.check(lease.fence)
    with pytest.raises(StaleFence):
        sync.guard.check(lease.fence - 1)
    nursery.cancel_scope.cancel()


async def test_restarted_agent_needs_all_peers_if_the_store_is_down(
    autojump_clock, nursery
):
    group = Group(3)
    peers = [await group.start_agent(nursery, i) for i in (1, 2)]
    await trio.sleep(1)
    peers[0].guard.check(5)
    peers[1].guard.check(8)
    group.store.set_down(True)
    group.unreachable.add(group.hosts[2])
    sync = await group.start_agent(nursery, 0)
    await trio.sleep(30)
    # The only reachable peer has seen 5, so a command with 6 may be stale.
    with pytest.raises(StaleFence):
        sync.guard.check(6)
    group.unreachable.clear()
    await sync.ready.wait()
    with pytest.raises(StaleFence):
        sync.guard.check(7)
    sync.guard.check(8)
    nursery.cancel_scope.cancel()


async def test_whole_group_restart_waits_for_the_store(autojump_clock, nursery):
    group = Group(2)
    group.store.set_down(True)
    syncs = [await group.start_agent(nursery, i) for i in range(2)]
    await trio.sleep(60)
    assert not any(sync.ready.is_set() for sync in syncs)
    group.store.set_down(False)
    with trio.fail_after(5):
        for sync in syncs:
            await sync.ready.wait()
    nursery.cancel_scope.cancel()

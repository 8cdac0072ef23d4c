"""At most one process holds a lease by its own clock; roles follow live hosts."""

from __future__ import annotations

import math
from functools import partial

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from poplarward.coordination.leases import (
    LEASES_KIND,
    Lease,
    LeaseCandidate,
    LeaseTiming,
)
from poplarward.coordination.roles import ControlRoles, slot_of
from poplarward.errors import NotFound, StoreUnavailable
from poplarward.protocol import ProcessIdentity
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import RetryBudget, Writer
from poplarward.transport import Address

TIMING = LeaseTiming()


class HostStore:
    """A host's access to the store; calls block if frozen, fail if disconnected."""

    def __init__(self, store):
        self.store = store
        self.unfrozen = trio.Event()
        self.unfrozen.set()
        self.is_disconnected = False
        self.answer_delay_s = 0.0

    async def get(self, kind, name):
        return await self._call(self.store.get, kind, name)

    async def put(self, kind, name, spec, expected_version):
        return await self._call(self.store.put, kind, name, spec, expected_version)

    async def _call(self, method, *arguments):
        await self.unfrozen.wait()
        if self.is_disconnected:
            await trio.sleep(0.01)
            raise StoreUnavailable("disconnected")
        reply = await method(*arguments)
        await trio.sleep(self.answer_delay_s)
        await self.unfrozen.wait()
        return reply


class Host:
    """A candidate for the lease, with its own clock rate."""

    def __init__(self, store, name, rank, rate=1.0, timing=TIMING):
        self.store = HostStore(store)
        self.rank = rank
        self.lease = Lease(
            self.store,
            "slot-0",
            name,
            writer=Writer(self.store, rank, RetryBudget(100, 100)),
            timing=timing,
            candidate=LeaseCandidate(lambda: self.rank),
            clock=lambda: 100 * rank + trio.current_time() * rate,
        )


async def wait_for_holder(hosts):
    with trio.fail_after(60):
        while not any(host.lease.fence for host in hosts):
            await trio.sleep(0.01)
    return next(host for host in hosts if host.lease.fence)


@pytest.mark.parametrize("failure", ["kill", "freeze", "cut"])
@pytest.mark.parametrize("phase_s", [0.1, 0.6, 1.1, 1.6])
async def test_takeover(autojump_clock, nursery, failure, phase_s):
    store = MemoryObjectStore()
    hosts = [Host(store, name, rank) for rank, name in enumerate("ab")]
    for host in hosts:
        await host.lease.start(nursery)
        await trio.sleep(phase_s)
    first = await wait_for_holder(hosts)
    old_fence = first.lease.fence
    await trio.sleep(30)
    match failure:
        case "kill":
            first.lease._scope.cancel()
        case "freeze":
            first.store.unfrozen = trio.Event()
        case "cut":
            first.store.is_disconnected = True
    failed_at = trio.current_time()
    hosts[1].rank = 0
    second = await wait_for_holder(hosts[1:])
    took_s = trio.current_time() - failed_at
    assert second.lease.fence > old_fence
    assert first.lease.fence is None
    # Lease length, drift allowance, one poll interval, calls to the store.
    assert took_s <= (6000 * 1.02 + 2000 + 100) / 1000
    first.store.is_disconnected = False
    first.store.unfrozen.set()
    await trio.sleep(10)
    assert first.lease.fence is None
    assert second.lease.fence
    nursery.cancel_scope.cancel()


async def test_lease_is_kept_when_renewal_responses_are_lost(autojump_clock, nursery):
    store = MemoryObjectStore()
    host = Host(store, "a", 0)
    await host.lease.start(nursery)
    await wait_for_holder([host])
    fence = host.lease.fence
    store.faults.lost_answers = 1.0
    for _ in range(600):
        await trio.sleep(0.1)
        assert host.lease.fence == fence
    nursery.cancel_scope.cancel()


async def test_lease_validity_starts_before_renewal_is_sent(autojump_clock, nursery):
    store = MemoryObjectStore()
    hosts = [Host(store, name, rank) for rank, name in enumerate("ab")]
    for host in hosts:
        await host.lease.start(nursery)
        await trio.sleep(0.3)
    hosts[0].store.answer_delay_s = 3.0
    hosts[1].rank = 0
    nursery.start_soon(check_single_holder, hosts)
    # The renewal sent during this sleep takes effect; its response is in flight.
    await trio.sleep(2.5)
    hosts[0].store.is_disconnected = True
    await trio.sleep(20)
    assert hosts[1].lease.fence
    nursery.cancel_scope.cancel()


async def test_lease_expires_in_a_store_outage_and_is_acquired_afterwards(
    autojump_clock, nursery
):
    store = MemoryObjectStore()
    hosts = [Host(store, name, rank) for rank, name in enumerate("ab")]
    for host in hosts:
        await host.lease.start(nursery)
    first = await wait_for_holder(hosts)
    fence = first.lease.fence
    store.set_down(True)
    await trio.sleep(6.1)
    assert [host.lease.fence for host in hosts] == [None, None]
    store.set_down(False)
    assert (await wait_for_holder(hosts)).lease.fence > fence
    nursery.cancel_scope.cancel()


async def test_closed_lease_is_acquired_at_the_next_poll(autojump_clock, nursery):
    store = MemoryObjectStore()
    hosts = [Host(store, name, rank) for rank, name in enumerate("ab")]
    for host in hosts:
        await host.lease.start(nursery)
    first = await wait_for_holder(hosts)
    await trio.sleep(3)
    await first.lease.close()
    hosts[1].rank = 0
    started_at = trio.current_time()
    await wait_for_holder(hosts[1:])
    assert trio.current_time() - started_at <= 2.1
    nursery.cancel_scope.cancel()


fault = st.tuples(
    st.sampled_from(["freeze", "cut", "slow", "outage", "lost", "late", "rank"]),
    st.integers(0, 2),
    st.integers(0, 9000),
)


@settings(max_examples=30)
@given(
    faults=st.lists(fault, max_size=10),
    rates=st.lists(st.sampled_from([0.995, 1.0, 1.005]), min_size=3, max_size=3),
    phase_ms=st.integers(1, 1000),
)
def test_never_two_holders(faults, rates, phase_ms):
    scenario = partial(run_candidates, faults, rates, phase_ms / 1000)
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def run_candidates(faults, rates, phase_s):
    store = MemoryObjectStore()
    hosts = [Host(store, name, rank, rates[rank]) for rank, name in enumerate("abc")]
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await host.lease.start(nursery)
            await trio.sleep(phase_s)
        nursery.start_soon(check_single_holder, hosts)
        await trio.sleep(3)
        for kind, i, length_ms in faults:
            await inject_fault(store, hosts, kind, i, length_ms / 1000)
        await trio.sleep(40)
        assert sum(host.lease.fence is not None for host in hosts) == 1
        nursery.cancel_scope.cancel()


async def inject_fault(store, hosts, kind, i, length_s):
    host = hosts[i]
    match kind:
        case "freeze":
            host.store.unfrozen = trio.Event()
            await trio.sleep(length_s)
            host.store.unfrozen.set()
        case "cut":
            host.store.is_disconnected = True
            await trio.sleep(length_s)
            host.store.is_disconnected = False
        case "slow":
            host.store.answer_delay_s = 3.0
            await trio.sleep(length_s)
            host.store.answer_delay_s = 0.0
        case "outage":
            store.set_down(True)
            await trio.sleep(length_s)
            store.set_down(False)
        case "lost" | "late":
            field = {"lost": "lost_answers", "late": "late_writes"}[kind]
            setattr(store.faults, field, 0.7)
            await trio.sleep(length_s)
            setattr(store.faults, field, 0.0)
        case "rank":
            for other in hosts:
                other.rank = (other.rank + 1) % 3
            await trio.sleep(length_s)


async def check_single_holder(hosts):
    greatest = 0
    while True:
        fences = [host.lease.fence for host in hosts if host.lease.fence is not None]
        assert len(fences) <= 1
        for fence in fences:
            assert fence >= greatest
            greatest = fence
        await trio.sleep(0.02)


async def test_requests_to_a_refusing_holder_are_rare(autojump_clock, nursery):
    store = MemoryObjectStore()
    holder, requester = Host(store, "a", 1), Host(store, "b", 0)
    holder.rank = 0
    await holder.lease.start(nursery)
    await wait_for_holder([holder])
    fence = holder.lease.fence
    requester.lease._candidate = LeaseCandidate(precedes=lambda other: True)
    await requester.lease.start(nursery)
    await trio.sleep(300)
    assert holder.lease.fence == fence
    requests = [e for e in store.history() if e.object.spec["wanted_by"] == "b"]
    assert 1 <= len(requests) <= 11
    nursery.cancel_scope.cancel()


async def test_request_is_repeated_until_the_holder_knows_the_requester(
    autojump_clock, nursery
):
    store = MemoryObjectStore()
    holder, requester = Host(store, "a", 1), Host(store, "b", 0)
    is_known = False
    holder.lease._candidate = LeaseCandidate(
        rank=lambda: 1 if is_known else 0, yields_to=lambda other: is_known
    )
    await holder.lease.start(nursery)
    await wait_for_holder([holder])
    requester.lease._candidate = LeaseCandidate(precedes=lambda other: True)
    await requester.lease.start(nursery)
    await trio.sleep(3)
    assert requester.lease.fence is None
    is_known = True
    await trio.sleep(17)
    assert requester.lease.fence is not None
    nursery.cancel_scope.cancel()


class RoleHosts:
    """Entry hosts that compete for roles and share one list of live hosts."""

    def __init__(self, n_hosts, n_roles):
        self.store = MemoryObjectStore()
        self.names = [f"entry-{i}" for i in range(n_hosts)]
        self.live = set(self.names)
        self.roles = [f"map/group-{i}" for i in range(n_roles)]
        self.hosts = {}

    async def start(self, nursery, name):
        identity = ProcessIdentity("entry", name, 1, Address("10.0.0.1", 1), "rennes")
        writer = Writer(self.store, len(self.hosts))
        live, roles = lambda: self.live, lambda: self.roles
        self.hosts[name] = ControlRoles(self.store, writer, identity, live, roles)
        await self.hosts[name].start(nursery)

    def holders(self):
        return {
            role: [name for name, host in self.hosts.items() if host.fence(role)]
            for role in self.roles
        }


async def test_roles_are_distributed_and_few_move_to_a_new_host(
    autojump_clock, nursery
):
    deployment = RoleHosts(n_hosts=13, n_roles=312)
    for name in deployment.names:
        await deployment.start(nursery, name)
    await trio.sleep(10)
    before = deployment.holders()
    assert all(len(holders) == 1 for holders in before.values())
    counts = [
        sum(name in holders for holders in before.values()) for name in deployment.names
    ]
    assert max(counts) < 312 / 3
    deployment.live = {*deployment.names, "entry-13"}
    await deployment.start(nursery, "entry-13")
    await trio.sleep(20)
    after = deployment.holders()
    moved = [role for role in after if after[role] != before[role]]
    assert all(after[role] == ["entry-13"] for role in moved)
    assert 0 < len(moved) < 312 / 5
    store = deployment.store
    n_writes, n_reads, started_at = (
        store.counts.n_writes,
        store.counts.n_reads,
        trio.current_time(),
    )
    await trio.sleep(60)
    n_slots = len({slot_of(role) for role in deployment.roles})
    elapsed_s = trio.current_time() - started_at
    assert store.counts.n_writes - n_writes <= n_slots * (math.ceil(elapsed_s / 2) + 1)
    assert store.counts.n_reads - n_reads <= 2 * n_slots * (elapsed_s / 2 + 1)
    nursery.cancel_scope.cancel()


async def test_missing_lease_is_acquired_and_close_clears_its_holder(autojump_clock):
    store = MemoryObjectStore()
    async with trio.open_nursery() as nursery:
        host = Host(store, "a", 0)
        with pytest.raises(NotFound):
            await store.get(LEASES_KIND, "slot-0")
        await host.lease.start(nursery)
        await wait_for_holder([host])
        await host.lease.close()
    stored = await store.get(LEASES_KIND, "slot-0")
    assert stored.spec["holder"] == ""

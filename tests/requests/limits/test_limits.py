from __future__ import annotations

import pytest
import trio

from benchmarks.limits import LIMIT_PER_S, running_site
from poplarward.errors import Refused
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.limits import DemandEntry, Demands, SplitLevel
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.caller import CallerRequest
from poplarward.requests.limits.allocator import ShareAllocator
from poplarward.requests.limits.shares import DecayingShare
from poplarward.transport import Address

WORKSPACE = "workspace-0"
REQUEST = CallerRequest(
    WORKSPACE, "u", PriorityClass.URGENT, 1, True, "GET", "/", [], b"", ""
)


async def rate(site, seconds: float) -> float:
    """Return the admitted rate over the next seconds, as a fraction of the limit."""
    site.admitted.clear()
    await trio.sleep(seconds)
    return site.admitted[WORKSPACE] / seconds / LIMIT_PER_S


async def test_limit_is_kept_and_follows_the_demand(autojump_clock):
    async with running_site(9, 1, seed=1) as (site, nursery):
        names = [member.name for member in site.members]
        everywhere = trio.CancelScope()
        nursery.start_soon(cancellable, everywhere, site, names)
        await trio.sleep(5)
        assert 0.85 <= await rate(site, 10) <= 1.05
        everywhere.cancel()
        nursery.start_soon(site.call, WORKSPACE, [names[4]], 2 * LIMIT_PER_S)
        await trio.sleep(8)
        assert 0.85 <= await rate(site, 10) <= 1.05


async def cancellable(scope, site, names) -> None:
    with scope:
        await site.call(WORKSPACE, names, 2 * LIMIT_PER_S)


async def test_share_of_a_lost_entry_host_goes_to_the_others(autojump_clock):
    async with running_site(6, 1, seed=2) as (site, nursery):
        names = [member.name for member in site.members]
        scope = trio.CancelScope()
        nursery.start_soon(cancellable, scope, site, names)
        await trio.sleep(5)
        scope.cancel()
        lost = site.members[5]
        await site.peers[lost.name].close()
        partition_hosts(site, {lost.address.host})
        site.live.remove(lost)
        nursery.start_soon(site.call, WORKSPACE, names[:5], 2 * LIMIT_PER_S)
        await trio.sleep(8)
        assert 0.85 <= await rate(site, 10) <= 1.05


def partition_hosts(site, hosts: set[str]) -> None:
    site.network.faults.is_cut = lambda a, b: (a in hosts) != (b in hosts)


async def test_shares_decay_and_the_limit_holds_without_allocators(autojump_clock):
    async with running_site(6, 1, seed=3) as (site, nursery):
        names = [member.name for member in site.members]
        nursery.start_soon(site.call, WORKSPACE, names, 2 * LIMIT_PER_S)
        await trio.sleep(5)
        # All entry hosts are partitioned: each can reach only its own allocator.
        site.network.faults.is_cut = lambda a, b: True
        assert 0.3 <= await rate(site, 6) <= 1.1
        await trio.sleep(30)
        assert await rate(site, 10) <= 1.1
        site.network.faults.is_cut = lambda a, b: False
        await trio.sleep(8)
        assert 0.85 <= await rate(site, 10) <= 1.05


async def test_limit_holds_while_allocators_are_replaced(autojump_clock):
    async with running_site(6, 1, seed=4) as (site, nursery):
        names = [member.name for member in site.members]
        nursery.start_soon(site.call, WORKSPACE, names, 2 * LIMIT_PER_S)
        await trio.sleep(5)
        for _ in range(3):
            # Excludes another entry host each time, so that allocators change.
            site.live.append(site.live.pop(0))
            site.live[:] = [m for m in site.members if m is not site.live[0]]
            assert await rate(site, 4) <= 1.1


async def test_new_allocator_grants_no_more_than_the_held_share_until_warmed_up(
    autojump_clock,
):
    async with running_site(1, 1, seed=6) as (site, _):
        identity = ProcessIdentity("entry", "e", 9, Address("10.9.0.1", 1), "site-0")
        peers = Peers(site.network.host("10.9.0.1"), identity, "s")
        allocator = ShareAllocator(peers, lambda level, workspace: 1.0)
        demands = Demands(SplitLevel.ENTRY_HOSTS, [DemandEntry(WORKSPACE, 2.0, 0.2)])
        assert 0.1998 < allocator.allocate("entry-1", demands).entries[0].share <= 0.2
        await trio.sleep(2.1)
        assert allocator.allocate("entry-1", demands).entries[0].share == 1.0


async def test_request_over_the_limit_is_refused_at_once(autojump_clock):
    async with running_site(1, 1, seed=5) as (site, _):
        limits = site.limits["entry-0"]
        began = trio.current_time()
        with pytest.raises(Refused) as caught:
            for _ in range(200):
                limits.check(REQUEST)
        assert trio.current_time() == began
        assert caught.value.retry_after_ms >= 50


def test_share_is_kept_and_then_decays_towards_its_floor():
    share = DecayingShare()
    assert share.value(0.0, 0.1) == 0.1
    share.grant(0.5, 1000.0)
    assert share.value(4000.0, 0.1) == pytest.approx(0.5)
    assert share.value(9000.0, 0.1) == pytest.approx(0.3)
    assert share.value(90_000.0, 0.1) == pytest.approx(0.1, rel=0.01)

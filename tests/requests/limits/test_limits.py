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
    """Return the requests admitted over the limit in the seconds to come."""
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


async def test_lost_entry_host_gives_its_part_to_the_others(autojump_clock):
    async with running_site(6, 1, seed=2) as (site, nursery):
        names = [member.name for member in site.members]
        scope = trio.CancelScope()
        nursery.start_soon(cancellable, scope, site, names)
        await trio.sleep(5)
        scope.cancel()
        lost = site.members[5]
        await site.peers[lost.name].close()
        cut(site, {lost.address.host})
        site.live.remove(lost)
        nursery.start_soon(site.call, WORKSPACE, names[:5], 2 * LIMIT_PER_S)
        await trio.sleep(8)
        assert 0.85 <= await rate(site, 10) <= 1.05


def cut(site, hosts: set[str]) -> None:
    site.network.faults.is_cut = lambda a, b: (a in hosts) != (b in hosts)


async def test_without_splitters_shares_decay_and_the_limit_holds(autojump_clock):
    async with running_site(6, 1, seed=3) as (site, nursery):
        names = [member.name for member in site.members]
        nursery.start_soon(site.call, WORKSPACE, names, 2 * LIMIT_PER_S)
        await trio.sleep(5)
        # Every entry host is alone: no splitter but its own can be reached.
        site.network.faults.is_cut = lambda a, b: True
        assert 0.3 <= await rate(site, 6) <= 1.1
        await trio.sleep(30)
        assert await rate(site, 10) <= 1.1
        site.network.faults.is_cut = lambda a, b: False
        await trio.sleep(8)
        assert 0.85 <= await rate(site, 10) <= 1.05


async def test_splitter_that_has_just_taken_over_grants_nothing_more(autojump_clock):
    async with running_site(6, 1, seed=4) as (site, nursery):
        names = [member.name for member in site.members]
        nursery.start_soon(site.call, WORKSPACE, names, 2 * LIMIT_PER_S)
        await trio.sleep(5)
        for _ in range(3):
            # Whoever comes first is replaced, time and again.
            site.live.append(site.live.pop(0))
            site.live[:] = [m for m in site.members if m is not site.live[0]]
            assert await rate(site, 4) <= 1.1


async def test_fresh_splitter_grants_no_more_than_is_held_until_it_has_learnt(
    autojump_clock,
):
    async with running_site(1, 1, seed=6) as (site, _):
        identity = ProcessIdentity("entry", "e", 9, Address("10.9.0.1", 1), "site-0")
        peers = Peers(site.network.host("10.9.0.1"), identity, "s")
        splitter = ShareAllocator(peers, lambda level, workspace: 1.0)
        asked = Demands(SplitLevel.ENTRY_HOSTS, [DemandEntry(WORKSPACE, 2.0, 0.2)])
        assert 0.1998 < splitter.allocate("entry-1", asked).entries[0].share <= 0.2
        await trio.sleep(2.1)
        assert splitter.allocate("entry-1", asked).entries[0].share == 1.0


async def test_request_over_the_limit_is_refused_at_once(autojump_clock):
    async with running_site(1, 1, seed=5) as (site, _):
        limits = site.limits["entry-0"]
        began = trio.current_time()
        with pytest.raises(Refused) as caught:
            for _ in range(200):
                limits.check(REQUEST)
        assert trio.current_time() == began
        assert caught.value.retry_after_ms >= 50


def test_share_is_held_and_then_halves_towards_its_floor():
    held = DecayingShare()
    assert held.value(0.0, 0.1) == 0.1
    held.grant(0.5, 1000.0)
    assert held.value(4000.0, 0.1) == pytest.approx(0.5)
    assert held.value(9000.0, 0.1) == pytest.approx(0.3)
    assert held.value(90_000.0, 0.1) == pytest.approx(0.1, rel=0.01)

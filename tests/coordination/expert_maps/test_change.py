from __future__ import annotations

import trio

from poplarward.coordination.expert_maps import ChangeOutcome
from poplarward.protocol.expert_maps import (
    AskVote,
    MapId,
    Member,
    PrepareMap,
    StageMap,
    Vote,
)
from tests.coordination.expert_maps.harness import GROUP, Group


async def run_changes(group, leader, *moves):
    outcomes = []
    for move in moves:
        group.propose(leader, *move)
        n = len(leader.results)
        while len(leader.results) == n:
            await trio.sleep(0.05)
        outcomes.append(leader.results[-1].outcome)
        await trio.sleep(1)
    return outcomes


async def test_change_of_map_is_committed_and_recorded(nursery, autojump_clock):
    group = Group(nursery)
    await group.start()
    await trio.sleep(1)
    leader = await group.start_coordinator()
    moves = [(0, 0, 2), (1, 1, 0)]
    assert await run_changes(group, leader, *moves) == [ChangeOutcome.COMMITTED] * 2
    active = {engine.active for engine in group.ranks.engines}
    assert [map_id.version for map_id in active] == [3]
    assert group.ranks.mixed_steps() == []
    stored = await group.store.get("expertmaps", GROUP)
    assert stored.spec["layers"] == group.ranks.maps[active.pop()]
    ends = group.ranks.step_ends
    gaps = [b - a for a, b in zip(ends, ends[1:], strict=False)]
    assert max(gaps) < 1.5 * min(gaps)
    nursery.cancel_scope.cancel()


async def group_with_one_undecided_host(nursery):
    """Return a group with a half-applied change, and the sent prepare requests.

    Hosts 0 and 1 have committed the change. Host 2 has voted ready but could not carry
    out the decision, and its agent has been killed.
    """
    group = Group(nursery)
    await group.start()
    await trio.sleep(1)
    leader = await group.start_coordinator()
    for engine in group.ranks.engines:
        engine.is_stalled = True
    group.propose(leader, 0, 0, 2)
    with trio.fail_after(5):
        while not group.participants[2].has_undecided_vote:
            await trio.sleep(0.0005)
    group.ranks.engines[2].is_unreachable = True
    with trio.fail_after(5):
        while any(engine.current_hold for engine in group.ranks.engines[:2]):
            await trio.sleep(0.001)
    await group.kill_agent(2)
    return group, [m for m in group.sent if isinstance(m[2], PrepareMap)]


async def test_redelivered_prepare_after_a_restart_is_not_a_new_vote(
    nursery, autojump_clock
):
    group, prepares = await group_with_one_undecided_host(nursery)
    await group.kill_agent(0)
    await trio.sleep(0.5)
    await group.start_agent(0)
    peers, address, prepare = next(m for m in prepares if m[1].host == "10.0.1.0")
    reply = await peers.call(address, prepare, 1000)
    assert reply.vote is Vote.COMMITTED
    await group.kill_agent(1)
    group.heal()
    await group.start_agent(2)
    await trio.sleep(5)
    assert group.ranks.engines[2].active == prepare.map_id
    assert group.ranks.mixed_steps() == []
    nursery.cancel_scope.cancel()


async def test_host_stays_held_until_a_host_with_the_decision_returns(
    nursery, autojump_clock
):
    group, prepares = await group_with_one_undecided_host(nursery)
    for host in (0, 1):
        await group.kill_agent(host)
    for coordinator in group.coordinators:
        coordinator.nursery.cancel_scope.cancel()
    group.heal()
    await group.start_agent(2)
    await trio.sleep(30)
    assert group.ranks.engines[2].current_hold is not None
    await group.start_agent(1)
    await trio.sleep(5)
    assert group.ranks.engines[2].active == prepares[0][2].map_id
    assert group.ranks.mixed_steps() == []
    nursery.cancel_scope.cancel()


async def test_no_vote_stands_after_late_prepares_and_a_restart(
    nursery, autojump_clock
):
    group = Group(nursery)
    await group.start()
    await trio.sleep(1)
    leader = await group.start_coordinator()
    host, base = group.hosts[0], group.ranks.engines[0].active
    map_id = MapId(2, 1, 1)
    step = group.ranks.engines[0].step + 10_000
    prepare = PrepareMap(GROUP, map_id, base, step, [Member(host.name, 1, "")])
    stage = StageMap(GROUP, map_id, base, [])

    async def call(message):
        return await leader.peers.call(host.address, message, 1000)

    assert (await call(stage)).is_staged
    assert (await call(AskVote(GROUP, map_id))).vote is Vote.NO
    assert (await call(prepare)).vote is Vote.NO
    await group.kill_agent(0)
    await group.start_agent(0)
    await trio.sleep(1)
    assert (await call(stage)).is_staged
    assert (await call(prepare)).vote is Vote.NO
    assert group.ranks.engines[0].current_hold is None
    nursery.cancel_scope.cancel()


async def test_restarted_agent_rejects_commands_until_it_knows_the_fence(
    nursery, autojump_clock
):
    group = Group(nursery, checks_fence=False)
    await group.start()
    old = await group.start_coordinator()
    new = await group.start_coordinator()
    await trio.sleep(1)
    assert await new.coordinator.load()
    group.store.set_down(True)
    group.unreachable.add(group.hosts[1].address.host)
    await group.kill_agent(0)
    await trio.sleep(0.5)
    await group.start_agent(0)
    host, base = group.hosts[0], group.ranks.engines[0].active
    command = StageMap(GROUP, MapId(2, 1, 1), base, [])
    await trio.sleep(20)
    reply = await old.peers.call(host.address, command, 1000)
    assert "not known yet" in reply.reason
    # All other hosts are reachable again; the store is still down.
    group.unreachable.clear()
    await trio.sleep(5)
    reply = await old.peers.call(host.address, command, 1000)
    assert reply.reason == "StaleFence: drafts: fence 1 is older than 2"
    nursery.cancel_scope.cancel()

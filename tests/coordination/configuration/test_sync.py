"""Configuration reaches every process within its time, whatever fails meanwhile."""

from __future__ import annotations

import contextlib

import pytest
import trio

from benchmarks.configuration_fleet import Fleet
from poplarward.coordination.configuration import gather_rollout
from poplarward.coordination.configuration.sources import readers_of
from poplarward.errors import ConflictError, StoreUnavailable
from poplarward.state import STORE_KIND, resource_of
from poplarward.transport import LinkFaults

# The stated target for a change to be in force everywhere.
IN_FORCE_S = 9.0
DATA_CENTRES = ["rennes", "brest"]


def in_data_centre(name):
    return lambda process: process.identity.data_centre == name


def readers(fleet, data_centre):
    entries = [member.identity for member in fleet.live("entry")]
    return readers_of(data_centre, entries)


@contextlib.asynccontextmanager
async def running_fleet(n_entries=8, n_agents=12, data_centres=DATA_CENTRES):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, LinkFaults(delay_ms=0.3, jitter_ms=0.2), seed=3)
        await fleet.put("ateliers", {"share": 1})
        fleet.start_all(n_entries, n_agents, data_centres)
        await fleet.wait_ready()
        yield fleet
        nursery.cancel_scope.cancel()


async def naive_contents(fleet):
    """What a process that lists the store for itself would have in force."""
    _, items = await fleet.store.list(STORE_KIND)
    return sorted(resource_of(item) for item in items)


async def test_racing_operators_and_lost_answers_end_as_a_naive_reader_sees(
    autojump_clock,
):
    async with running_fleet() as fleet:
        fleet.store.faults.lost_answers = 0.3

        async def operator(number):
            for share in range(20):
                with contextlib.suppress(ConflictError, StoreUnavailable):
                    held = fleet.processes["entry-0"].view.version("workspaces", "b")
                    if share % 7 == 6:
                        await fleet.delete("b", held)
                    else:
                        await fleet.put("b", {"share": share, "by": number}, held)
                await trio.sleep(0.1)

        async with trio.open_nursery() as operators:
            for number in range(3):
                operators.start_soon(operator, number)
        fleet.store.faults.lost_answers = 0.0
        revision = await fleet.put("c", {"share": 5})
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision)
        expected = await naive_contents(fleet)
        for process in fleet.processes.values():
            assert sorted(process.view.all()) == expected


async def test_frozen_readers_do_not_hold_changes_back_nor_bring_old_ones_again(
    autojump_clock,
):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        asleep = {fleet.processes[name] for name in readers(fleet, "rennes")}
        for process in asleep:
            process.freeze()
        await fleet.delete("ateliers", 1)
        revision = await fleet.put("b", {"share": 2})
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision, lambda process: process not in asleep)
        await trio.sleep(60)
        for process in asleep:
            process.thaw()
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision)
        await trio.sleep(10)
        for process in fleet.processes.values():
            assert [r.name for r in process.view.all()] == ["b"]


async def test_data_centre_cut_from_the_store_learns_from_another(autojump_clock):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        for process in fleet.processes.values():
            process.is_cut_from_store = process.identity.data_centre == "rennes"
        await trio.sleep(1)
        revision = await fleet.put("b", {"share": 2})
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision)


async def test_cut_regions_go_on_and_agree_again_when_they_meet(autojump_clock):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        far = {
            process.identity.address.host: process
            for process in fleet.processes.values()
            if process.identity.data_centre == "brest"
        }
        fleet.network.faults.is_cut = lambda a, b: (a in far) != (b in far)
        for process in far.values():
            process.is_cut_from_store = True
        revision = await fleet.delete("ateliers", 1)
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision, in_data_centre("rennes"))
        await trio.sleep(60)
        assert all(process.view.revision == 1 for process in far.values())
        fleet.network.faults.is_cut = lambda a, b: False
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_all(revision)
        assert not any(p.view.all() for p in fleet.processes.values())


async def test_fresh_host_without_store_takes_the_greatest_of_several(
    autojump_clock,
):
    async with running_fleet(n_entries=5, n_agents=2, data_centres=["rennes"]) as fleet:
        late = fleet.processes["entry-4"]
        await trio.sleep(3)
        late.freeze()
        revision = await fleet.put("ateliers", {"share": 9}, 1)
        await fleet.wait_all(revision, lambda process: process is not late)
        fleet.store.set_down(True)
        fresh = [
            fleet.start("entry", "entry-9", "rennes"),
            fleet.start("agent", "agent-9", "rennes"),
        ]
        with trio.fail_after(IN_FORCE_S):
            for process in fresh:
                await process.sync.ready.wait()
        assert [process.view.revision for process in fresh] == [revision, revision]


async def test_fresh_host_does_not_rely_on_one_that_is_behind(autojump_clock):
    async with running_fleet(n_entries=5, n_agents=2, data_centres=["rennes"]) as fleet:
        behind = fleet.processes["entry-4"]
        behind.freeze()
        revision = await fleet.put("ateliers", {"share": 9}, 1)
        await fleet.wait_all(revision, lambda process: process is not behind)
        fleet.store.set_down(True)
        fresh = fleet.start("entry", "entry-9", "rennes")
        pair = {p.identity.address.host for p in (fresh, behind)}
        fleet.network.faults.is_cut = lambda a, b: (a in pair) != (b in pair)
        # Membership counts only the two as live, as it does on their side of a cut.
        fleet.suspects = {f"entry-{number}" for number in range(4)}
        behind.thaw()
        await trio.sleep(60)
        assert (behind.view.revision, fresh.view.revision) == (1, 1)
        assert not fresh.sync.ready.is_set()
        fleet.network.faults.is_cut = lambda a, b: False
        fleet.suspects = set()
        with trio.fail_after(IN_FORCE_S):
            await fresh.sync.ready.wait()
        assert fresh.view.revision == revision


async def test_processes_that_all_are_fresh_do_not_vouch_for_each_other(
    autojump_clock,
):
    async with running_fleet(n_entries=3, n_agents=2, data_centres=["rennes"]) as fleet:
        fleet.store.set_down(True)
        for name in list(fleet.processes):
            fleet.kill(name)
        fleet.start_all(3, 2, ["rennes"])
        await trio.sleep(60)
        assert not any(p.sync.ready.is_set() for p in fleet.processes.values())
        fleet.store.set_down(False)
        with trio.fail_after(IN_FORCE_S):
            await fleet.wait_ready()


async def test_rollout_counts_every_live_process_and_names_those_behind(
    autojump_clock,
):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        asleep = fleet.processes["agent-5"]
        asleep.freeze()
        revision = await fleet.put("b", {"share": 2})
        await trio.sleep(IN_FORCE_S)
        asked = fleet.processes["entry-2"]

        async def gather():
            return await gather_rollout(
                asked.peers, asked.sync.publisher, fleet, revision
            )

        assert await gather() == (20, 19, ["agent-5"])
        asleep.thaw()
        await trio.sleep(IN_FORCE_S)
        assert await gather() == (20, 20, [])


@pytest.mark.parametrize("n_entries", [4, 16])
async def test_store_calls_do_not_grow_with_hosts(n_entries, autojump_clock):
    async with running_fleet(n_entries, 2 * n_entries) as fleet:
        await trio.sleep(5)
        before = fleet.store.counts.n_reads
        assert fleet.store.counts.n_watches == 2 * len(DATA_CENTRES)
        version = 1
        for share in range(30):
            version = await fleet.put("ateliers", {"share": share}, version)
            await trio.sleep(1)
        await fleet.wait_all(version)
        assert fleet.store.counts.n_reads == before

"""Configuration reaches every process within the target time, despite faults."""

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

# Target time for a change to be applied everywhere.
MAX_ROLLOUT_S = 9.0
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


async def listed_contents(fleet):
    """Return the resources of a direct list of the store."""
    _, items = await fleet.store.list(STORE_KIND)
    return sorted(resource_of(item) for item in items)


async def test_views_equal_the_store_after_racing_operators_and_lost_responses(
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
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(revision)
        expected = await listed_contents(fleet)
        for process in fleet.processes.values():
            assert sorted(process.view.all()) == expected


async def test_frozen_readers_neither_delay_changes_nor_revert_them(
    autojump_clock,
):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        frozen = {fleet.processes[name] for name in readers(fleet, "rennes")}
        for process in frozen:
            process.freeze()
        await fleet.delete("ateliers", 1)
        revision = await fleet.put("b", {"share": 2})
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(
                revision, lambda process: process not in frozen
            )
        await trio.sleep(60)
        for process in frozen:
            process.thaw()
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(revision)
        await trio.sleep(10)
        for process in fleet.processes.values():
            assert [r.name for r in process.view.all()] == ["b"]


async def test_data_centre_without_the_store_is_updated_from_another(autojump_clock):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        for process in fleet.processes.values():
            process.is_store_unreachable = process.identity.data_centre == "rennes"
        await trio.sleep(1)
        revision = await fleet.put("b", {"share": 2})
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(revision)


async def test_partitioned_data_centres_converge_after_the_partition(autojump_clock):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        remote = {
            process.identity.address.host: process
            for process in fleet.processes.values()
            if process.identity.data_centre == "brest"
        }
        fleet.network.faults.is_cut = lambda a, b: (a in remote) != (b in remote)
        for process in remote.values():
            process.is_store_unreachable = True
        revision = await fleet.delete("ateliers", 1)
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(revision, in_data_centre("rennes"))
        await trio.sleep(60)
        assert all(process.view.revision == 1 for process in remote.values())
        fleet.network.faults.is_cut = lambda a, b: False
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_until_applied(revision)
        assert not any(p.view.all() for p in fleet.processes.values())


async def test_new_host_without_store_uses_the_greatest_of_several_revisions(
    autojump_clock,
):
    async with running_fleet(n_entries=5, n_agents=2, data_centres=["rennes"]) as fleet:
        frozen = fleet.processes["entry-4"]
        await trio.sleep(3)
        frozen.freeze()
        revision = await fleet.put("ateliers", {"share": 9}, 1)
        await fleet.wait_until_applied(revision, lambda process: process is not frozen)
        fleet.store.set_down(True)
        new = [
            fleet.start("entry", "entry-9", "rennes"),
            fleet.start("agent", "agent-9", "rennes"),
        ]
        with trio.fail_after(MAX_ROLLOUT_S):
            for process in new:
                await process.sync.ready.wait()
        assert [process.view.revision for process in new] == [revision, revision]


async def test_new_host_is_not_ready_through_one_that_is_behind(autojump_clock):
    async with running_fleet(n_entries=5, n_agents=2, data_centres=["rennes"]) as fleet:
        behind = fleet.processes["entry-4"]
        behind.freeze()
        revision = await fleet.put("ateliers", {"share": 9}, 1)
        await fleet.wait_until_applied(revision, lambda process: process is not behind)
        fleet.store.set_down(True)
        new = fleet.start("entry", "entry-9", "rennes")
        pair = {p.identity.address.host for p in (new, behind)}
        fleet.network.faults.is_cut = lambda a, b: (a in pair) != (b in pair)
        # Only the two are live in membership, as on their side of a partition.
        fleet.suspects = {f"entry-{number}" for number in range(4)}
        behind.thaw()
        await trio.sleep(60)
        assert (behind.view.revision, new.view.revision) == (1, 1)
        assert not new.sync.ready.is_set()
        fleet.network.faults.is_cut = lambda a, b: False
        fleet.suspects = set()
        with trio.fail_after(MAX_ROLLOUT_S):
            await new.sync.ready.wait()
        assert new.view.revision == revision


async def test_newly_started_processes_do_not_confirm_each_other(
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
        with trio.fail_after(MAX_ROLLOUT_S):
            await fleet.wait_ready()


async def test_rollout_counts_live_processes_and_names_those_behind(
    autojump_clock,
):
    async with running_fleet() as fleet:
        await trio.sleep(3)
        frozen = fleet.processes["agent-5"]
        frozen.freeze()
        revision = await fleet.put("b", {"share": 2})
        await trio.sleep(MAX_ROLLOUT_S)
        entry_host = fleet.processes["entry-2"]

        async def gather():
            return await gather_rollout(
                entry_host.peers, entry_host.sync.publisher, fleet, revision
            )

        assert await gather() == (20, 19, ["agent-5"])
        frozen.thaw()
        await trio.sleep(MAX_ROLLOUT_S)
        assert await gather() == (20, 20, [])


@pytest.mark.parametrize("n_entries", [4, 16])
async def test_store_calls_do_not_depend_on_the_number_of_hosts(
    n_entries, autojump_clock
):
    async with running_fleet(n_entries, 2 * n_entries) as fleet:
        await trio.sleep(5)
        before = fleet.store.counts.n_reads
        assert fleet.store.counts.n_watches == 2 * len(DATA_CENTRES)
        version = 1
        for share in range(30):
            version = await fleet.put("ateliers", {"share": share}, version)
            await trio.sleep(1)
        await fleet.wait_until_applied(version)
        assert fleet.store.counts.n_reads == before

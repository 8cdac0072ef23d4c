"""Failure detection: failed processes are detected, live ones are not suspected."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio

from poplarward.coordination.hosts import ListedHost
from poplarward.coordination.membership import HeartbeatStatus, MemberState
from tests.coordination.membership.fleet import Fleet

LIVE, SUSPECT, LEAVING, GONE = MemberState

DATA_CENTRES = ["rennes", "brest", "vannes"]


@asynccontextmanager
async def start_fleet():
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        await fleet.build(DATA_CENTRES, n_entries=3, n_agents=3)
        assert fleet.not_live() == set()
        yield fleet
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("name", ["entry-brest-1", "agent-brest-1"])
@pytest.mark.parametrize("failure", ["kill", "freeze"])
async def test_lost_process_is_suspect_then_gone_everywhere(
    autojump_clock, name, failure
):
    async with start_fleet() as fleet:
        host = fleet.hosts[name]
        host.scope.cancel() if failure == "kill" else host.freeze()
        await fleet.wait_until(lambda: fleet.states_of(name) == {SUSPECT}, 6)
        role = host.peers.identity.role
        others = [h for h in fleet.entries() if h is not host]
        assert {h.membership.not_live(role) for h in others} == {frozenset([name])}
        await fleet.wait_until(lambda: fleet.states_of(name) == {GONE}, 8)
        assert fleet.not_live() <= {name}
        if failure == "freeze":
            host.unfrozen.set()
            await fleet.wait_until(lambda: fleet.states_of(name) == {LIVE}, 10)


async def test_suspicion_is_refuted_after_a_short_freeze(autojump_clock):
    async with start_fleet() as fleet:
        host = fleet.hosts["entry-brest-1"]
        host.freeze()
        await trio.sleep(4)
        host.unfrozen.set()
        await fleet.wait_until(lambda: fleet.not_live() == set(), 8)


async def test_partially_connected_host_is_not_suspected(autojump_clock):
    async with start_fleet() as fleet:
        ips = [fleet.hosts[f"entry-brest-{i}"].ip for i in range(2)]
        agent = fleet.hosts["agent-brest-0"].ip
        fleet.is_disconnected = lambda a, b: {a, b} in ({ips[0], agent}, set(ips))
        suspected = set()
        for _ in range(300):
            await trio.sleep(0.1)
            suspected |= fleet.not_live()
        assert suspected == set()


async def test_both_sides_of_a_partition_keep_their_own_processes_live(autojump_clock):
    async with start_fleet() as fleet:
        inside = fleet.ips_in("brest")
        fleet.is_disconnected = lambda a, b: (a in inside) != (b in inside)
        await fleet.wait_until(
            lambda: all(
                fleet.states_of(f"{role}-brest-0", other) == {SUSPECT}
                for role in ("entry", "agent")
                for other in ("rennes", "vannes")
            ),
            15,
        )
        await trio.sleep(60)
        assert fleet.states_of("agent-brest-0", "brest") == {LIVE}
        assert fleet.states_of("agent-rennes-0", "vannes") == {LIVE}
        assert fleet.states_of("agent-rennes-0", "brest") == {SUSPECT}
        # Changes on either side are known on both sides after the partition heals.
        fleet.hosts["agent-brest-2"].scope.cancel()
        await fleet.add("agent-rennes-9", "agent", "rennes")
        await trio.sleep(30)
        fleet.is_disconnected = lambda a, b: False
        await fleet.wait_until(lambda: fleet.states_of("agent-brest-2") == {GONE}, 30)
        await fleet.wait_until(lambda: fleet.states_of("agent-rennes-9") == {LIVE}, 30)
        assert fleet.not_live() == {"agent-brest-2"}


async def test_failed_rack_is_gone_and_its_replacements_are_live(autojump_clock):
    async with start_fleet() as fleet:
        lost = ["entry-brest-0", "entry-brest-2", "agent-brest-0", "agent-brest-1"]
        for name in lost:
            fleet.hosts[name].scope.cancel()
        await fleet.wait_until(
            lambda: all(fleet.states_of(name) == {GONE} for name in lost), 25
        )
        for name in lost:
            await fleet.add(name, name.partition("-")[0], "brest", n_start=5)
        await fleet.wait_until(lambda: fleet.not_live() == set(), 25)


async def test_process_leaves_by_itself_or_by_the_host_list(autojump_clock):
    async with start_fleet() as fleet:
        await fleet.hosts["entry-brest-0"].membership.close()
        await fleet.wait_until(lambda: fleet.states_of("entry-brest-0") == {LEAVING}, 1)
        fleet.hosts["agent-vannes-0"].local_member.leave()
        await fleet.wait_until(
            lambda: fleet.states_of("agent-vannes-0") == {LEAVING}, 3
        )
        listed = fleet.listed["agent-rennes-0"]
        fleet.listed["agent-rennes-0"] = listed._replace(state="leaving")
        await fleet.wait_until(
            lambda: fleet.states_of("agent-rennes-0") == {LEAVING}, 2
        )
        # A restart of the process does not undo the state in the list.
        fleet.hosts["agent-rennes-0"].scope.cancel()
        await trio.sleep(0.5)
        await fleet.add("agent-rennes-0", "agent", "rennes", n_start=7, listed=False)
        await trio.sleep(4)
        assert fleet.states_of("agent-rennes-0") == {LEAVING}


@pytest.mark.parametrize("name", ["entry-rennes-0", "agent-rennes-0"])
async def test_restarted_process_is_live_once_it_is_listed_as_live(
    autojump_clock, name
):
    """The list still shows the host as leaving for a while after its restart."""
    async with start_fleet() as fleet:
        listed = fleet.listed[name]
        fleet.listed[name] = listed._replace(state="leaving")
        await fleet.wait_until(lambda: fleet.states_of(name) == {LEAVING}, 2)
        fleet.hosts[name].scope.cancel()
        await trio.sleep(0.5)
        await fleet.add(name, listed.role, "rennes", n_start=7, listed=False)
        await trio.sleep(4)
        assert fleet.states_of(name) == {LEAVING}
        fleet.listed[name] = listed
        await fleet.wait_until(lambda: fleet.states_of(name) == {LIVE}, 3)
        await trio.sleep(4)
        assert fleet.states_of(name) == {LIVE}


async def test_process_that_stops_by_itself_stays_leaving(autojump_clock):
    async with start_fleet() as fleet:
        listed = fleet.listed["agent-rennes-0"]
        fleet.listed["agent-rennes-0"] = listed._replace(state="leaving")
        await fleet.wait_until(lambda: fleet.states_of(listed.name) == {LEAVING}, 2)
        fleet.hosts["agent-rennes-0"].local_member.leave()
        fleet.listed["agent-rennes-0"] = listed
        await trio.sleep(6)
        assert fleet.states_of(listed.name) == {LEAVING}


async def test_new_process_is_known_before_it_is_listed(autojump_clock):
    async with start_fleet() as fleet:
        await fleet.add("entry-brest-9", "entry", "brest", listed=False)
        await fleet.wait_until(lambda: fleet.states_of("entry-brest-9") == {LIVE}, 2)


async def test_heartbeats_carry_the_configuration(autojump_clock):
    async with start_fleet() as fleet:
        received = []
        agent = fleet.hosts["agent-brest-0"]
        agent.local_member.status = lambda: HeartbeatStatus(b"digest", 41)
        for host in fleet.entries("brest"):
            host.local_member.on_status.append(
                lambda sender, status: received.append((sender, status))
            )
        await trio.sleep(3)
        statuses = {
            status for sender, status in received if sender.name == "agent-brest-0"
        }
        assert statuses == {HeartbeatStatus(b"digest", 41)}


async def test_list_read_by_one_entry_host_is_disseminated(autojump_clock):
    async with start_fleet() as fleet:
        reader = fleet.hosts["entry-rennes-1"]
        new = await fleet.add("agent-brest-9", "agent", "brest", listed=False)
        listed = ListedHost(new.name, "agent", "brest", "live", f"{new.ip}:9000")
        reader.membership._listed_hosts = lambda: [listed]
        await fleet.wait_until(lambda: fleet.states_of(new.name) == {LIVE}, 2)


async def test_process_gone_for_long_is_removed_everywhere(autojump_clock):
    async with start_fleet() as fleet:
        name = "agent-brest-0"
        fleet.hosts[name].scope.cancel()
        await fleet.wait_until(lambda: fleet.states_of(name) == {GONE}, 15)
        await trio.sleep(65)
        assert fleet.states_of(name) == {GONE}
        del fleet.listed[name]
        await fleet.wait_until(lambda: fleet.states_of(name) == {None}, 10)
        await trio.sleep(20)
        assert fleet.states_of(name) == {None}


async def test_delegates_probe_a_reachable_data_centre_every_two_seconds(
    autojump_clock,
):
    async with start_fleet() as fleet:
        await trio.sleep(5)
        received = Counter()

        def count_heartbeat(host, sender):
            if sender.role == "entry" and sender.data_centre != host.data_centre:
                received[host.name, sender.data_centre] += 1

        for host in fleet.hosts.values():
            own = host.peers.identity
            if own.role == "entry":
                host.local_member.on_status.append(
                    lambda sender, _, own=own: count_heartbeat(own, sender)
                )
        await trio.sleep(20)
        # Replies to its own probes, and probes from the other's two delegates.
        assert received
        assert all(15 <= n <= 25 for n in received.values())


async def test_process_with_closed_connections_is_suspect_at_once(autojump_clock):
    async with start_fleet() as fleet:
        for name in ("agent-brest-0", "agent-vannes-1", "agent-rennes-0"):
            fleet.hosts[name].scope.cancel()
            waited_s = await fleet.wait_until(
                lambda name=name: fleet.states_of(name) == {SUSPECT}, 3
            )
            assert waited_s < 1.0

"""Dead processes are found, live ones are not suspected, and both sides go on."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio

from poplarward.coordination.hosts import ListedHost
from poplarward.coordination.membership import HeartbeatStatus, MemberState
from tests.coordination.membership.fleet import Fleet

LIVE, SUSPECT, LEAVING, GONE = MemberState

CENTRES = ["rennes", "brest", "vannes"]


@asynccontextmanager
async def start_fleet():
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        await fleet.build(CENTRES, n_entries=3, n_agents=3)
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
        await fleet.wait_until(lambda: fleet.views_of(name) == {SUSPECT}, 6)
        role = host.peers.identity.role
        others = [h for h in fleet.entries() if h is not host]
        assert {h.membership.not_live(role) for h in others} == {frozenset([name])}
        await fleet.wait_until(lambda: fleet.views_of(name) == {GONE}, 8)
        assert fleet.not_live() <= {name}
        if failure == "freeze":
            host.thawed.set()
            await fleet.wait_until(lambda: fleet.views_of(name) == {LIVE}, 10)


async def test_short_freeze_is_contradicted(autojump_clock):
    async with start_fleet() as fleet:
        host = fleet.hosts["entry-brest-1"]
        host.freeze()
        await trio.sleep(4)
        host.thawed.set()
        await fleet.wait_until(lambda: fleet.not_live() == set(), 8)


async def test_half_cut_host_is_not_suspected(autojump_clock):
    async with start_fleet() as fleet:
        ips = [fleet.hosts[f"entry-brest-{i}"].ip for i in range(2)]
        agent = fleet.hosts["agent-brest-0"].ip
        fleet.cut = lambda a, b: {a, b} in ({ips[0], agent}, set(ips))
        suspected = set()
        for _ in range(300):
            await trio.sleep(0.1)
            suspected |= fleet.not_live()
        assert suspected == set()


async def test_cut_data_centre_lives_on_both_sides(autojump_clock):
    async with start_fleet() as fleet:
        inside = fleet.ips_in("brest")
        fleet.cut = lambda a, b: (a in inside) != (b in inside)
        await fleet.wait_until(
            lambda: all(
                fleet.views_of(f"{role}-brest-0", other) == {SUSPECT}
                for role in ("entry", "agent")
                for other in ("rennes", "vannes")
            ),
            15,
        )
        await trio.sleep(60)
        assert fleet.views_of("agent-brest-0", "brest") == {LIVE}
        assert fleet.views_of("agent-rennes-0", "vannes") == {LIVE}
        assert fleet.views_of("agent-rennes-0", "brest") == {SUSPECT}
        # What changed on either side meanwhile is known on both after the cut.
        fleet.hosts["agent-brest-2"].scope.cancel()
        await fleet.add("agent-rennes-9", "agent", "rennes")
        await trio.sleep(30)
        fleet.cut = lambda a, b: False
        await fleet.wait_until(lambda: fleet.views_of("agent-brest-2") == {GONE}, 30)
        await fleet.wait_until(lambda: fleet.views_of("agent-rennes-9") == {LIVE}, 30)
        assert fleet.not_live() == {"agent-brest-2"}


async def test_rack_gone_and_replacements(autojump_clock):
    async with start_fleet() as fleet:
        lost = ["entry-brest-0", "entry-brest-2", "agent-brest-0", "agent-brest-1"]
        for name in lost:
            fleet.hosts[name].scope.cancel()
        await fleet.wait_until(
            lambda: all(fleet.views_of(name) == {GONE} for name in lost), 25
        )
        for name in lost:
            await fleet.add(name, name.partition("-")[0], "brest", n_start=5)
        await fleet.wait_until(lambda: fleet.not_live() == set(), 25)


async def test_leaving_by_itself_and_by_the_list(autojump_clock):
    async with start_fleet() as fleet:
        await fleet.hosts["entry-brest-0"].membership.close()
        await fleet.wait_until(lambda: fleet.views_of("entry-brest-0") == {LEAVING}, 1)
        fleet.hosts["agent-vannes-0"].presence.leave()
        await fleet.wait_until(lambda: fleet.views_of("agent-vannes-0") == {LEAVING}, 3)
        listed = fleet.listed["agent-rennes-0"]
        fleet.listed["agent-rennes-0"] = listed._replace(state="leaving")
        await fleet.wait_until(lambda: fleet.views_of("agent-rennes-0") == {LEAVING}, 2)
        # A restart of the process does not undo what the list says.
        fleet.hosts["agent-rennes-0"].scope.cancel()
        await trio.sleep(0.5)
        await fleet.add("agent-rennes-0", "agent", "rennes", n_start=7, listed=False)
        await trio.sleep(4)
        assert fleet.views_of("agent-rennes-0") == {LEAVING}


@pytest.mark.parametrize("name", ["entry-rennes-0", "agent-rennes-0"])
async def test_restarted_process_is_taken_back_once_it_is_listed_live(
    autojump_clock, name
):
    """The list says that the host is leaving for a while after its restart."""
    async with start_fleet() as fleet:
        listed = fleet.listed[name]
        fleet.listed[name] = listed._replace(state="leaving")
        await fleet.wait_until(lambda: fleet.views_of(name) == {LEAVING}, 2)
        fleet.hosts[name].scope.cancel()
        await trio.sleep(0.5)
        await fleet.add(name, listed.role, "rennes", n_start=7, listed=False)
        await trio.sleep(4)
        assert fleet.views_of(name) == {LEAVING}
        fleet.listed[name] = listed
        await fleet.wait_until(lambda: fleet.views_of(name) == {LIVE}, 3)
        await trio.sleep(4)
        assert fleet.views_of(name) == {LIVE}


async def test_process_that_stops_by_itself_is_not_taken_back(autojump_clock):
    async with start_fleet() as fleet:
        listed = fleet.listed["agent-rennes-0"]
        fleet.listed["agent-rennes-0"] = listed._replace(state="leaving")
        await fleet.wait_until(lambda: fleet.views_of(listed.name) == {LEAVING}, 2)
        fleet.hosts["agent-rennes-0"].presence.leave()
        fleet.listed["agent-rennes-0"] = listed
        await trio.sleep(6)
        assert fleet.views_of(listed.name) == {LEAVING}


async def test_new_process_is_known_before_the_list_has_it(autojump_clock):
    async with start_fleet() as fleet:
        await fleet.add("entry-brest-9", "entry", "brest", listed=False)
        await fleet.wait_until(lambda: fleet.views_of("entry-brest-9") == {LIVE}, 2)


async def test_heartbeats_carry_the_configuration(autojump_clock):
    async with start_fleet() as fleet:
        heard = []
        agent = fleet.hosts["agent-brest-0"]
        agent.presence.status = lambda: HeartbeatStatus(b"digest", 41)
        for host in fleet.entries("brest"):
            host.presence.on_status.append(
                lambda who, status: heard.append((who, status))
            )
        await trio.sleep(3)
        told = {status for who, status in heard if who.name == "agent-brest-0"}
        assert told == {HeartbeatStatus(b"digest", 41)}


async def test_one_entry_host_that_read_the_list_tells_all(autojump_clock):
    async with start_fleet() as fleet:
        reader = fleet.hosts["entry-rennes-1"]
        new = await fleet.add("agent-brest-9", "agent", "brest", listed=False)
        listed = ListedHost(new.name, "agent", "brest", "live", f"{new.ip}:9000")
        reader.membership._listed_hosts = lambda: [listed]
        await fleet.wait_until(lambda: fleet.views_of(new.name) == {LIVE}, 2)


async def test_process_gone_for_long_is_forgotten_everywhere(autojump_clock):
    async with start_fleet() as fleet:
        name = "agent-brest-0"
        fleet.hosts[name].scope.cancel()
        await fleet.wait_until(lambda: fleet.views_of(name) == {GONE}, 15)
        await trio.sleep(65)
        assert fleet.views_of(name) == {GONE}
        del fleet.listed[name]
        await fleet.wait_until(lambda: fleet.views_of(name) == {None}, 10)
        await trio.sleep(20)
        assert fleet.views_of(name) == {None}


async def test_delegates_probe_a_data_centre_that_answers_every_two_seconds(
    autojump_clock,
):
    async with start_fleet() as fleet:
        await trio.sleep(5)
        heard = Counter()

        def note_at(host, sender):
            if sender.role == "entry" and sender.data_centre != host.data_centre:
                heard[host.name, sender.data_centre] += 1

        for host in fleet.hosts.values():
            own = host.peers.identity
            if own.role == "entry":
                host.presence.on_status.append(
                    lambda sender, _, own=own: note_at(own, sender)
                )
        await trio.sleep(20)
        # Replies to its own probes, and the probes of the other's two delegates.
        assert heard
        assert all(15 <= n <= 25 for n in heard.values())


async def test_process_whose_connections_close_is_suspect_at_once(autojump_clock):
    async with start_fleet() as fleet:
        for name in ("agent-brest-0", "agent-vannes-1", "agent-rennes-0"):
            fleet.hosts[name].scope.cancel()
            waited_s = await fleet.wait_until(
                lambda name=name: fleet.views_of(name) == {SUSPECT}, 3
            )
            assert waited_s < 1.0

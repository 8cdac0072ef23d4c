"""What operators see of leases and of an object API that is away."""

from __future__ import annotations

import trio

from benchmarks.configuration_fleet import Fleet
from poplarward.coordination import HostEntry, HostList
from poplarward.coordination.hosts import is_leaving
from poplarward.operations import DeploymentStatus
from poplarward.state import DRAIN_KIND, ConfigurationView, Resource


async def test_status_tells_leases_and_an_absent_store(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        lease = {"holder": "entry-0", "fence": 41}
        await fleet.store.put("leases", "rebalancing", lease, 0)
        fleet.start_all(1, 0, ["rennes"])
        await fleet.wait_ready()
        entry = fleet.processes["entry-0"]
        hosts = HostList("http://127.0.0.1:9")
        status = DeploymentStatus(
            entry.peers, entry.sync, entry.view, hosts, fleet.store
        )
        seen = await status.status()
        assert seen.store_reachable
        leases = [(e.name, e.holder, e.fencing_number) for e in seen.leases]
        assert leases == [("rebalancing", "entry-0", 41)]
        fleet.store.set_down(True)
        assert not (await status.status()).store_reachable
        nursery.cancel_scope.cancel()


def test_host_is_leaving_by_the_platform_or_an_operator():
    view = ConfigurationView()
    view.apply(Resource(DRAIN_KIND, "entry-2", 3, {"drain": True}))
    hosts = [
        HostEntry(f"entry-{n}", "entry", "rennes", state, "10.0.0.1:9000")
        for n, state in ((1, "live"), (2, "live"), (3, "leaving"))
    ]
    assert [is_leaving(host, view) for host in hosts] == [False, True, True]
    view.apply(Resource(DRAIN_KIND, "entry-2", 5, None))
    assert not is_leaving(hosts[1], view)

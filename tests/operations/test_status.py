"""The status shows leases and an unavailable object API."""

from __future__ import annotations

import trio

from benchmarks.configuration_fleet import Fleet
from poplarward.operations import DeploymentStatus
from poplarward.state import DRAIN_KIND, ConfigurationView, Resource, drained_hosts


async def test_status_shows_leases_and_an_unavailable_store(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        lease = {"holder": "entry-0", "fence": 41}
        await fleet.store.put("leases", "rebalancing", lease, 0)
        fleet.start_all(1, 0, ["rennes"])
        await fleet.wait_ready()
        entry = fleet.processes["entry-0"]
        status = DeploymentStatus(
            entry.peers, entry.sync, entry.view, fleet, fleet.store
        )
        seen = await status.status()
        assert seen.store_reachable
        leases = [(e.name, e.holder, e.fencing_number) for e in seen.leases]
        assert leases == [("rebalancing", "entry-0", 41)]
        fleet.store.set_down(True)
        assert not (await status.status()).store_reachable
        nursery.cancel_scope.cancel()


def test_drained_hosts_follow_the_applied_configuration():
    view = ConfigurationView()
    view.apply(Resource(DRAIN_KIND, "entry-2", 3, {"drain": True}))
    assert drained_hosts(view) == {"entry-2"}
    view.apply(Resource(DRAIN_KIND, "entry-2", 5, None))
    assert not drained_hosts(view)

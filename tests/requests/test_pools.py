"""Model groups that serve one model form a pool and serve the same requests."""

from __future__ import annotations

import pytest
import trio

from poplarward.coordination.hosts import ListedHost
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.reports import AgentReport, UpstreamKind, UpstreamState
from poplarward.protocol.requests import PriorityClass
from poplarward.requests import AgentConnections, AgentTable, Router, UpstreamPools
from poplarward.requests.caller import CallerError, CallerRequest
from poplarward.requests.configuration_index import ConfigurationIndex
from poplarward.requests.routing.prefill_schedule import (
    PREFILL_WINDOW_MS,
    PrefillSchedule,
)
from poplarward.state import ConfigurationView, Resource
from poplarward.transport import Address, MemoryNetwork

N_GROUPS = 40
HOSTS_PER_GROUP = 32
N_ENTRIES = 60
DATA_CENTRES = ("rennes", "brest", "vannes")


class Configuration:
    """An applied configuration that changes."""

    def __init__(self, **model_of_group):
        self.view = ConfigurationView()
        self._revision = 0
        for name, model in model_of_group.items():
            self.put("modelgroups", name, {"model": model})

    def put(self, kind, name, spec):
        self._revision += 1
        self.view.apply(Resource(kind, name, self._revision, spec))


def test_groups_of_one_model_are_one_pool():
    configuration = Configuration(b="portrait", a="portrait", c="palette")
    pools = UpstreamPools(configuration.view)
    assert [pools.of_upstream(name) for name in "abcd"] == ["a", "a", "c", "d"]
    assert pools.of_model("portrait") == "a"
    assert pools.of_model("landscape") is None
    configuration.put("modelgroups", "a", None)
    assert pools.of_model("portrait") == pools.of_upstream("b") == "b"


def test_index_is_the_same_until_a_pool_changes():
    configuration = Configuration(a="portrait", b="palette")
    pools = UpstreamPools(configuration.view)
    before = pools.by_group()
    configuration.put("workspaces", "ateliers", {"token_sha256": []})
    assert pools.by_group() is before
    configuration.put("modelgroups", "b", {"model": "portrait"})
    assert pools.by_group() == {"a": "a", "b": "a"}


@pytest.mark.parametrize("called", ["a", "b"])
def test_service_of_one_group_may_call_its_whole_pool(called):
    configuration = Configuration(a="portrait", b="portrait", c="palette")
    workspace = {"token_sha256": [], "services": []}
    configuration.put("workspaces", "ateliers", workspace)
    configuration.put("services", "notes", {"upstream": called})
    directory = ConfigurationIndex(configuration.view)
    pool = directory.model_pool("portrait")
    assert directory.service("ateliers", "notes", pool)["upstream"] == called
    with pytest.raises(CallerError):
        directory.service("ateliers", "notes", directory.model_pool("palette"))


async def test_requests_for_a_model_go_to_all_of_its_groups(nursery, autojump_clock):
    configuration = Configuration(a="portrait", b="portrait", c="palette")
    network = MemoryNetwork()
    peers = await _start_peers(network, nursery, "entry", "entry-1", "10.0.0.1")
    pools = UpstreamPools(configuration.view)
    turns = PrefillSchedule(trio.current_time)
    router = Router(AgentTable(peers), pools=pools, turns=turns)
    for number, group in enumerate("aabbcd"):
        host = f"10.1.0.{number}"
        agent = await _start_peers(network, nursery, "agent", f"{group}-{number}", host)
        connection = await agent.connection(peers.identity.address)
        await connection.notify(_report(group))
    await trio.sleep(1)
    pool = ConfigurationIndex(configuration.view).model_pool("portrait")
    request = CallerRequest(
        "w", pool, PriorityClass.DRAFTING, 1000, True, "POST", "/", [], b"", ""
    )
    chosen = []
    for _ in range(2):
        chosen.append({router.choose(request).identity.name for _ in range(50)})
        await trio.sleep(PREFILL_WINDOW_MS / 1000)
    assert sorted(map(sorted, chosen)) == [["a-0", "a-1"], ["b-2", "b-3"]]
    assert pools.groups(pool) == ["a", "b"]
    nursery.cancel_scope.cancel()


async def test_connections_do_not_grow_with_the_groups(nursery, autojump_clock):
    """An entry host connects to only a part of a model's pool, not of a group."""
    model_of_group = {f"group-{i}": "portrait" for i in range(N_GROUPS)}
    configuration = Configuration(**model_of_group)
    network = MemoryNetwork()
    peers = await _start_peers(network, nursery, "entry", "entry-0", "10.0.0.1")
    listed = [
        ListedHost(
            f"entry-{i}", "entry", DATA_CENTRES[i % 3], "live", f"10.0.0.{i + 1}:9000"
        )
        for i in range(N_ENTRIES)
    ]
    for group in range(N_GROUPS):
        for i in range(HOSTS_PER_GROUP):
            address = f"10.{group + 1}.0.{i}:9000"
            name = f"agent-{group}-{i}"
            data_centre = DATA_CENTRES[group % 3]
            listed.append(
                ListedHost(
                    name, "agent", data_centre, "live", address, "", f"group-{group}"
                )
            )
    pools = UpstreamPools(configuration.view)
    connections = AgentConnections(peers, AgentTable(peers), lambda: listed, pools)
    nursery.start_soon(connections.run)
    await trio.sleep(5)
    assert 24 <= len(connections._wanted) <= 128
    groups = {host.upstream for host in connections._wanted}
    assert len(groups) > N_GROUPS / 3
    nursery.cancel_scope.cancel()


async def _start_peers(network, nursery, role, name, host):
    identity = ProcessIdentity(role, name, 1, Address(host, 9000), "rennes")
    peers = Peers(network.host(host), identity, "s")
    await peers.start(nursery)
    return peers


def _report(group):
    return AgentReport(
        UpstreamKind.ENGINE, group, UpstreamState.LIVE, 0, 0, 0, 32, 0, 0, 1
    )

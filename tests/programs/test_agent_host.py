"""Agent processes act on drains and learn fences without an entry host's help."""

from __future__ import annotations

import json

import pytest
import trio

from benchmarks.deployment import PEER_SECRET, Deployment, model_group, workspace
from benchmarks.relay import wait_until_served
from poplarward.errors import CallRefused
from poplarward.protocol import Peers, ProcessIdentity, RequestId
from poplarward.protocol.configuration import ConfigurationPull
from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb
from poplarward.protocol.reports import AgentReport
from poplarward.protocol.requests import (
    End,
    Head,
    Outcome,
    Pieces,
    PriorityClass,
    Submit,
)
from poplarward.transport import Address, HttpClient, WebSocketNetwork

N_RANKS = 2


class UninformedEntry:
    """An entry host that has received no drain and sends to one agent."""

    def __init__(self, deployment, agent):
        self.agent = Address.parse(deployment.settings[agent]["peers_listen"])
        address = Address(deployment.new_host(), 9000)
        identity = ProcessIdentity("entry", "uninformed", 1, address, "rennes")
        self.peers = Peers(WebSocketNetwork(), identity, PEER_SECRET)
        self.n_sent = 0
        self.ended = trio.Event()
        for kind in (AgentReport, Head, Pieces):
            self.peers.register(kind, self._ignore)
        self.peers.register(End, self._on_end)
        self.peers.register(ConfigurationPull, self._refuse)

    async def send(self):
        """Send a draft and return how it ended."""
        self.n_sent += 1
        document = {"model": "portrait", "prompt": "A goat.", "max_tokens": 2}
        self.ended = trio.Event()
        submit = Submit(
            RequestId("uninformed", 1, self.n_sent),
            workspace="ateliers",
            priority_class=PriorityClass.DRAFTING,
            method="POST",
            path="/v1/completions",
            headers=[],
            body=json.dumps(document).encode(),
            deadline_ms=5000,
            repeatable=True,
        )
        await self.peers.notify(self.agent, submit)
        with trio.fail_after(10):
            await self.ended.wait()
        return self.end

    async def _on_end(self, connection, end):
        self.end = end
        self.ended.set()

    async def _ignore(self, connection, message):
        pass

    async def _refuse(self, connection, message):
        raise CallRefused("no configuration here")


async def get(url):
    client = HttpClient(url)
    path = "/load" if url.endswith(":7000") else "/readyz"
    document = json.loads((await client.call("GET", path)).body)
    await client.close()
    return document


async def wait_until_missing(deployment, agent, missing):
    """Wait until an agent reports these unmet conditions."""
    url = "http://" + deployment.settings[agent]["metrics_listen"]
    with trio.fail_after(30):
        while (await get(url))["missing"] != missing:
            await trio.sleep(0.05)


async def check_metrics(deployment, agent):
    """Check that the metrics count the requests run, and that no work is taken."""
    client = HttpClient("http://" + deployment.settings[agent]["metrics_listen"])
    text = (await client.call("GET", "/metrics")).body.decode()
    await client.close()
    labels = 'priority_class="drafting",workspace="ateliers"'
    assert "poplarward_agent_takes_work 0.0" in text
    assert "poplarward_agent_slots 32.0" in text
    assert f"poplarward_agent_queue_wait_seconds_count{{{labels}}}" in text
    assert f"poplarward_agent_step_seconds_count{{{labels}}}" in text


@pytest.mark.parametrize("drained_by", ["operator", "host list"])
async def test_agent_refuses_work_by_itself_while_its_host_drains(drained_by):
    async with Deployment() as deployment, trio.open_nursery() as nursery:
        engine = await deployment.start_standin("engine", "engine", [])
        engine_url = f"http://{engine.host}:7000"
        await deployment.start_agent(
            "agent-1", "rennes", "engine", "drafts", engine_url
        )
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("drafts", "portrait"))
        entry_url = "http://" + deployment.settings["entry-1"]["callers_listen"]
        await wait_until_served(entry_url)
        sender = UninformedEntry(deployment, "agent-1")
        await sender.peers.start(nursery)
        assert (await sender.send()).outcome is Outcome.RAN
        if drained_by == "operator":
            drain = pb.DrainHostRequest(host="agent-1", drain=True)
            await deployment.operate(
                "entry-1", "DrainHost", drain, pb.DrainHostResponse
            )
        else:
            await deployment.list_host("agent-1", "leaving")
        await wait_until_missing(deployment, "agent-1", ["the agent is leaving"])
        await check_metrics(deployment, "agent-1")
        n_requests = (await get(engine_url))["n_requests"]
        # The drain stays known while the store is unavailable, also after a restart.
        await deployment.set_store_faults(is_down=True)
        assert (await sender.send()).outcome is Outcome.NOT_RUN
        assert await deployment.processes["agent-1"].stop() == 0
        await deployment.restart("agent-1")
        await wait_until_missing(deployment, "agent-1", ["the agent is leaving"])
        assert (await sender.send()).outcome is Outcome.NOT_RUN
        assert (await get(engine_url))["n_requests"] == n_requests
        nursery.cancel_scope.cancel()


async def test_restarted_agent_learns_the_fence_from_its_peers_without_the_store():
    async with Deployment() as deployment:
        ranks = await deployment.start_standin("ranks", "ranks", ["--hosts", "2"])
        for i in range(N_RANKS):
            url = f"http://{ranks.host}:{7000 + i}"
            await deployment.start_agent(
                f"agent-{i}", "rennes", "engine", "palettes", url, ranks=[i]
            )
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("palettes", "palette", N_RANKS))
        for i in range(N_RANKS):
            agent = deployment.processes[f"agent-{i}"]
            await deployment.wait_for_event(agent, "fence.learnt")
        await deployment.set_store_faults(is_down=True)
        assert await deployment.processes["agent-0"].stop() == 0
        restarted = await deployment.restart("agent-0")
        await deployment.wait_for_event(restarted, "fence.learnt", n_times=2)

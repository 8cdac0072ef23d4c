"""A change of the expert map by separate processes, one of which is killed."""

from __future__ import annotations

import json
import signal

import trio

from benchmarks.deployment import Deployment, model_group
from poplarward.transport import HttpClient

N_HOSTS = 2
TIMEOUT_S = 20


async def start_group(deployment):
    """Start a rank group with its agents and two entry hosts; returns its client."""
    options = ["--hosts", str(N_HOSTS), "--step-ms", "200"]
    ranks = await deployment.start_standin("ranks", "ranks", options)
    for index in range(N_HOSTS):
        url = f"http://{ranks.host}:{7000 + index}"
        await deployment.start_agent(
            f"agent-{index}", "rennes", "engine", "drafts", url, ranks=[index]
        )
    for name in ("entry-1", "entry-2"):
        await deployment.start_entry(name, "rennes")
    await deployment.apply("entry-1", model_group("drafts", "portrait", N_HOSTS))
    return HttpClient(f"http://{ranks.host}:7000")


async def read_record(client):
    return json.loads((await client.call("GET", "/record")).body)


async def wait_for_record(client, is_wanted):
    with trio.fail_after(TIMEOUT_S):
        while not is_wanted(record := await read_record(client)):
            await trio.sleep(0.01)
    return record


async def slow_down_last_host(deployment):
    """Delay the last host's vote, so that the leader can be killed before it."""
    host = deployment.processes["ranks"].host
    client = HttpClient(f"http://{host}:{7000 + N_HOSTS - 1}")
    await client.call("PUT", "/faults", body=json.dumps({"order_ms": 200}).encode())
    await client.close()


def leader_of(deployment):
    """Return the entry host that holds the group's lease."""
    (name,) = [
        name
        for name in ("entry-1", "entry-2")
        if "event=lease.acquired" in deployment.processes[name].log.read_text()
    ]
    return name


async def test_entry_host_killed_while_ranks_are_held():
    async with Deployment() as deployment:
        client = await start_group(deployment)
        await slow_down_last_host(deployment)
        await wait_for_record(client, lambda record: any(record["holds"]))
        leader = leader_of(deployment)
        deployment.processes[leader].signal(signal.SIGKILL)
        await deployment.processes[leader].wait()
        log = deployment.processes[leader].log.read_text()
        assert "event=map.settled" not in log
        # The hosts resolve the attempt among themselves before the lease expires.
        resolved = await wait_for_record(
            client, lambda record: not any(record["holds"])
        )
        later = resolved["n_steps"] + 10
        record = await wait_for_record(client, lambda r: r["n_steps"] >= later)
        assert record["mixed_steps"] == []
        assert len({tuple(map_id) for map_id in record["active"]}) == 1
        await client.close()

"""A planned stop of an entry host and an agent, with requests in progress."""

from __future__ import annotations

import json
import signal

import trio

from benchmarks.deployment import Deployment, model_group, workspace
from benchmarks.relay import wait_until_served
from poplarward.standins.engine import completion_words
from poplarward.transport import HttpClient

HEADERS = [("authorization", "Bearer caller"), ("content-type", "application/json")]
N_TOKENS = 600


async def stream_whole(url: str, first_piece: trio.Event) -> None:
    document = {"model": "portrait", "prompt": "A goat.", "max_tokens": N_TOKENS}
    client = HttpClient(url)
    body = b""
    async with client.stream(
        "POST", "/v1/completions", HEADERS, json.dumps(document).encode(), 30_000
    ) as response:
        async for chunk in response.chunks():
            body += chunk
            first_piece.set()
    await client.close()
    events = [json.loads(e[6:]) for e in body.decode().split("\n\n") if "{" in e]
    words = [event["choices"][0]["text"] for event in events]
    assert words == completion_words("A goat.", N_TOKENS)


async def test_stop_of_entry_host_and_agent_cuts_no_stream():
    async with Deployment() as deployment:
        engine = await deployment.start_standin("engine", "engine", [])
        url = f"http://{engine.host}:7000"
        await deployment.start_agent("agent-1", "rennes", "engine", "drafts", url)
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("drafts", "portrait"))
        entry_url = "http://" + deployment.settings["entry-1"]["callers_listen"]
        await wait_until_served(entry_url)
        entry = deployment.processes["entry-1"]
        agent = deployment.processes["agent-1"]
        async with trio.open_nursery() as nursery:
            first_piece = trio.Event()
            nursery.start_soon(stream_whole, entry_url, first_piece)
            await first_piece.wait()
            agent.signal(signal.SIGTERM)
            entry.signal(signal.SIGTERM)
            await deployment.wait_for_event(entry, "stop.requested")
            entry.signal(signal.SIGTERM)
            await deployment.wait_for_event(entry, "stop.would_cut")
            assert "n_requests=1 " in entry.log.read_text()
        assert await agent.wait() == 0
        assert await entry.wait() == 0


async def load_of(engine):
    client = HttpClient(f"http://{engine.host}:7000")
    load = json.loads((await client.call("GET", "/load")).body)
    await client.close()
    return load


async def test_stream_longer_than_the_drain_timeout_resumes_at_another_agent():
    async with Deployment() as deployment:
        engines = []
        for i in range(2):
            engine = await deployment.start_standin(f"engine-{i}", "engine", [])
            engines.append(engine)
            url = f"http://{engine.host}:7000"
            await deployment.start_agent(
                f"agent-{i}", "rennes", "engine", "drafts", url, stop_wait_ms=100
            )
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("drafts", "portrait"))
        entry_url = "http://" + deployment.settings["entry-1"]["callers_listen"]
        await wait_until_served(entry_url)
        async with trio.open_nursery() as nursery:
            first_piece = trio.Event()
            nursery.start_soon(stream_whole, entry_url, first_piece)
            await first_piece.wait()
            loads = [await load_of(engine) for engine in engines]
            busy = [load["n_running"] for load in loads].index(1)
            assert await deployment.processes[f"agent-{busy}"].stop() == 0
            n_before = loads[1 - busy]["n_requests"]
            with trio.fail_after(10):
                while (await load_of(engines[1 - busy]))["n_requests"] == n_before:
                    await trio.sleep(0.02)
            assert (await load_of(engines[busy]))["n_running"] == 0

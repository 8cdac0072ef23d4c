"""A request that kills the engines' processes, sent at several entry hosts."""

from __future__ import annotations

import json

import trio

from benchmarks.deployment import Deployment, model_group, workspace
from poplarward.standins.engine import completion_words
from poplarward.transport import HttpClient

HEADERS = [("authorization", "Bearer caller"), ("content-type", "application/json")]
MARKER = "melt the glaze"
N_ENGINES = 4
N_OTHERS = 8
N_TOKENS = 100


def body_of(prompt: str) -> bytes:
    document = {"model": "portrait", "prompt": prompt, "max_tokens": N_TOKENS}
    return json.dumps(document).encode()


async def start(deployment: Deployment) -> list[HttpClient]:
    options = ["--step-ms", "20", "--crash-marker", MARKER]
    for number in range(N_ENGINES):
        engine = await deployment.start_standin(f"engine-{number}", "engine", options)
        url = f"http://{engine.host}:7000"
        name = f"agent-{number}"
        await deployment.start_agent(name, "rennes", "engine", "drafts", url)
    clients = []
    for number in range(2):
        name = f"entry-{number}"
        await deployment.start_entry(name, "rennes")
        address = deployment.settings[name]["callers_listen"]
        clients.append(HttpClient(f"http://{address}"))
    for resource in (
        workspace("ateliers", "caller"),
        model_group("drafts", "portrait"),
    ):
        await deployment.apply("entry-0", resource)
    for client in clients:
        assert (await send(client, "A first dog.")).status == 200
    return clients


async def send(client: HttpClient, prompt: str):
    """Send a prompt, and retry while it is refused because no upstream is available."""
    while True:
        response = await client.call(
            "POST", "/v1/completions", HEADERS, body_of(prompt), timeout_ms=60_000
        )
        if response.status not in (401, 404, 503):
            return response
        await trio.sleep(0.1)


def words_of(body: bytes) -> list[str]:
    events = [e for e in body.decode().split("\n\n") if e.startswith("data: {")]
    return [json.loads(event[6:])["choices"][0]["text"] for event in events]


async def test_engines_killed_by_a_request():
    async with Deployment() as deployment:
        with trio.fail_after(120):
            clients = await start(deployment)
            whole = []

            async def send_other(number: int) -> None:
                prompt = f"A quiet dog ({number})."
                response = await send(clients[number % 2], prompt)
                whole.append(
                    words_of(response.body) == completion_words(prompt, N_TOKENS)
                )

            async with trio.open_nursery() as callers:
                for number in range(N_OTHERS):
                    callers.start_soon(send_other, number)
                response = await send(clients[0], f"A grey cat, {MARKER}.")
                assert response.status == 422
            assert whole == [True] * N_OTHERS
            for client in clients:
                response = await send(client, f"A grey cat, {MARKER}.")
                assert response.status == 422
                assert int(dict(response.headers)["retry-after"]) > 0
            engines = [deployment.processes[f"engine-{n}"] for n in range(N_ENGINES)]
            lost = [engine for engine in engines if engine.popen.poll() is not None]
            assert len(lost) == 2
            for client in clients:
                await client.close()

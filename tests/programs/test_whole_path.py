"""One request of each kind, from a caller to an upstream and back."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import trio

from benchmarks.deployment import (
    Deployment,
    ledger_service,
    model_group,
    workspace,
)
from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb
from poplarward.standins.engine import completion_words
from poplarward.transport import HttpClient

ROOT = Path(__file__).parents[2]
HEADERS = [("authorization", "Bearer caller"), ("content-type", "application/json")]


async def start_small(deployment: Deployment) -> str:
    engine = await deployment.start_standin("engine", "engine", ["--step-ms", "1"])
    ledger = await deployment.start_standin("ledger", "ledger", [])
    await deployment.start_agent(
        "agent-engine", "rennes", "engine", "drafts", f"http://{engine.host}:7000"
    )
    await deployment.start_agent(
        "agent-ledger", "rennes", "plain", "ledger", f"http://{ledger.host}:7000"
    )
    await deployment.start_entry("entry-1", "rennes")
    await deployment.start_entry("entry-2", "brest")
    for resource in (
        workspace("ateliers", "caller"),
        model_group("drafts", "portrait"),
        ledger_service("ledger"),
    ):
        await deployment.apply("entry-1", resource)
    return f"http://{ledger.host}:7000"


async def call_until_served(client, method, path, headers, body=b""):
    """Repeat a call that was refused as not run, as a caller would."""
    with trio.fail_after(20):
        while True:
            response = await client.call(method, path, headers, body)
            outcome = dict(response.headers).get("poplarward-outcome")
            if response.status < 400 or outcome != "not-run":
                return response
            await trio.sleep(0.1)


async def check_documented_client(deployment: Deployment) -> None:
    """Run the client that the page for callers shows."""
    page = (ROOT / "docs" / "callers.md").read_text(encoding="utf-8")
    source = page.partition("```python\n")[2].partition("```")[0]
    names: dict[str, Any] = {}
    exec(compile(source, "docs/callers.md", "exec"), names)
    address = deployment.settings["entry-1"]["callers_listen"]
    client = names["Client"]([address], "caller")
    path = "/v1/services/ledger/bookings/b-1"
    body = await trio.to_thread.run_sync(client.send, "GET", path)
    assert json.loads(body)["reference"] == "b-1"


async def test_whole_path():
    async with Deployment() as deployment:
        ledger_url = await start_small(deployment)
        first = HttpClient("http://" + deployment.settings["entry-1"]["callers_listen"])
        listed_addresses = json.loads((await first.call("GET", "/v1/addresses")).body)
        assert listed_addresses["keep_ms"] > 0
        second = HttpClient("http://" + listed_addresses["addresses"][-1])
        body = json.dumps(
            {"model": "portrait", "prompt": "A grey cat.", "max_tokens": 20}
        ).encode()
        response = await call_until_served(
            second, "POST", "/v1/completions", HEADERS, body
        )
        events = [
            json.loads(line[6:])
            for line in response.body.decode().split("\n\n")
            if line.startswith("data: {")
        ]
        words = [event["choices"][0]["text"] for event in events]
        assert words == completion_words("A grey cat.", 20)
        deposit = json.dumps({"reference": "b-1", "cents": 4000}).encode()
        paid = await call_until_served(
            second,
            "POST",
            "/v1/services/ledger/deposits",
            [*HEADERS, ("idempotency-key", "k-1")],
            deposit,
        )
        assert paid.status == 201
        booking = await call_until_served(
            first, "GET", "/v1/services/ledger/bookings/b-1", HEADERS
        )
        assert json.loads(booking.body) == {"reference": "b-1", "n": 1}
        ledger = HttpClient(ledger_url)
        assert len(json.loads((await ledger.call("GET", "/postings")).body)) == 1
        listed = await deployment.operate(
            "entry-2", "List", pb.ListRequest(), pb.ListResponse
        )
        assert {r.name for r in listed.resources} == {"ateliers", "drafts", "ledger"}
        await check_documented_client(deployment)
        refused = await first.call("GET", "/v1/services/ledger/bookings/b-1")
        assert refused.status == 401
        for client in (first, second, ledger):
            await client.close()
        assert await deployment.processes["entry-1"].stop() == 0
        assert await deployment.processes["agent-engine"].stop() == 0

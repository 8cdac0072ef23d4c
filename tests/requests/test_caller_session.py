"""A caller's whole session at an entry host, compared with a golden file."""

from __future__ import annotations

import hashlib
import json
import os
import re
from pathlib import Path

import trio

from benchmarks.memory_path import MemoryPath, MemoryUpstream, RecordingResponder
from poplarward.requests import Admission, ConfigurationIndex, Gateway
from poplarward.requests.payments import IdempotencyGuard
from poplarward.standins.engine import EngineStandin, EngineTiming
from poplarward.standins.ledger import LedgerStandin
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import ConfigurationView, Resource
from poplarward.transport import Address, HttpRequest

GOLDEN = Path(__file__).parent / "golden" / "caller_session.txt"
TOKEN = {"authorization": "Bearer caller", "content-type": "application/json"}


def make_view() -> ConfigurationView:
    """Return a configuration of one workspace, one group and one plain service."""
    digest = hashlib.sha256(b"caller").hexdigest()
    group = {"model": "portrait", "n_ranks": 4, "n_experts": 8, "n_layers": 1}
    calls = [
        {"method": "GET", "path_prefix": "/bookings", "repeatable": True},
        {"method": "POST", "path_prefix": "/payments", "repeatable": False},
    ]
    workspace = {
        "share": 1.0,
        "requests_per_s": 1000.0,
        "tokens_per_s": 1e6,
        "services": [],
        "token_sha256": [digest],
    }
    specs = [
        ("workspaces", "ateliers", workspace),
        ("modelgroups", "drafts", {**group, "expert_bytes": 1, "checks_orders": True}),
        ("plainservices", "ledger", {"calls": calls, "checks_orders": False}),
    ]
    view = ConfigurationView()
    for version, (kind, name, spec) in enumerate(specs, start=1):
        view.apply(Resource(kind, name, version, spec))
    return view


class Session:
    """Sends requests to a gateway and records the requests and responses."""

    def __init__(self, gateway):
        self.lines: list[str] = []
        self._gateway = gateway

    def note(self, text):
        self.lines.append(f"# {text}\n")

    async def call(self, method, path, body=None, headers=TOKEN, **more):
        content = b"" if body is None else json.dumps(body).encode()
        headers = {**headers, **{k.replace("_", "-"): v for k, v in more.items()}}
        left = [{"type": "http.request", "body": content}]

        async def receive():
            if left:
                return left.pop()
            await trio.sleep_forever()

        caller = RecordingResponder()
        self.lines.append(f"> {method} {path}")
        self.lines += [f"> {name}: {headers[name]}" for name in sorted(headers)]
        self.lines += [f"> {content.decode()}"] if content else []
        request = HttpRequest(method, path, path, "10.9.0.1", {}, headers, receive)
        await self._gateway.handle(request, caller)
        self.lines.append(f"< {caller.status}")
        names = sorted(caller.headers)
        self.lines += [f"< {name}: {caller.headers[name]}" for name in names]
        body_lines = caller.body.decode().split("\n")
        self.lines += [f"< {line}" for line in body_lines if line] + [""]


async def start_path(nursery):
    path = MemoryPath(nursery)
    clients = []
    for number in (1, 2):
        engine = EngineStandin(EngineTiming(50.0, 8))
        nursery.start_soon(engine.run)
        client = MemoryUpstream(nursery, engine.handle)
        name, host = f"agent-{number}", f"10.2.0.{number}"
        await path.start_agent(name, host, "engine", "drafts", client)
        clients.append(client)
    ledger = MemoryUpstream(nursery, LedgerStandin(500.0).handle)
    store = MemoryObjectStore()
    await path.start_agent(
        "agent-3",
        "10.2.0.3",
        "plain",
        "ledger",
        ledger,
        payments=lambda identity: IdempotencyGuard(store, identity, "ledger"),
    )
    return path, clients, ledger, store


async def test_caller_session(nursery, autojump_clock):
    path, engines, ledger, store = await start_path(nursery)
    entry = await path.start_entry()
    addresses = [Address("10.1.0.1", 8000)]
    gateway = Gateway(
        ConfigurationIndex(make_view()),
        Admission(),
        entry,
        lambda caller_host: list(map(str, addresses)),
    )
    session = Session(gateway)
    draft = {"model": "portrait", "prompt": "A grey cat.", "max_tokens": 3}
    pay = {"reference": "b-1", "cents": 4000}
    session.note("Which address to use")
    await session.call("GET", "/v1/addresses")
    session.note("A draft, whole")
    await session.call("POST", "/v1/completions", draft)
    session.note("A draft whose engine dies on the way; the other one resumes it")
    async with trio.open_nursery() as calls:
        calls.start_soon(session.call, "POST", "/v1/completions", draft)
        await trio.sleep(0.12)
        for name, client in zip(("agent-1", "agent-2"), engines, strict=True):
            if path.agents[name].n_attempts:
                client.crash()
    session.note("A lookup")
    await session.call("GET", "/v1/services/ledger/bookings/b-1")
    session.note("A payment")
    paying = "/v1/services/ledger/payments"
    await session.call("POST", paying, pay, idempotency_key="k-1")
    session.note("The same payment again, and another with its key")
    await session.call("POST", paying, pay, idempotency_key="k-1")
    await session.call("POST", paying, {**pay, "cents": 1}, idempotency_key="k-1")
    session.note("The platform's store is away: a caller's own key, an issued key")
    store.set_down(True)
    await session.call("POST", paying, pay, idempotency_key="k-4")
    await session.call("POST", "/v1/keys", {"service": "ledger"})
    issued = json.loads(session.lines[-2][2:])["idempotency_key"]
    await session.call("POST", paying, pay, idempotency_key=issued)
    store.set_down(False)
    await trio.sleep(2)
    session.note("No credential")
    await session.call("GET", "/v1/services/ledger/bookings/b-1", headers={})
    session.note("A payment while the ledger crashes")
    async with trio.open_nursery() as calls:
        calls.start_soon(
            lambda: session.call("POST", paying, pay, idempotency_key="k-2")
        )
        await trio.sleep(0.1)
        ledger.crash()
    session.note("A payment that can not reach the ledger")
    await session.call("POST", paying, pay, idempotency_key="k-3")
    text = re.sub(r"issued:3:\d+:1", "issued:3:TIME:1", "\n".join(session.lines))
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN.write_text(text, encoding="utf-8")
    assert text == GOLDEN.read_text(encoding="utf-8")
    nursery.cancel_scope.cancel()

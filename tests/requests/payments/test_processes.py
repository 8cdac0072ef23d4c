"""Payments while the owner of their key is killed or stopped, with real processes."""

from __future__ import annotations

import json
import signal

import trio

from benchmarks.deployment import Deployment, ledger_service, workspace
from poplarward.protocol import ProcessIdentity
from poplarward.requests.payments import rank_owners
from poplarward.transport import Address, HttpClient

AGENTS = ("agent-1", "agent-2")
HEADERS = [("authorization", "Bearer caller"), ("content-type", "application/json")]
PATH = "/v1/services/ledger/payments"
MAX_WAIT_S = 40


class Payers:
    """Callers at two entry hosts, and a client for the ledger's postings."""

    def __init__(self, deployment, ledger):
        addresses = [
            deployment.settings[name]["callers_listen"]
            for name in ("entry-1", "entry-2")
        ]
        self.clients = [HttpClient(f"http://{address}") for address in addresses]
        self.ledger = HttpClient(f"http://{ledger.host}:7000")

    async def pay(self, key, entry, responses=None):
        body = json.dumps({"reference": key, "cents": 4000}).encode()
        headers = [*HEADERS, ("idempotency-key", key)]
        response = await self.clients[entry].call("POST", PATH, headers, body, 20_000)
        outcome = dict(response.headers)["poplarward-outcome"]
        if responses is not None:
            responses.append((response.status, outcome))
        return response.status, outcome

    async def n_postings(self, key):
        response = await self.ledger.call("GET", "/postings")
        return sum(p["reference"] == key for p in json.loads(response.body))

    async def wait_posted(self, key):
        while not await self.n_postings(key):
            await trio.sleep(0.01)

    async def pay_until(self, key, entry, accepted):
        """Retry until the outcome is accepted and the status is not 503."""
        while True:
            response = await self.pay(key, entry)
            if response[1] in accepted and response[0] != 503:
                return response
            await trio.sleep(0.1)

    async def close(self):
        for client in (*self.clients, self.ledger):
            await client.close()


async def start(deployment):
    ledger = await deployment.start_standin("ledger", "ledger", ["--work-ms", "1000"])
    for name in AGENTS:
        url = f"http://{ledger.host}:7000"
        await deployment.start_agent(name, "rennes", "plain", "ledger", url)
    for name in ("entry-1", "entry-2"):
        await deployment.start_entry(name, "rennes")
    for resource in (workspace("ateliers", "caller"), ledger_service("ledger")):
        await deployment.apply("entry-1", resource)
    payers = Payers(deployment, ledger)
    async with trio.open_nursery() as calls:
        for entry in (0, 1):
            calls.start_soon(payers.pay_until, f"warm-{entry}", entry, ("ran",))
    return payers


def owner_of(key):
    address = Address("127.0.0.1", 1)
    agents = [ProcessIdentity("agent", name, 1, address, "") for name in AGENTS]
    return rank_owners("ledger", "ateliers", key, agents)[0]


async def test_owners_killed_and_stopped():
    """Both checks share a deployment, since starting it takes longer than either."""
    async with Deployment() as deployment:
        with trio.fail_after(MAX_WAIT_S):
            payers = await start(deployment)
            await check_killed_owner(deployment, payers, "k-1")
            await check_stopped_owner(deployment, payers, "k-2")
            await payers.close()


async def check_killed_owner(deployment, payers, key):
    responses = []
    owner = deployment.processes[owner_of(key)]
    async with trio.open_nursery() as calls:
        calls.start_soon(payers.pay, key, 0, responses)
        await payers.wait_posted(key)
        owner.signal(signal.SIGKILL)
        await owner.wait()
    assert [outcome for _, outcome in responses] == ["unknown"]
    again = await payers.pay_until(key, 1, ("ran", "unknown"))
    assert again == (409, "unknown")
    await deployment.restart(owner.name)
    again = await payers.pay_until(key, 0, ("ran", "unknown"))
    assert again == (409, "unknown")
    assert await payers.n_postings(key) == 1


async def check_stopped_owner(deployment, payers, key):
    """The owner is resumed after another agent has responded for its key."""
    responses = []
    owner = deployment.processes[owner_of(key)]
    async with trio.open_nursery() as calls:
        calls.start_soon(payers.pay, key, 0, responses)
        await payers.wait_posted(key)
        owner.signal(signal.SIGSTOP)
        _, outcome = await payers.pay_until(key, 1, ("ran", "unknown"))
        assert outcome == "unknown"
    assert [outcome for _, outcome in responses] == ["unknown"]
    owner.signal(signal.SIGCONT)
    while (await payers.pay(key, 1))[0] != 201:
        await trio.sleep(0.1)
    assert await payers.n_postings(key) == 1

"""Entry hosts and agents over an in-memory network, for runs in virtual time.

Used by tests and benchmarks of process and link failures.
"""

from __future__ import annotations

import json
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
import trio.testing

from poplarward.errors import UpstreamUnreachable
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.reports import UpstreamKind
from poplarward.protocol.requests import PriorityClass
from poplarward.requests import (
    AgentTable,
    AttemptLoop,
    Executor,
    Relay,
    Router,
    UpstreamSettings,
)
from poplarward.requests.caller import CallerRequest
from poplarward.transport import (
    Address,
    HttpRequest,
    LinkFaults,
    MemoryNetwork,
    Responder,
)

__all__ = [
    "MemoryPath",
    "MemoryUpstream",
    "RecordingResponder",
    "draft",
    "payment",
    "run_in_virtual_time",
]


def run_in_virtual_time(seed: int, function: Any, *args: Any) -> Any:
    """Run a function in virtual time; the seed fixes the order of tasks."""
    scheduling = trio._core._run
    scheduling._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduling._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        return trio.run(function, *args, clock=clock)
    finally:
        scheduling._ALLOW_DETERMINISTIC_SCHEDULING = False


class MemoryUpstream:
    """Client that calls a stand-in's handler directly, and can crash.

    `crash` aborts the requests in flight.
    """

    def __init__(self, nursery, handler):
        self.is_up = True
        self.bodies = []
        self._nursery = nursery
        self._handler = handler
        self._open = {}

    def crash(self) -> None:
        """Abort the requests in flight and refuse new calls."""
        self.is_up = False
        for send in self._open:
            send.send_nowait(None)

    async def close(self) -> None:
        """Refuse new calls."""
        self.is_up = False

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        headers: Any = None,
        body: bytes = b"",
        timeout_ms: float = 5000,
    ) -> AsyncIterator[Any]:
        """Open a response; raises `UpstreamUnreachable`."""
        await trio.lowlevel.checkpoint()
        if not self.is_up:
            raise UpstreamUnreachable("refused", sent=False)
        self.bodies.append(body)
        send, receive = trio.open_memory_channel(math.inf)
        disconnected = trio.Event()
        self._open[send] = True
        self._nursery.start_soon(self._serve, method, path, body, send, disconnected)
        try:
            yield await _MemoryResponse.begin(receive)
        finally:
            disconnected.set()
            del self._open[send]

    async def _serve(self, method, path, body, send, disconnected):
        events = [{"type": "http.request", "body": body}]

        async def receive():
            if events:
                return events.pop()
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def send_event(event):
            if self.is_up:
                send.send_nowait(event)

        request = HttpRequest(method, path, path, "10.9.0.1", {}, {}, receive)
        await self._handler(request, Responder(send_event))


class _MemoryResponse:
    def __init__(self, start, receive):
        self.status = start["status"]
        self.headers = [(n.decode(), v.decode()) for n, v in start["headers"]]
        self._receive = receive

    @classmethod
    async def begin(cls, receive):
        return cls(await cls._next(receive), receive)

    @staticmethod
    async def _next(receive):
        event = await receive.receive()
        if event is None:
            raise UpstreamUnreachable("crashed", sent=True)
        return event

    async def chunks(self):
        while True:
            event = await self._next(self._receive)
            if event.get("body"):
                yield event["body"]
            if not event.get("more_body"):
                return


class RecordingResponder(Responder):
    """Records the response that a caller receives."""

    def __init__(self):
        super().__init__(self._take)
        self.status = 0
        self.headers = {}
        self.body = b""
        self.body_started = trio.Event()

    async def _take(self, event):
        await trio.lowlevel.checkpoint()
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers = {n.decode(): v.decode() for n, v in event["headers"]}
            return
        self.body += event["body"]
        self.body_started.set()

    @property
    def outcome(self) -> str | None:
        """The outcome named in the response headers."""
        return self.headers.get("poplarward-outcome")

    def words(self) -> list[str]:
        """Return the words of the streamed completion."""
        lines = self.body.decode().split("\n\n")
        events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
        return [event["choices"][0]["text"] for event in events]


class MemoryPath:
    """Entry hosts and agents, each on its own host of an in-memory network."""

    def __init__(self, nursery, faults: LinkFaults | None = None):
        self.nursery = nursery
        self.cut: set[str] = set()
        self.faults = faults or LinkFaults()
        self.faults.is_cut = lambda a, b: bool(self.cut & {a, b})
        self.network = MemoryNetwork(self.faults)
        self.agents: dict[str, Executor] = {}
        self.addresses: dict[str, Address] = {}
        self._n_starts = 0

    def _peers(self, role, name, host):
        self._n_starts += 1
        address = Address(host, 9000)
        identity = ProcessIdentity(role, name, self._n_starts, address, "rennes")
        return Peers(self.network.host(host), identity, "s")

    async def start_agent(
        self,
        name,
        host,
        kind,
        upstream,
        client,
        n_slots=8,
        payments=None,
        kv_limit_tokens=0,
        **options,
    ):
        """Start or restart an agent; returns its executor and cancel scope."""
        peers = self._peers("agent", name, host)
        settings = UpstreamSettings(
            UpstreamKind(kind), upstream, "", n_slots, kv_limit_tokens=kv_limit_tokens
        )
        if payments is not None:
            options["payments"] = payments(peers.identity)
        executor = Executor(peers, settings, client, **options)
        scope = await self.nursery.start(self._run_agent, executor, peers)
        self.agents[name] = executor
        self.addresses[name] = peers.identity.address
        return executor, scope

    async def _run_agent(self, executor, peers, task_status):
        async with trio.open_nursery() as nursery:
            await executor.start(nursery)
            await peers.start(nursery)
            task_status.started(nursery.cancel_scope)

    async def start_entry(self, name="entry-1", host="10.1.0.1", **options):
        """Start an entry host connected to every agent; returns its attempt loop."""
        peers = self._peers("entry", name, host)
        table = AgentTable(peers)
        loop = AttemptLoop(peers, Relay(peers), Router(table), **options)
        await peers.start(self.nursery)
        await loop.start(self.nursery)
        self.nursery.start_soon(self._keep_connected, peers)
        await trio.sleep(0.5)
        return loop

    async def _keep_connected(self, peers):
        while True:
            for address in list(self.addresses.values()):
                with trio.move_on_after(1):
                    try:
                        await peers.connection(address)
                    except Exception:
                        pass
            await trio.sleep(0.1)


def draft(
    prompt: str = "A grey cat.", n_tokens: int = 20, deadline_ms: int = 30_000
) -> CallerRequest:
    """Return a drafting request."""
    body = {"model": "portrait", "prompt": prompt, "max_tokens": n_tokens}
    return CallerRequest(
        workspace="ateliers",
        upstream="drafts",
        priority_class=PriorityClass.DRAFTING,
        deadline_ms=deadline_ms,
        repeatable=True,
        method="POST",
        path="/v1/completions",
        headers=[],
        body=json.dumps(body).encode(),
        idempotency_key="",
    )


def payment(
    reference: str, key: str = "", deadline_ms: int = 5_000, cents: int = 4000
) -> CallerRequest:
    """Return a payment."""
    body = {"reference": reference, "cents": cents}
    return CallerRequest(
        workspace="ateliers",
        upstream="ledger",
        priority_class=PriorityClass.URGENT,
        deadline_ms=deadline_ms,
        repeatable=False,
        method="POST",
        path="/payments",
        headers=[],
        body=json.dumps(body).encode(),
        idempotency_key=key,
    )

"""Upstreams that say they leave, or ask for a pause, behind several entry processes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import Http1Server
from tests.direct.relay_harness import (
    STAMP,
    read_request,
    read_response,
    request_bytes,
    response,
)
from tests.platform.crash_scenarios import DatagramHub, HubStore, Scenario
from tests.platform.crash_scenarios import scenario_configuration as configuration
from tests.platform.documents import server_document
from tests.platform.entry_process import EntryProcess, free_ports
from tests.platform.limit_scenarios import respond_with_stream

N_HOSTS = 3
N_UPSTREAMS = 6
PER_S = 60.0
WORK_S = 0.05
SERVICE = "app-1"
TARGETS = {"safe": "/read/", "unsafe": "/pay/", "stream": "/stream/"}
DEADLINES_MS = {"safe": 1_200, "unsafe": 1_500, "stream": 8_000}


class NoticeScenario(NamedTuple):
    """What upstreams state, and from when to when.

    Attributes
    ----------
    leaving : tuple of (float, float)
        When `n_leaving` upstreams say that they leave, and until when.
    restart_at : float
        When these start anew under the same ids and without a notice; 0 for never.
    n_pausing : int
        Upstreams that refuse with a pause.
    retry_after : bytes
        The pause that they ask for, in seconds.
    period_s, refusing_s : float
        How long they refuse at the beginning of each period.
    """

    name: str
    kind: str = "safe"
    n_leaving: int = 0
    leaving: tuple[float, float] = (6.0, float("inf"))
    restart_at: float = 0.0
    n_pausing: int = 0
    retry_after: bytes = b"2"
    period_s: float = 5.0
    refusing_s: float = 1.0
    duration_s: float = 14.0


class Arrival(NamedTuple):
    """A request that reached an upstream; ``host`` is the entry host that sent it."""

    at: float
    sent_at: float
    host: str


class Result(NamedTuple):
    """How a caller's request ended."""

    sent_at: float
    status: int
    took_s: float
    retry_after_s: float | None


@dataclass
class UpstreamRecord:
    """What one start of an upstream has seen, and stated to each host."""

    arrivals: list[Arrival] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    refused: list[tuple[str, float]] = field(default_factory=list)


class NoticingUpstream:
    """An upstream that serves what arrives, but for its notices."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._n_starts = 0
        self.id = f"i-{number}"
        self.port = 0
        self.record = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        self.start()
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def start(self):
        self._n_starts += 1
        self.record = UpstreamRecord()
        self._fleet.records.append(self.record)
        document = server_document(f"127.0.0.1:{self.port}", service=SERVICE)
        document["born"] += self._n_starts
        self._fleet.store.put("servers", self.id, document)

    def is_leaving(self):
        scenario, elapsed_s = self._fleet.scenario, self._fleet.elapsed_s()
        since, until = scenario.leaving
        return (
            self._number < scenario.n_leaving
            and self._n_starts == 1
            and since <= elapsed_s < until
        )

    def is_refusing(self):
        scenario, elapsed_s = self._fleet.scenario, self._fleet.elapsed_s()
        return (
            self._number < scenario.n_pausing
            and elapsed_s % scenario.period_s < scenario.refusing_s
        )

    async def _serve(self, stream):
        try:
            while (request := await read_request(stream)) is not None:
                await self._respond(stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError, ValueError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _respond(self, stream, request):
        record, extra = self.record, STAMP
        if self.is_leaving():
            extra += b"Server-Leaving: 1\r\n"
        if request.target == "/health":
            await stream.send_all(response(request, 200, b"", extra=extra))
            return
        host, _, sent_at = request.target.rpartition("/")[2].partition("-")
        record.arrivals.append(Arrival(trio.current_time(), float(sent_at), host))
        if self.is_leaving():
            record.left.setdefault(host, trio.current_time())
        if self.is_refusing():
            record.refused.append((host, trio.current_time()))
            retry_after = b"Retry-After: %s\r\n" % self._fleet.scenario.retry_after
            not_run = b"Poplarward-Not-Run: 1\r\n" + retry_after
            await stream.send_all(response(request, 503, b"", extra + not_run))
            return
        await trio.sleep(WORK_S)
        if self._fleet.scenario.kind == "stream":
            await respond_with_stream(stream, request, extra)
        else:
            await stream.send_all(response(request, extra=extra))


class NoticingFleet:
    """All upstreams of one scenario, and what they have seen."""

    def __init__(self, store, scenario):
        self.store = store
        self.scenario = scenario
        self.records = []
        self.began = float("inf")
        self.upstreams = [NoticingUpstream(self, n) for n in range(N_UPSTREAMS)]

    def elapsed_s(self):
        return max(0.0, trio.current_time() - self.began)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams:
                await nursery.start(upstream.run)
            task_status.started()

    async def restart_leaving(self, after_s):
        await trio.sleep(after_s)
        for upstream in self.upstreams[: self.scenario.n_leaving]:
            upstream.start()


class NoticeCallers:
    """Callers that send requests to the hosts at random times."""

    def __init__(self, scenario, hosts, seed):
        self._scenario = scenario
        self._hosts = hosts
        self._rng = random.Random(seed)
        self.results = []

    async def run(self):
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() - began < self._scenario.duration_s:
                await trio.sleep(self._rng.expovariate(PER_S))
                host = self._rng.randrange(len(self._hosts))
                nursery.start_soon(self._call, host)

    async def _call(self, host):
        ip, _, port = self._hosts[host].front.rpartition(":")
        kind = self._scenario.kind
        sent_at = trio.current_time()
        data = request_bytes(
            f"{TARGETS[kind]}{host}-{sent_at}",
            "POST",
            b"x",
            Poplarward_Request_Id=f"r-{self._rng.getrandbits(60):x}",
            Poplarward_Deadline_Ms=str(DEADLINES_MS[kind]),
        )
        try:
            async with await trio.open_tcp_stream(ip, int(port)) as stream:
                await stream.send_all(data)
                received = await read_response(stream)
        except (OSError, trio.BrokenResourceError):
            return
        retry_after = received.headers.get("retry-after")
        self.results.append(
            Result(
                sent_at,
                received.status,
                trio.current_time() - sent_at,
                None if retry_after is None else float(retry_after),
            )
        )


@dataclass
class NoticeRecord:
    """What was seen at callers and upstreams during a scenario."""

    upstreams: list[UpstreamRecord]
    results: list[Result]
    logs: list[str]
    began: float


async def play(scenario, number, folder, seed=1):
    """Play a scenario; returns its record."""
    store = HubStore()
    store.server = Http1Server(store.handle, CallerLimits, 50)
    folder.mkdir()
    [port] = free_ports(1)
    hub_ip = f"127.0.3.{20 * number + 19}"
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        fleet = NoticingFleet(store, scenario)
        await nursery.start(fleet.run)
        store.put("config", "main", configuration(Scenario("", scenario.kind)))
        hosts = [
            EntryProcess(
                folder, n, port, hub_ip, store.address, ip=f"127.0.3.{20 * number + n}"
            )
            for n in range(1, N_HOSTS + 1)
        ]
        hub = DatagramHub(hub_ip, port, hosts, 0.0)
        await nursery.start(hub.run)
        callers = NoticeCallers(scenario, hosts, seed)
        try:
            async with trio.open_nursery() as starting:
                for host in hosts:
                    starting.start_soon(host.start)
            fleet.began = trio.current_time()
            if scenario.restart_at:
                nursery.start_soon(fleet.restart_leaving, scenario.restart_at)
            with trio.fail_after(3 * scenario.duration_s):
                await callers.run()
        finally:
            for host in hosts:
                host.kill()
            logs = [host.log() for host in hosts]
            nursery.cancel_scope.cancel()
    return NoticeRecord(fleet.records, callers.results, logs, fleet.began)

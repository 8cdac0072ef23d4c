"""Upstreams that end under marked requests, behind several entry processes."""

from __future__ import annotations

import random
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import Http1Server
from tests.direct.relay_harness import (
    STAMP,
    chunk,
    event,
    read_request,
    read_response,
    request_bytes,
    response,
)
from tests.platform.documents import ENGINE, config_document, server_document
from tests.platform.entry_process import EntryProcess, free_ports
from tests.platform.store_standin import StoreStandin

N_HOSTS = 3
N_UPSTREAMS = 6
DURATION_S = 30.0
SOUND_PER_S = 40.0
DOWN_S = 2.0
WORK_S = 0.15
CRASH_AFTER_S = 0.02  # A marked request has begun to run by then.
OWN_END_INTERVAL_S = 1.2
STABLE_WINDOW_S = 3.0
RESTART_AT_S = 12.0  # When an entry host is killed, if the scenario says so.
RESTART_AFTER_S = 1.0
MAX_RETRY_DELAY_S = 0.4  # A third of the callers' deadline.
MARK = "marked"
OTHER_KEY = "k-2"  # Of a second workspace.
CRASHING_PART = "bad"  # Parts whose id begins so crash upstreams.
SERVICE = "app-1"


class Scenario(NamedTuple):
    """What is sent, and what goes wrong.

    Attributes
    ----------
    kind : str
        "safe", "unsafe", "stream" or "group" (streams to a rank group).
    n_marked : int
        Requests under which upstreams end, all sent again each second.
    is_popular : bool
        Whether all sound requests have the same target and body.
    has_own_ends : bool
        Whether upstreams also end by themselves.
    restarts_host : bool
        Whether an entry host is killed and started again.
    loss : float
        Share of the datagrams between the hosts that is lost.
    is_late : bool
        Whether a stream crashes its upstream after its first event, not before.
    """

    name: str
    kind: str = "safe"
    n_marked: int = 1
    is_popular: bool = False
    has_own_ends: bool = False
    restarts_host: bool = False
    loss: float = 0.0
    is_late: bool = False


class Send(NamedTuple):
    """A request that has reached an upstream; ``cause`` is what crashes it, if any."""

    at: float
    target: str
    cause: str | None


class End(NamedTuple):
    """The end of an upstream; ``cause`` is what crashed it, None for its own end."""

    at: float
    cause: str | None


class SoundResult(NamedTuple):
    """How a caller's sound request ended, at first and after its retries."""

    sent_at: float
    is_served: bool
    is_served_at_first: bool


@dataclass
class Record:
    """What was seen at callers and upstreams during a scenario."""

    sends: list[Send] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    sound: list[SoundResult] = field(default_factory=list)
    marked_statuses: list[int] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    metrics: list[str] = field(default_factory=list)
    started_at: float = 0.0

    def late_sends(self, cause, n_ends=3):
        """Count the sends of a cause long after so many upstreams ended under it."""
        ends = [end.at for end in self.ends if end.cause == cause]
        if len(ends) < n_ends:
            return 0
        bound = ends[n_ends - 1] + STABLE_WINDOW_S
        return sum(s.cause == cause and s.at > bound for s in self.sends)

    def n_crashes(self, cause=None):
        """Count the upstreams that ended under a cause, or under any."""
        causes = [end.cause for end in self.ends if end.cause is not None]
        return len(causes) if cause is None else causes.count(cause)

    def causes(self):
        """Return all causes of crashes that have reached upstreams."""
        return sorted({send.cause for send in self.sends if send.cause is not None})

    def late_results(self):
        """Return the results of sound requests of the second half of the run."""
        middle = self.started_at + DURATION_S / 2
        return [result for result in self.sound if result.sent_at > middle]

    def served_share(self):
        """Return the share of sound requests served in the second half of the run."""
        late = self.late_results()
        return sum(result.is_served for result in late) / len(late)

    def served_at_first_share(self):
        """Return the same, of those served without a retry of their caller."""
        late = self.late_results()
        return sum(result.is_served_at_first for result in late) / len(late)


class CrashingUpstream:
    """An upstream that ends under a marked request, with all that runs beside it.

    It then refuses connections for a time and returns under a new id.
    """

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._n_starts = 0
        self._scope = None
        self._streams = {}
        self._is_ending = False
        self.port = 0
        self.id = ""

    @property
    def is_up(self):
        return self._scope is not None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            previous, self._n_starts = self.id, self._n_starts + 1
            self.id = f"i-{self._number}-{self._n_starts}"
            self._is_ending = False
            document = server_document(
                f"127.0.0.1:{self.port}", service=self._fleet.service
            )
            document["born"] += self._n_starts
            self._fleet.store.put("servers", self.id, document)
            if previous:
                self._fleet.store.put("servers", previous, {}, deleted=True)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._serve, listeners)
            self._scope = None
            for listener in listeners:
                await trio.aclose_forcefully(listener)
            await trio.sleep(DOWN_S)

    def end(self, cause=None):
        """End the upstream: reset all connections and refuse new ones."""
        if self._is_ending or self._scope is None:
            return
        self._is_ending = True
        self._fleet.record.ends.append(End(trio.current_time(), cause))
        for stream in list(self._streams):
            _reset(stream)
        self._scope.cancel()
        if self._fleet.is_group:
            self._fleet.break_group(self)

    def cut_off(self):
        """Close the connections on which requests run."""
        for stream, is_busy in list(self._streams.items()):
            if is_busy:
                _reset(stream)

    async def _serve(self, stream):
        self._streams[stream] = False
        try:
            while (request := await read_request(stream)) is not None:
                self._streams[stream] = True
                if not await self._respond(stream, request):
                    return
                self._streams[stream] = False
        except (trio.BrokenResourceError, trio.ClosedResourceError, ValueError):
            pass
        finally:
            del self._streams[stream]
            await trio.aclose_forcefully(stream)

    async def _respond(self, stream, request):
        if "poplarward-request-id" not in request.headers:
            await stream.send_all(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if request.headers["poplarward-expect-instance"] != self.id:
            await stream.send_all(response(request, 421, b""))
            return True
        fleet = self._fleet
        cause = crash_cause(request)
        fleet.record.sends.append(Send(trio.current_time(), request.target, cause))
        if fleet.faulty_rank is not None:
            extra = b"Poplarward-Not-Run: 1\r\nAt-Server: %s\r\n"
            await stream.send_all(
                response(request, 503, b"", extra % fleet.faulty_rank.encode())
            )
            return True
        if cause is not None:
            await trio.sleep(CRASH_AFTER_S)
            if fleet.is_streaming and fleet.crashes_late:
                await _stream_events(stream, request, 1, is_whole=False)
                await trio.sleep(CRASH_AFTER_S)
            self.end(cause)
            return False
        if fleet.is_streaming:
            return await _stream_events(stream, request)
        await trio.sleep(WORK_S)
        await stream.send_all(response(request, extra=STAMP))
        return True


def crash_cause(request):
    """Return what of a request crashes its upstream: its target or a part; or None."""
    if MARK in request.target:
        return request.target
    parts = request.headers.get("poplarward-prompt-prefix", "").split(",")[:-1]
    ids = [part.partition(":")[0] for part in parts]
    return next((part for part in ids if part.startswith(CRASHING_PART)), None)


async def _stream_events(stream, request, n_events=4, is_whole=True):
    first = int(request.headers.get("last-event-id", 0)) + 1
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Poplarward-Request-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n"
        % (request.headers["poplarward-request-id"].encode(), STAMP)
    )
    for number in range(first, n_events + 1):
        await trio.sleep(WORK_S / n_events)
        await stream.send_all(chunk(event(number)))
    if is_whole:
        await stream.send_all(b"0\r\n\r\n")
    return True


def _reset(stream):
    """Close a connection so that the peer sees a reset."""
    linger = struct.pack("ii", 1, 0)
    with suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


class Fleet:
    """All upstreams of one scenario."""

    def __init__(self, store, record, scenario):
        self.store = store
        self.record = record
        self.is_group = scenario.kind == "group"
        self.is_streaming = scenario.kind in ("stream", "group")
        self.crashes_late = scenario.is_late
        self.service = "llm-1" if self.is_group else SERVICE
        self.faulty_rank = None
        self.upstreams = [CrashingUpstream(self, n) for n in range(N_UPSTREAMS)]
        self._nursery = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as self._nursery:
            for upstream in self.upstreams:
                await self._nursery.start(upstream.run)
            task_status.started()

    def break_group(self, rank):
        """Cut off the work of all ranks, and run nothing until the rank is back."""
        for upstream in self.upstreams:
            if upstream is not rank:
                upstream.cut_off()
        self._nursery.start_soon(self._form_group, rank.id)

    async def _form_group(self, rank_id):
        self.faulty_rank = rank_id
        await trio.sleep(DOWN_S + 0.2)
        self.faulty_rank = None

    async def end_in_turn(self):
        """Let upstreams end by themselves, one after the other."""
        while True:
            for upstream in self.upstreams:
                await trio.sleep(OWN_END_INTERVAL_S)
                upstream.end()


class DatagramHub:
    """Forwards the hosts' heartbeats to all other hosts, except those that are lost."""

    def __init__(self, ip, port, hosts, loss):
        self._address = ip, port
        self._hosts = [(host.ip, port) for host in hosts]
        self._loss = loss
        self._rng = random.Random(1)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        with sock:
            await sock.bind(self._address)
            task_status.started()
            while True:
                data, sender = await sock.recvfrom(65_536)
                for host in self._hosts:
                    if host == sender or not self.passes(sender, host):
                        continue
                    if self._rng.random() >= self._loss:
                        await sock.sendto(data, host)

    def passes(self, sender, receiver):
        """Whether datagrams pass between two hosts."""
        return True


class HubStore(StoreStandin):
    """A store that doesn't list the hosts, so that all heartbeats take the hub."""

    def _list(self, kind, after, page=2):
        if kind == "entryhosts":
            return 200, {"items": [], "hasMore": False, "storeRevision": self.revision}
        return super()._list(kind, after, page)


class Callers:
    """Callers that send marked and sound requests to the hosts in turn."""

    def __init__(self, scenario, hosts, record, fleet):
        self._scenario = scenario
        self._hosts = hosts
        self._record = record
        self._fleet = fleet
        self._n_requests = 0
        self._prefix = {
            "safe": "/read/",
            "unsafe": "/pay/",
            "stream": "/stream/",
            "group": "/write/",
        }[scenario.kind]

    def target(self, name):
        return f"{self._prefix}{name}"

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_sound, nursery)
            for number in range(self._scenario.n_marked):
                nursery.start_soon(self._send_marked, f"{MARK}-{number}")

    async def _send_marked(self, name):
        for number in range(int(DURATION_S)):
            with trio.move_on_after(1.0):
                received = await self._call(self.target(name), number)
                self._record.marked_statuses.append(received.status)
                await trio.sleep_forever()

    async def _send_sound(self, nursery):
        for number in range(int(DURATION_S * SOUND_PER_S)):
            await trio.sleep(1 / SOUND_PER_S)
            name = "popular" if self._scenario.is_popular else f"sound-{number}"
            nursery.start_soon(self._send_one_sound, self.target(name), number)

    async def _send_one_sound(self, target, number, **options):
        sent_at = trio.current_time()
        served = await self.call_with_retry(target, number, **options)
        self._record.sound.append(SoundResult(sent_at, served[-1], served[0]))

    async def call_with_retry(self, target, number, **options):
        """Return for each call whether it was served; a caller retries once."""
        served = []
        for attempt in range(2):
            received = await self._call(target, number + attempt, **options)
            served.append(received.status == 200 and received.is_whole)
            if served[-1] or not self._may_retry(received):
                break
            delay_s = float(received.headers.get("retry-after", 0))
            await trio.sleep(min(MAX_RETRY_DELAY_S, delay_s))
        return served

    def _may_retry(self, received):
        return self._scenario.kind != "unsafe" or received.status == 503

    async def _call(self, target, number, **options):
        host = self._hosts[number % len(self._hosts)]
        ip, _, port = host.front.rpartition(":")
        self._n_requests += 1
        data = request_bytes(
            target,
            "POST",
            target.encode(),
            Poplarward_Request_Id=f"r-{self._n_requests}",
            **options,
        )
        try:
            async with await trio.open_tcp_stream(ip, int(port)) as stream:
                await stream.send_all(data)
                return await read_response(stream)
        except (OSError, trio.BrokenResourceError):
            return await self._call(target, number + 1, **options)


def scenario_configuration(scenario):
    """Return a configuration with a route of each kind."""
    document = config_document()
    safe, stream = document["routes"]
    if scenario.kind != "group":
        stream["trafficSplit"] = [{"service": SERVICE, "weight": 100}]
        stream["pathPrefix"] = "/stream/"
    else:
        stream["trafficSplit"] = [{"service": "llm-1", "weight": 100}]
    pay = {**safe, "name": "r-3", "pathPrefix": "/pay/", "kind": "unsafe"}
    document["routes"].append(pay)
    document["services"][1]["engine"] = ENGINE
    document["tenants"].append({"name": "owners", "apiKeys": [OTHER_KEY]})
    return document


async def play(scenario, number, folder, callers=Callers):
    """Play a scenario; returns its record."""
    record = Record()
    store = HubStore()
    store.server = Http1Server(store.handle, CallerLimits, 50)
    folder.mkdir()
    [port] = free_ports(1)
    hub_ip = f"127.0.1.{10 * number + 9}"
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        fleet = Fleet(store, record, scenario)
        await nursery.start(fleet.run)
        store.put("config", "main", scenario_configuration(scenario))
        hosts = [
            EntryProcess(folder, 10 * number + n, port, hub_ip, store.address)
            for n in range(1, N_HOSTS + 1)
        ]
        await nursery.start(DatagramHub(hub_ip, port, hosts, scenario.loss).run)
        try:
            async with trio.open_nursery() as starting:
                for host in hosts:
                    starting.start_soon(host.start)
            record.started_at = trio.current_time()
            if scenario.has_own_ends:
                nursery.start_soon(fleet.end_in_turn)
            if scenario.restarts_host:
                nursery.start_soon(_restart, hosts[0])
            with trio.fail_after(2 * DURATION_S):
                await callers(scenario, hosts, record, fleet).run()
            for host in hosts:
                _, metrics = await host.get(host.metrics, "/metrics")
                record.metrics.append(metrics.decode())
        finally:
            for host in hosts:
                host.kill()
            record.logs = [host.log() for host in hosts]
            nursery.cancel_scope.cancel()
    return record


async def _restart(host):
    await trio.sleep(RESTART_AT_S)
    host.kill()
    await trio.sleep(RESTART_AFTER_S)
    await host.start()

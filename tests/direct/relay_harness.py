"""Runs a relay between raw callers and scripted upstreams on loopback."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import NamedTuple

import h11
import trio

from poplarward.direct.crash_watch import CrashWatch
from poplarward.direct.model import (
    Configuration,
    Repeatability,
    Route,
    Service,
    ServiceWeight,
    UpstreamEntry,
    Workspace,
)
from poplarward.direct.relay import Relay
from poplarward.direct.request_log import RequestLog
from poplarward.direct.retry_budgets import RetryBudgets
from poplarward.direct.routing_state import RoutingState
from poplarward.platform.headers import PlatformHeaders
from poplarward.requests.suspects import SuspectTable
from poplarward.telemetry import RequestMetrics
from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import Http1Server

KEY = "k-1"
STAMP = b"Poplarward-Server-Stamp: s.1\r\n"


def route(prefix, repeatability, **changes):
    """Return a route with typical values."""
    values = {
        "name": prefix.strip("/"),
        "host": "shop.example",
        "path_prefix": prefix,
        "repeatability": repeatability,
        "timeout_ms": 1_000.0,
        "latency_objective_ms": 300.0,
        "pause_objective_ms": 120.0,
        "priority": 1,
        "targets": (ServiceWeight("app", 1.0),),
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": False,
    }
    return Route(**{**values, **changes})


ROUTES = (
    route("/read/", Repeatability.IDEMPOTENT),
    route("/pay/", Repeatability.ONCE, max_attempts=1),
    route("/pay-twice/", Repeatability.ONCE, max_attempts=2),
    route("/write/", Repeatability.STREAM, is_resumable=True),
    route("/write-once/", Repeatability.STREAM),
    route("/open/", Repeatability.IDEMPOTENT, is_public=True),
)


def configuration(version=1, routes=ROUTES, keys=(KEY,)):
    """Return a configuration of one plain service."""
    return Configuration(
        version,
        routes,
        {"app": Service("app", 100, None)},
        CallerLimits(idle_timeout_ms=2_000.0),
        (Workspace("ateliers", keys, None),),
    )


class Response(NamedTuple):
    status: int
    headers: dict
    body: bytes
    is_whole: bool


class ScriptedUpstream:
    """Handles each request with the next scripted behaviour.

    A behaviour is a coroutine function of (stream, request); `seen` lists all requests.
    """

    def __init__(self, *behaviours):
        self.behaviours = list(behaviours)
        self.seen = []
        self.n_connections = 0
        self.n_aborted = 0
        self.port = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream):
        self.n_connections += 1
        while True:
            request = await read_request(stream)
            if request is None:
                return
            self.seen.append(request)
            behaviour = self.behaviours.pop(0) if self.behaviours else good
            try:
                if await behaviour(stream, request) is False:
                    return
            except trio.BrokenResourceError:
                self.n_aborted += 1
                return


class Request(NamedTuple):
    method: str
    target: str
    headers: dict
    body: bytes


async def read_request(stream):
    """Return the next request on a connection, None at its end."""
    connection = h11.Connection(h11.SERVER)
    head, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await stream.receive_some(65_536)
            except trio.BrokenResourceError:
                return None
            if not data and head is None:
                return None
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return Request(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None


def response(request, status=200, body=b"whole", extra=b"", request_id=None):
    """Return the bytes of a response, which echoes the id of its request if any."""
    shown = request_id or request.headers.get("poplarward-request-id")
    return (
        b"HTTP/1.1 %d X\r\n" % status
        + (b"Poplarward-Request-Id: %s\r\n" % shown.encode() if shown else b"")
        + extra
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


async def good(stream, request):
    await stream.send_all(response(request, extra=STAMP))


async def not_run(stream, request):
    await stream.send_all(response(request, 503, b"", b"Poplarward-Not-Run: 1\r\n"))


async def failing(stream, request):
    await stream.send_all(response(request, 500, b"bad", STAMP))


async def cut(stream, request):
    return False


async def hanging(stream, request):
    while await stream.receive_some(1):
        pass
    raise trio.BrokenResourceError


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def streaming(first, last, *, is_cut=False, half_event=False):
    """Return a behaviour that sends events, and may break the stream."""

    async def behave(stream, request):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Poplarward-Request-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n"
            % (request.headers["poplarward-request-id"].encode(), STAMP)
        )
        for number in range(first, last + 1):
            await stream.send_all(chunk(event(number)))
        if half_event:
            await stream.send_all(chunk(event(last + 1)[:9]))
        if is_cut:
            return False
        await stream.send_all(b"0\r\n\r\n")
        return True

    return behave


def chunk(data):
    """Return the bytes of a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class RelayHarness:
    """A relay of an entry host, with scripted upstreams."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.age_ms = 0.0
        self.routing_state = RoutingState(
            4_000.0,
            lambda: self.age_ms,
            RetryBudgets(0.2, 100.0, 10.0, lambda: 1),
            random.Random(1),
        )
        self.routing_state.apply_configuration(configuration())
        self.suspects = SuspectTable()
        self.metrics = RequestMetrics()
        self.crash_watch = CrashWatch(self.suspects)
        self.relay = Relay(
            self.routing_state,
            PlatformHeaders(),
            RequestLog(self.routing_state, self.metrics),
            self.crash_watch,
            random.Random(1),
        )
        self.server = Http1Server(self.relay.handle, self.routing_state.limits, 50)
        self.port = 0

    def register_upstreams(self):
        for number, upstream in enumerate(self.upstreams):
            self.routing_state.upstreams.put(self.entry(number, upstream))

    def entry(self, number, upstream, **changes):
        return UpstreamEntry(
            f"u{number}", "app", f"127.0.0.1:{upstream.port}", "a", 4, False, 1
        )._replace(**changes)

    async def connect(self):
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def call(self, target, method="GET", body=b"", key=KEY, **headers):
        """Send one request on a new connection; returns a `Response`."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(request_bytes(target, method, body, key, **headers))
            return await read_response(stream)


def request_bytes(target, method="GET", body=b"", key=KEY, **headers):
    """Return the bytes of a caller's request."""
    lines = {
        "Host": "shop.example",
        "Poplarward-Request-Id": "r-1",
        "Poplarward-Deadline-Ms": "2000",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if key is not None:
        lines["Authorization"] = f"Bearer {key}"
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{n}: {v}\r\n" for n, v in lines.items() if v is not None)
    return head.encode() + b"\r\n" + body


async def read_response(stream):
    """Read one response; `is_whole` tells whether it ended properly."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    connection.send(h11.EndOfMessage())
    head, body = None, b""
    while True:
        try:
            found = connection.next_event()
        except h11.RemoteProtocolError:
            return Response(head.status_code if head else 0, {}, body, False)
        if found is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive_some(65_536))
            except trio.BrokenResourceError:
                return Response(head.status_code if head else 0, {}, body, False)
        elif isinstance(found, h11.Response):
            head = found
        elif isinstance(found, h11.Data):
            body += bytes(found.data)
        elif isinstance(found, h11.EndOfMessage):
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return Response(head.status_code, headers, body, True)
        else:
            return Response(head.status_code if head else 0, {}, body, False)


@asynccontextmanager
async def open_relay(*upstreams):
    """Run a relay and scripted upstreams."""
    harness = RelayHarness(upstreams)
    async with trio.open_nursery() as nursery:
        for upstream in upstreams:
            await nursery.start(upstream.serve)
        harness.register_upstreams()
        harness.port = await nursery.start(harness.server.serve, "127.0.0.1", 0)
        try:
            yield harness
        finally:
            await harness.routing_state.upstreams.close_removed()
            for upstream in harness.routing_state.upstreams.of_service("app"):
                await upstream.pool.close()
            nursery.cancel_scope.cancel()

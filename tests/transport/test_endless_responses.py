"""Bytes without end are given up in bounded memory and time by every client."""

from __future__ import annotations

import tracemalloc

import pytest
import trio

from poplarward.errors import StoreUnavailable, UpstreamUnreachable
from poplarward.protocol.reports import UpstreamKind
from poplarward.requests import upstream
from poplarward.requests.upstream import UpstreamResponse
from poplarward.state import http_store
from poplarward.state.http_store import HttpObjectStore
from poplarward.transport import HttpClient, http_client
from poplarward.transport.http1_client import Http1Pool
from tests.raw_server import RawServer

MAX_BYTES = 20_000_000
PART = b"x" * 65_536

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# Each kind of endless response: its beginning, and what is repeated.
ENDLESS = {
    "head": (HEAD + b"X: ", PART),
    "headers": (HEAD, b"X: %s\r\n" % PART[:8_000]),
    "interim-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body": (HEAD + b"\r\n", PART),
    "chunks": (CHUNKED, b"10000\r\n" + PART + b"\r\n"),
    "chunk-extension": (CHUNKED + b"1;", PART),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: %s\r\n" % PART[:8_000]),
}


async def open_endless(nursery, kind):
    server = await RawServer().start(nursery)
    server.responses.append(server.endless(*ENDLESS[kind]))
    return server


@pytest.mark.parametrize("kind", ENDLESS)
async def test_call_gives_up_an_endless_response(nursery, kind, monkeypatch):
    monkeypatch.setattr(http_client, "MAX_CALL_S", 3.0)
    server = await open_endless(nursery, kind)
    client = HttpClient(f"http://{server.address}")
    with trio.fail_after(30), pytest.raises(UpstreamUnreachable) as caught:
        await client.call("GET", "/", timeout_ms=1_000)
    assert caught.value.sent
    assert server.n_sent_bytes < MAX_BYTES
    await client.close()
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "response",
    [HEAD + b"\r\n", HEAD, b"HTTP/1.1 100 Continue\r\n\r\n"],
    ids=["body", "head", "interim"],
)
async def test_call_gives_up_a_response_that_trickles(nursery, response, monkeypatch):
    monkeypatch.setattr(http_client, "MAX_CALL_S", 1.0)

    async def trickle(stream):
        await stream.send_all(response)
        while True:
            await stream.send_all(b"x")
            await trio.sleep(0.02)

    server = await RawServer(trickle).start(nursery)
    client = HttpClient(f"http://{server.address}")
    with trio.fail_after(10), pytest.raises(UpstreamUnreachable) as caught:
        await client.call("GET", "/", timeout_ms=300)
    assert caught.value.sent
    await client.close()
    nursery.cancel_scope.cancel()


async def test_agent_gives_up_a_plain_response_that_is_too_long(nursery):
    server = await open_endless(nursery, "body")
    client = HttpClient(f"http://{server.address}")
    n_received = 0
    with trio.fail_after(30), pytest.raises(UpstreamUnreachable):
        async with client.stream("GET", "/") as response:
            async for piece in UpstreamResponse(response, UpstreamKind.PLAIN).pieces():
                n_received += len(piece)
    assert n_received <= upstream.MAX_PLAIN_RESPONSE_BYTES
    await client.close()
    nursery.cancel_scope.cancel()


async def test_agent_gives_up_a_plain_response_that_trickles(nursery, monkeypatch):
    monkeypatch.setattr(upstream, "UPSTREAM_TIMEOUT_MS", 300.0)

    async def trickle(stream):
        await stream.send_all(HEAD + b"\r\n")
        while True:
            await stream.send_all(b"x")
            await trio.sleep(0.02)

    server = await RawServer(trickle).start(nursery)
    client = HttpClient(f"http://{server.address}")
    with trio.fail_after(10), pytest.raises(UpstreamUnreachable):
        async with client.stream("GET", "/") as response:
            async for _ in UpstreamResponse(response, UpstreamKind.PLAIN).pieces():
                pass
    await client.close()
    nursery.cancel_scope.cancel()


async def test_watch_gives_up_an_event_without_end(nursery):
    server = await open_endless(nursery, "body")
    store = HttpObjectStore(f"http://{server.address}")
    with trio.fail_after(30), pytest.raises(StoreUnavailable):
        async for _ in store.watch("routes", 1):
            pass
    assert server.n_sent_bytes < http_store.MAX_EVENT_BYTES + MAX_BYTES // 2
    await store.close()
    nursery.cancel_scope.cancel()


# Guards against LOST: a body in chunks of two bytes took 30 times its length.
@pytest.mark.parametrize("client", ("direct", "agents"))
async def test_body_in_small_chunks_takes_about_its_length(nursery, client):
    n_chunks = 100_000

    async def send(stream):
        await stream.send_all(CHUNKED)
        for _ in range(100):
            await stream.send_all(n_chunks // 100 * b"2\r\nxy\r\n")
        await stream.send_all(b"0\r\n\r\n")

    server = await RawServer(send).start(nursery)
    tracemalloc.start()
    try:
        if client == "direct":
            connection = await Http1Pool(server.address, 0).acquire()
            await connection.send("GET", "/", [(b"Host", b"x")], b"")
            await connection.read_head()
            body = await connection.read_body(MAX_BYTES)
            await connection.close()
        else:
            http = HttpClient(f"http://{server.address}")
            body = (await http.call("GET", "/", timeout_ms=60_000)).body
            await http.close()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert body == n_chunks * b"xy"
    assert peak_bytes < 10 * len(body)
    nursery.cancel_scope.cancel()

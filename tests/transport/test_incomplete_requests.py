"""Bodies share the memory of a server; the longest incomplete request yields."""

from __future__ import annotations

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from poplarward.transport.buffer_budget import BufferBudget, BufferShare
from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import RETRY_AFTER_S, Http1Server
from poplarward.transport.incomplete_requests import IncompleteRequests
from tests.direct.relay_harness import read_response

N_UNCOUNTED = 8_192
MEMORY = 100_000
LIMITS = CallerLimits(max_body_bytes=200_000)
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(n_bytes):
    return b"%x\r\n%s\r\n" % (n_bytes, b"x" * n_bytes)


class Scope:
    """Stands in for a cancel scope outside of trio."""

    cancel_called = False

    def cancel(self):
        self.cancel_called = True


async def echo(exchange):
    await exchange.respond(200, [], exchange.body)


async def open_server(nursery, handler=echo):
    server = Http1Server(handler, lambda: LIMITS, 20, MEMORY)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    return server, port


async def connect(port, data):
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(data)
    return stream


async def test_announced_body_above_the_limit_is_refused_at_once(nursery):
    _, port = await open_server(nursery)
    async with await connect(port, HEAD + b"Content-Length: 200001\r\n\r\n") as stream:
        assert (await read_response(stream)).status == 413
    nursery.cancel_scope.cancel()


async def test_longest_incomplete_request_yields_and_all_memory_comes_back(nursery):
    server, port = await open_server(nursery)
    first = await connect(port, CHUNKED + chunk(60_000))
    while server._budget.n_free_bytes > MEMORY - 60_000 + N_UNCOUNTED:
        await trio.sleep(0.01)
    second = await connect(port, CHUNKED + chunk(90_000) + b"0\r\n\r\n")
    response = await read_response(second)
    assert (response.status, len(response.body)) == (200, 90_000)
    response = await read_response(first)
    assert response.status == 503
    assert response.headers["retry-after"] == str(RETRY_AFTER_S)
    await first.aclose()
    await second.aclose()
    while server.n_open:
        await trio.sleep(0.01)
    assert server._budget.n_free_bytes == MEMORY
    nursery.cancel_scope.cancel()


async def test_requests_in_progress_keep_their_memory(nursery):
    released = trio.Event()

    async def wait(exchange):
        await released.wait()
        await exchange.respond(200, [], exchange.body)

    server, port = await open_server(nursery, wait)
    first = await connect(port, HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * 90_000)
    while not server.n_in_progress:
        await trio.sleep(0.01)
    second = await connect(port, CHUNKED + chunk(30_000))
    assert (await read_response(second)).status == 503
    released.set()
    response = await read_response(first)
    assert (response.status, len(response.body)) == (200, 90_000)
    await first.aclose()
    await second.aclose()
    nursery.cancel_scope.cancel()


async def test_single_request_within_the_limits_is_served(nursery):
    """Its body is longer than all the memory for bodies, but within its limit."""
    _, port = await open_server(nursery)
    data = HEAD + b"Content-Length: 190000\r\n\r\n" + b"x" * 190_000
    async with await connect(port, data) as stream:
        response = await read_response(stream)
    assert (response.status, len(response.body)) == (200, 190_000)
    nursery.cancel_scope.cancel()


async def test_many_small_chunks_make_one_body(nursery):
    _, port = await open_server(nursery)
    async with await connect(port, CHUNKED + 3_000 * chunk(2) + b"0\r\n\r\n") as stream:
        response = await read_response(stream)
    assert (response.status, response.body) == (200, b"x" * 6_000)
    nursery.cancel_scope.cancel()


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 70_000)), max_size=25))
def test_bodies_are_whole_or_dropped(steps):
    budget = BufferBudget(MEMORY, N_UNCOUNTED)
    requests = IncompleteRequests()
    scopes = [Scope() for _ in range(5)]
    contexts = [requests.reading(BufferShare(budget), scope) for scope in scopes]
    opened = [context.__enter__() for context in contexts]
    sent = [0] * 5
    for number, n_bytes in steps:
        request = opened[number]
        was_dropped = request.is_dropped
        if requests.add(request, bytes(n_bytes)):
            sent[number] += n_bytes
            assert not was_dropped
        for other, scope, n_sent in zip(opened, scopes, sent, strict=True):
            assert len(other.body) == (0 if other.is_dropped else n_sent)
            assert scope.cancel_called == other.is_dropped
    for request, context in zip(opened, contexts, strict=True):
        request.share.clear()
        context.__exit__(None, None, None)
    assert budget.n_free_bytes == MEMORY
    assert not requests.drop_longest()


@pytest.mark.parametrize("n_counted", (0, 1))
async def test_drop_longest_takes_the_first(n_counted):
    requests = IncompleteRequests()
    budget = BufferBudget(MEMORY, 0)
    with (
        requests.reading(BufferShare(budget), trio.CancelScope()) as first,
        requests.reading(BufferShare(budget), trio.CancelScope()) as second,
    ):
        requests.add(second, bytes(n_counted))
        assert requests.drop_longest()
        assert (first.is_dropped, second.is_dropped) == (True, False)

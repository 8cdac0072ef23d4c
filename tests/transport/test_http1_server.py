"""The server enforces its limits, and ends or aborts responses correctly."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import Http1Server
from tests.direct.relay_harness import read_response

LIMITS = CallerLimits(
    max_header_bytes=2_000,
    max_body_bytes=100,
    header_timeout_ms=200.0,
    idle_timeout_ms=500.0,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


async def echo(exchange):
    await exchange.respond(200, [], exchange.body)


async def open_server(nursery, handler=echo):
    server = Http1Server(handler, lambda: LIMITS, 4)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    return server, await trio.open_tcp_stream("127.0.0.1", port)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 3\r\n\r\nabc", 200),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200),
        (HEAD + b"Content-Length: 101\r\n\r\n" + b"x" * 101, 413),
        (HEAD + b"X: " + b"y" * 3_000 + b"\r\n\r\n", 431),
        (HEAD + b"Content-Length: a\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (HEAD, 408),
    ],
)
async def test_requests_within_and_beyond_the_limits(nursery, data, status):
    _, stream = await open_server(nursery)
    async with stream:
        await stream.send_all(data)
        response = await read_response(stream)
    assert response.status == status
    assert response.body == (b"abc" if status == 200 else b"")
    nursery.cancel_scope.cancel()


async def test_idle_connection_is_closed_after_the_timeout(nursery):
    _, stream = await open_server(nursery)
    async with stream:
        with trio.fail_after(10):
            assert await stream.receive_some(10) == b""
    nursery.cancel_scope.cancel()


async def test_pipelined_requests_are_served_in_order(nursery):
    _, stream = await open_server(nursery)
    async with stream:
        for body in (b"one", b"two"):
            await stream.send_all(HEAD + b"Content-Length: 3\r\n\r\n" + body)
        received = b""
        while received.count(b"HTTP/1.1 200") < 2 or not received.endswith(b"two"):
            received += await stream.receive_some(1_000)
    assert received.index(b"one") < received.index(b"two")
    nursery.cancel_scope.cancel()


async def test_handler_error_aborts_the_response_and_only_its_connection(
    nursery,
):
    async def fail(exchange):
        await exchange.start(200, [])
        await exchange.write(b"part")
        raise RuntimeError("fault")

    server, stream = await open_server(nursery, fail)
    async with stream:
        await stream.send_all(HEAD + b"\r\n")
        assert not (await read_response(stream)).is_whole
    while server.n_open:
        await trio.sleep(0.01)
    nursery.cancel_scope.cancel()


async def test_ready_response_is_sent_after_the_deadline(nursery):
    async def respond_too_late(exchange):
        with trio.move_on_after(0):
            await exchange.respond(504, [], b"late")

    _, stream = await open_server(nursery, respond_too_late)
    async with stream:
        await stream.send_all(HEAD + b"\r\n")
        response = await read_response(stream)
    assert (response.status, response.body, response.is_whole) == (504, b"late", True)
    nursery.cancel_scope.cancel()


async def read_to_end(stream):
    """Read an HTTP/1.0 response; returns its bytes, and whether it was reset."""
    received = b""
    try:
        while data := await stream.receive_some(65_536):
            received += data
    except trio.BrokenResourceError:
        return received, True
    return received, False


async def stream_two_parts(exchange):
    await exchange.start(200, [])
    await exchange.write(b"one")
    await exchange.write(b"two")


async def finish(exchange):
    await stream_two_parts(exchange)
    await exchange.finish()


async def abort(exchange):
    await stream_two_parts(exchange)
    exchange.abort()


async def fail(exchange):
    await stream_two_parts(exchange)
    raise RuntimeError("fault")


async def leave_unfinished(exchange):
    await stream_two_parts(exchange)


async def hang(exchange):
    await stream_two_parts(exchange)
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ("handler", "is_reset"),
    [(finish, False), (abort, True), (fail, True), (leave_unfinished, True)],
)
async def test_response_without_chunks_is_reset_unless_it_is_whole(
    nursery, handler, is_reset
):
    _, stream = await open_server(nursery, handler)
    async with stream:
        await stream.send_all(b"GET /x HTTP/1.0\r\nHost: a\r\n\r\n")
        with trio.fail_after(5):
            received, was_reset = await read_to_end(stream)
    assert was_reset is is_reset
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"chunked" not in head
    assert body == b"onetwo"
    nursery.cancel_scope.cancel()


async def test_response_without_chunks_is_reset_when_the_server_ends(nursery):
    server = Http1Server(hang, lambda: LIMITS, 4)
    async with trio.open_nursery() as server_nursery:
        port = await server_nursery.start(server.serve, "127.0.0.1", 0)
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(b"GET /x HTTP/1.0\r\nHost: a\r\n\r\n")
        received = b""
        while not received.endswith(b"onetwo"):
            received += await stream.receive_some(65_536)
        server_nursery.cancel_scope.cancel()
    async with stream:
        assert (await read_to_end(stream))[1]


async def test_plain_response_to_an_old_client_ends_in_order(nursery):
    _, stream = await open_server(nursery)
    async with stream:
        await stream.send_all(
            b"POST /x HTTP/1.0\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        )
        received, was_reset = await read_to_end(stream)
    assert received.endswith(b"abc")
    assert not was_reset
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 9\r\n\r\nshort",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
        HEAD + b"Content-Length: 5\r\n",
        HEAD[:-2],
    ],
)
@pytest.mark.parametrize("version", (b"1.0", b"1.1"))
async def test_request_cut_short_by_its_caller_is_not_handled(nursery, data, version):
    n_handled = 0

    async def count(exchange):
        nonlocal n_handled
        n_handled += 1
        await exchange.respond(200, [], b"")

    server, stream = await open_server(nursery, count)
    async with stream:
        await stream.send_all(data.replace(b"HTTP/1.1", b"HTTP/" + version))
        await stream.send_eof()
        with trio.fail_after(5):
            received, _ = await read_to_end(stream)
    assert n_handled == 0
    assert not received.startswith(b"HTTP/1.1 2")
    while server.n_open:
        await trio.sleep(0.01)
    nursery.cancel_scope.cancel()


# Guards against LOST: a read of 64 KB for each small request that was sent ahead.
async def test_requests_sent_ahead_are_buffered_up_to_a_limit(nursery):
    buffered = []

    async def note(exchange):
        await trio.testing.wait_all_tasks_blocked(0.001)
        buffered.append(len(exchange._connection.trailing_data[0]))
        await exchange.respond(200, [], b"")

    _, stream = await open_server(nursery, note)
    async with stream:
        request = HEAD + b"Content-Length: 0\r\n\r\n"
        with trio.move_on_after(0.5):
            while True:
                await stream.send_all(1_000 * request)
    assert max(buffered) < 2 * 65_536
    assert len(buffered) > 20
    nursery.cancel_scope.cancel()


# Guards against callers that keep all connections: others waited for their timeouts.
@pytest.mark.parametrize(
    "data",
    (b"", HEAD, HEAD + b"Content-Length: 3\r\n\r\nab"),
    ids=("idle", "head", "body"),
)
async def test_new_connection_takes_the_place_of_one_that_waits(nursery, data):
    limits = CallerLimits(header_timeout_ms=60_000.0, idle_timeout_ms=60_000.0)
    server = Http1Server(echo, lambda: limits, 4)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    waiting = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(4)]
    for stream in waiting:
        await stream.send_all(data)
    while server.n_open < 4:
        await trio.sleep(0.01)
    await trio.testing.wait_all_tasks_blocked(0.01)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    with trio.fail_after(20):
        await stream.send_all(HEAD + b"Content-Length: 3\r\n\r\nabc")
        assert (await read_response(stream)).body == b"abc"
    # Only the longest waiting one was closed.
    if data:
        assert (await read_response(waiting[0])).status == 503
    else:
        assert await waiting[0].receive_some(10) == b""
    assert server.n_open == 4
    for other in (*waiting, stream):
        await other.aclose()
    nursery.cancel_scope.cancel()

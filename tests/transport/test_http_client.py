"""The client limits and reuses connections, and reports what was sent."""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import UpstreamUnreachable
from poplarward.transport import Address, HttpClient, asgi_application, serve_http


class CountingUpstream:
    """Responds after a delay and counts the requests in progress."""

    def __init__(self):
        self.n_open = 0
        self.max_open = 0

    async def handle(self, request, responder):
        self.n_open += 1
        self.max_open = max(self.max_open, self.n_open)
        await trio.sleep(0.02)
        self.n_open -= 1
        await responder.respond_json(200, {"path": request.path})


async def test_connections_are_limited_and_reused(nursery):
    upstream = CountingUpstream()
    application = asgi_application(upstream.handle)
    address = await nursery.start(serve_http, application, Address("127.0.0.1", 0))
    client = HttpClient(f"http://{address}", n_connections=3)
    async with trio.open_nursery() as calls:
        for number in range(12):
            calls.start_soon(client.call, "GET", f"/{number}")
    assert upstream.max_open == 3
    assert len(client._idle) == 3
    with trio.move_on_after(0.005):
        await client.call("GET", "/left")
    assert (await client.call("GET", "/after")).status == 200
    await client.close()
    nursery.cancel_scope.cancel()


async def test_refused_connection_was_not_sent(nursery):
    client = HttpClient("http://127.0.0.1:1")
    with pytest.raises(UpstreamUnreachable) as caught:
        await client.call("GET", "/")
    assert not caught.value.sent
    with pytest.raises(UpstreamUnreachable):
        await client.call("GET", "/")


async def test_connection_lost_during_the_response_was_sent(nursery):
    async def close_early(stream):
        await stream.receive_some()
        await stream.aclose()

    listeners = await nursery.start(trio.serve_tcp, close_early, 0)
    port = listeners[0].socket.getsockname()[1]
    client = HttpClient(f"http://127.0.0.1:{port}")
    with pytest.raises(UpstreamUnreachable) as caught:
        await client.call("GET", "/")
    assert caught.value.sent
    nursery.cancel_scope.cancel()


async def test_connection_closed_by_the_server_is_closed_by_the_client(nursery):
    stop, stopped = trio.Event(), trio.Event()

    async def serve(task_status):
        await serve_http(
            asgi_application(CountingUpstream().handle),
            Address("127.0.0.1", 0),
            stop=stop.wait,
            task_status=task_status,
        )
        stopped.set()

    client = HttpClient(f"http://{await nursery.start(serve)}")
    await client.call("GET", "/")
    [idle] = client._idle
    stop.set()
    await stopped.wait()
    with pytest.raises(UpstreamUnreachable):
        await client.call("GET", "/")
    assert idle.is_closed()
    nursery.cancel_scope.cancel()

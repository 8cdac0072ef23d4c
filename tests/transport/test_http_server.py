"""The server closes connections that are idle or receive headers too slowly."""

from __future__ import annotations

import pytest
import trio

from poplarward.transport import (
    Address,
    HttpClient,
    asgi_application,
    http_server,
    serve_http,
)

STOP_TIMEOUT_S = 30.0


async def respond_simply(request, responder):
    await request.body(100)
    await responder.respond_json(200, {})


async def respond_until_disconnect(request, responder):
    await request.body(100)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
        await responder.respond_json(200, {})
        nursery.cancel_scope.cancel()


async def stream_until_disconnect(request, responder):
    await request.body(100)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
        await responder.start(200, [("content-type", "text/event-stream")])
        await responder.write(b"data: a\n\n")
        await responder.finish(b"data: [DONE]\n\n")


@pytest.mark.parametrize(
    "handler",
    [
        respond_simply,
        respond_until_disconnect,
        stream_until_disconnect,
    ],
)
async def test_stop_closes_persistent_connections(nursery, handler):
    stop, stopped = trio.Event(), trio.Event()

    async def serve(task_status):
        application = asgi_application(handler)
        await serve_http(
            application,
            Address("127.0.0.1", 0),
            stop=stop.wait,
            task_status=task_status,
        )
        stopped.set()

    client = HttpClient(f"http://{await nursery.start(serve)}")
    for _ in range(3):
        assert (await client.call("POST", "/", body=b"a")).status == 200
    assert len(client._idle) == 1
    stop.set()
    with trio.fail_after(STOP_TIMEOUT_S):
        await stopped.wait()
    await client.close()
    nursery.cancel_scope.cancel()


async def test_endless_headers_are_disconnected(nursery, monkeypatch):
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.3)
    application = asgi_application(respond_simply)
    address = await nursery.start(serve_http, application, Address("127.0.0.1", 0))
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n")
    with trio.fail_after(STOP_TIMEOUT_S), pytest.raises(trio.BrokenResourceError):
        while True:
            await stream.send_all(b"x-more: x\r\n")
            await trio.sleep(0.05)
    await stream.aclose()
    nursery.cancel_scope.cancel()

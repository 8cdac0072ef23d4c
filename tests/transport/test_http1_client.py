"""Connections to upstreams, over loopback."""

from __future__ import annotations

import errno
from functools import partial

import pytest
import trio

from poplarward.errors import UpstreamUnreachable
from poplarward.transport.http1_client import Http1Pool


async def test_close_is_no_cancellation_point(nursery):
    """A response that has been read is not lost when its connection is closed."""

    async def respond_and_close(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(
                b"HTTP/1.1 202 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )

    [listener] = await nursery.start(
        partial(trio.serve_tcp, respond_and_close, 0, host="127.0.0.1")
    )
    port = listener.socket.getsockname()[1]
    pool = Http1Pool(f"127.0.0.1:{port}", n_idle=1)
    status = None
    with trio.CancelScope() as scope:
        connection = await pool.acquire()
        await connection.send("POST", "/order", [(b"Host", b"x")], b"")
        head = await connection.read_head()
        await connection.read_body(100)
        scope.cancel()
        await pool.release(connection)
        status = head.status
    assert status == 202
    nursery.cancel_scope.cancel()


# Guards against processes that end by themselves when descriptors run out.
async def test_request_without_a_free_descriptor_is_not_sent(monkeypatch):
    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(trio.socket, "socket", fail)
    with pytest.raises(UpstreamUnreachable) as caught:
        await Http1Pool("127.0.0.1:9", n_idle=1).acquire()
    assert not caught.value.sent

"""Requests and responses of the HTTP/1.1 server; a response can be aborted."""

from __future__ import annotations

import enum
import socket
import struct
from typing import NamedTuple

import h11
import trio

from ..errors import CallerDisconnected

__all__ = ["CallerLimits", "Exchange", "RawHeaders", "RequestHead"]

SEND_TIMEOUT_S = 1.0  # Most responses fit into the caller's receive window.

RawHeaders = list[tuple[bytes, bytes]]


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RequestHead(NamedTuple):
    """Request line and headers; header names have the caller's spelling."""

    method: str
    target: str
    headers: RawHeaders


class _Phase(enum.Enum):
    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    ABORTED = "aborted"


class Exchange:
    """A complete request and its response.

    Attributes
    ----------
    head : RequestHead
    body : bytes
    close_after : bool
        Set to close the connection after this response.
    status : int
        Status of the response; 0 until it is started.
    """

    def __init__(self, stream: trio.SocketStream, connection: h11.Connection):
        self.head = RequestHead("", "", [])
        self.body = b""
        self.close_after = False
        self.status = 0
        self._stream = stream
        self._connection = connection
        self._phase = _Phase.WAITING

    @property
    def is_started(self) -> bool:
        """Whether the response was started."""
        return self._phase is not _Phase.WAITING

    @property
    def is_finished(self) -> bool:
        """Whether the whole response was sent."""
        return self._phase is _Phase.FINISHED

    @property
    def can_have_chunks(self) -> bool:
        """Whether the caller understands a body in chunks.

        Without chunks, a body of unknown length ends with the connection, which is
        reset if the body is not whole.
        """
        return (self._connection.their_http_version or b"1.0") >= b"1.1"

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the status line and headers."""
        headers = list(headers)
        if self.close_after:
            headers.append((b"Connection", b"close"))
        self._phase = _Phase.STARTED
        self.status = status
        if not self.can_have_chunks:
            self._set_reset_on_close(True)
        await self._send(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the response."""
        await self._send(h11.EndOfMessage())
        if not self.can_have_chunks:
            self._set_reset_on_close(False)
        self._phase = _Phase.FINISHED

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole response with a single write."""
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self.close_after:
            headers.append((b"Connection", b"close"))
        send = self._connection.send
        self._phase = _Phase.STARTED
        self.status = status
        data = send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += send(h11.Data(data=body)) or b""
        data += send(h11.EndOfMessage()) or b""
        # A response that is ready is sent even if the handler is being cancelled.
        with trio.move_on_after(SEND_TIMEOUT_S, shield=True) as scope:
            await self._write(data)
        if scope.cancelled_caught:
            raise CallerDisconnected("the caller does not read its answer")
        self._phase = _Phase.FINISHED

    def abort(self) -> None:
        """Have the connection closed, so that the response is visibly incomplete."""
        self._phase = _Phase.ABORTED

    def _set_reset_on_close(self, is_reset: bool) -> None:
        """Have the connection reset, or end in order, whatever closes it.

        An orderly end is the only mark of a whole response without chunks.
        """
        linger = struct.pack("ii", is_reset, 0)
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _send(self, event: h11.Event) -> None:
        await self._write(self._connection.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected("the caller closed its connection") from error

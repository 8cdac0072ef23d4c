"""HTTP/1.1 client for upstreams, with h11 on trio; connections are not pipelined.

The caller matches every response with its request, so a connection can skip a response
that belongs to an earlier request. A connection with unexpected bytes is not reused.
"""

from __future__ import annotations

import enum
import socket
from collections import deque
from typing import NamedTuple

import h11
import trio

from ..errors import UpstreamUnreachable
from .buffer_budget import BufferShare
from .decoding import MAX_STATUS, decode_digits
from .http1_exchange import RawHeaders

__all__ = [
    "SAFE_IDLE_S",
    "BodyFraming",
    "ConnectionEnd",
    "Http1Connection",
    "Http1Pool",
    "ResponseHead",
    "header_value",
]

READ_BYTES = 65_536  # Most responses fit into one read.
CONNECT_TIMEOUT_S = 0.8  # Leaves callers time for one retry.
SAFE_IDLE_S = 0.2  # Less than the time after which peers silently drop connections.
DEFAULT_KEEP_ALIVE_S = 4.0  # Without a Keep-Alive header; below the usual 5 s.
KEEP_ALIVE_MARGIN_S = 1.0  # Keep-Alive timeouts are in whole seconds.
USER_TIMEOUT_MS = 2_500  # Unacknowledged for longer: the peer is unreachable.


class BodyFraming(enum.Enum):
    """What marks the end of a body; see RFC 9112, section 6."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class ConnectionEnd(enum.Enum):
    """How the peer has ended a connection, if it has."""

    NONE = "none"
    CLOSED = "closed"
    RESET = "reset"


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names have the upstream's spelling."""

    status: int
    headers: RawHeaders

    def get(self, name: bytes) -> bytes | None:
        """Return a header's value; `name` must be in lower case."""
        return header_value(self.headers, name)


def header_value(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is missing.

    Examples
    --------
    >>> header_value([(b"Retry-After", b"2")], b"retry-after")
    b'2'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


class Http1Connection:
    """A connection to an upstream.

    Methods raise `UpstreamUnreachable`, whose `sent` tells whether the upstream may
    have received the request.

    Attributes
    ----------
    idle_before_use_s : float
        Idle time before the current use; 0 for a new connection.
    has_received_bytes : bool
        Whether any bytes were received in the current use.
    n_responses : int
        Heads of responses that were read so far, in all uses.
    framing : BodyFraming
        Framing of the response whose head was read last.
    end : ConnectionEnd
        How the peer has ended the connection.
    """

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self.idle_before_use_s = 0.0
        self.has_received_bytes = False
        self.n_responses = 0
        self.framing = BodyFraming.LENGTH
        self.end = ConnectionEnd.NONE
        self._idle_since = 0.0
        self._idle_until = 0.0
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S

    async def send(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete request."""
        self._request = h11.Request(
            method=method, target=target.encode("latin-1"), headers=headers
        )
        data = self._h11.send(self._request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        # The request may have been sent even if the write failed.
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.end = ConnectionEnd.RESET
            raise UpstreamUnreachable(f"sending: {error}", sent=True) from error

    async def read_head(self) -> ResponseHead:
        """Return the next response's status and headers."""
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    if event.status_code > MAX_STATUS:
                        reason = f"bad answer: status {event.status_code}"
                        raise UpstreamUnreachable(reason, sent=True)
                    headers = event.headers.raw_items()
                    self.n_responses += 1
                    self._update_keep_alive(headers)
                    self.framing = self._body_framing(event)
                    return ResponseHead(event.status_code, headers)
                case _:
                    raise UpstreamUnreachable("closed before an answer", sent=True)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, None at its regular end."""
        event = await self._next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                return None
            case _:
                raise UpstreamUnreachable("the answer broke off", sent=True)

    async def read_body(
        self, max_bytes: int, share: BufferShare | None = None
    ) -> bytes:
        """Return the remainder of the body, whose bytes are counted in `share`."""
        body = bytearray()  # A list would take many times the bytes of small chunks.
        while (chunk := await self.read_chunk()) is not None:
            _check_length(len(body) + len(chunk), max_bytes)
            if share is not None:
                share.add(len(chunk))
            body += chunk
        return bytes(body)

    async def skip_body(self, max_bytes: int) -> None:
        """Read the remainder of the body without keeping it."""
        n_bytes = 0
        while (chunk := await self.read_chunk()) is not None:
            n_bytes += len(chunk)
            _check_length(n_bytes, max_bytes)

    def expect_another_response(self) -> bool:
        """Prepare to skip a response to another request; returns whether it can."""
        if self._request is None or self._h11.their_state is not h11.DONE:
            return False
        remainder, closed = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        # The request is already sent; only the new parser needs its state.
        self._h11.send(self._request)
        if self._h11.our_state is h11.SEND_BODY:
            self._discard_body()
        if remainder:
            self._h11.receive_data(remainder)
        return not closed

    def _discard_body(self) -> None:
        length = header_value(self._request.headers.raw_items(), b"content-length")
        if length is not None and int(length):
            self._h11.send(h11.Data(data=bytes(int(length))))
        self._h11.send(h11.EndOfMessage())

    def is_reusable(self) -> bool:
        """Whether the connection can serve another request after the last response."""
        if self.end is not ConnectionEnd.NONE:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        return not self._h11.trailing_data[0]

    def mark_idle(self, now_s: float) -> None:
        """Mark the connection as idle and ready for another request."""
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._request = None
        self.has_received_bytes = False
        self._idle_since = now_s
        self._idle_until = now_s + self._keep_alive_s

    def idle_s(self, now_s: float) -> float:
        """Return how long the connection has been idle."""
        return now_s - self._idle_since

    def is_usable(self, now_s: float) -> bool:
        """Whether an idle connection has not expired and has no bytes to read."""
        return now_s < self._idle_until and self.is_open()

    def is_open(self) -> bool:
        """Whether the peer has neither closed the connection nor sent anything."""
        return not _has_bytes(self._stream)

    async def close(self) -> None:
        """Close the connection at once; the upstream then stops processing.

        Not a cancellation point: what an exchange has returned isn't lost by its close.
        """
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> h11.Event | type:
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                if data:
                    self.has_received_bytes = True
                else:
                    self.end = ConnectionEnd.CLOSED
                self._h11.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.end = ConnectionEnd.RESET
            raise UpstreamUnreachable(f"reading: {error}", sent=True) from error
        except h11.RemoteProtocolError as error:
            raise UpstreamUnreachable(f"bad answer: {error}", sent=True) from error
        return event

    def _body_framing(self, response: h11.Response) -> BodyFraming:
        has_no_body = response.status_code in (204, 304)
        if has_no_body or self._request.method == b"HEAD":
            return BodyFraming.LENGTH
        names = {name for name, _ in response.headers}
        if b"transfer-encoding" in names:
            return BodyFraming.CHUNKS
        if b"content-length" in names:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    def _update_keep_alive(self, headers: RawHeaders) -> None:
        value = header_value(headers, b"keep-alive")
        if value is None:
            return
        for directive in value.split(b","):
            name, _, value = directive.strip().partition(b"=")
            seconds = decode_digits(value)
            if name.lower() == b"timeout" and seconds is not None:
                self._keep_alive_s = max(0.0, seconds - KEEP_ALIVE_MARGIN_S)


class Http1Pool:
    """Pool of connections to one address.

    Parameters
    ----------
    address : str
        IP number and port.
    n_idle : int
        Maximum number of idle connections.

    Attributes
    ----------
    n_opened : int
        Connections that were opened so far.
    n_ended_idle : int
        Idle connections that the peer was found to have ended.
    """

    def __init__(self, address: str, n_idle: int):
        self.address = address
        self.n_opened = 0
        self.n_ended_idle = 0
        self._n_idle = n_idle
        self._is_closed = False
        self._idle: deque[Http1Connection] = deque()

    async def acquire(self, max_idle_s: float = float("inf")) -> Http1Connection:
        """Return an idle connection, or a new one.

        Connections that were idle for `max_idle_s` or longer are left in the pool for
        other requests, as the peer may have silently dropped them. With 0 the
        connection is new.
        """
        while self._idle:
            now = trio.current_time()
            if self._idle[-1].idle_s(now) >= max_idle_s:
                break
            connection = self._idle.pop()
            connection.idle_before_use_s = connection.idle_s(now)
            if connection.is_usable(now):
                return connection
            self.n_ended_idle += not connection.is_open()
            await connection.close()
        return await self._open()

    async def release(self, connection: Http1Connection) -> None:
        """Return a connection to the pool if it can serve another request."""
        has_capacity = len(self._idle) < self._n_idle and not self._is_closed
        if connection.is_reusable() and has_capacity:
            connection.mark_idle(trio.current_time())
            self._idle.append(connection)
        else:
            await connection.close()

    async def release_unused(self, connection: Http1Connection) -> None:
        """Return a connection to the pool without having sent anything on it."""
        if self._is_closed:
            await connection.close()
            return
        connection.mark_idle(trio.current_time())
        self._idle.append(connection)

    async def close(self) -> None:
        """Close the idle connections; those in use are closed when released."""
        self._is_closed = True
        while self._idle:
            await self._idle.pop().close()

    async def _open(self) -> Http1Connection:
        host, _, port = self.address.rpartition(":")
        self.n_opened += 1
        try:
            sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise UpstreamUnreachable(f"no socket: {error}", sent=False) from error
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((host, int(port)))
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            reason = f"connecting: {error or 'timeout'}"
            raise UpstreamUnreachable(reason, sent=False) from error
        except BaseException:
            sock.close()
            raise
        return Http1Connection(trio.SocketStream(sock))


def _check_length(n_bytes: int, max_bytes: int) -> None:
    if n_bytes > max_bytes:
        raise UpstreamUnreachable(f"a body of more than {max_bytes} bytes", sent=True)


def _has_bytes(stream: trio.SocketStream) -> bool:
    """Whether the peer has sent bytes or closed the connection."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    raw = stream.socket._sock  # trio has no non-blocking read
    try:
        raw.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True

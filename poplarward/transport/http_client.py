"""HTTP client for upstreams, based on httpcore."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager, suppress
from typing import NamedTuple

import httpcore
import trio

from ..errors import UpstreamUnreachable
from .decoding import MAX_STATUS
from .http_server import Headers

__all__ = ["HttpAccess", "HttpClient", "HttpResponse", "StreamedResponse"]

KEEPALIVE_S = 30.0
MAX_RESPONSE_BYTES = 16_777_216  # Far above the largest list.
MAX_CALL_S = 30.0  # Large lists over a slow link.


class HttpAccess(NamedTuple):
    """TLS context and credential for a server.

    Attributes
    ----------
    tls : ssl.SSLContext or None
        Context for ``https`` addresses; None trusts the system's authorities.
    bearer_token : str
        Sent with each call; empty if the server requires none.
    """

    tls: ssl.SSLContext | None = None
    bearer_token: str = ""


class HttpResponse(NamedTuple):
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """Client of one server, with a pool of persistent connections if they are kept.

    Parameters
    ----------
    base_url : str
        Scheme, IP number and port, such as ``http://127.0.0.1:8001``.
    n_connections : int
        Maximum number of open connections; further calls wait.
    access : HttpAccess, optional
        TLS context and credential for the server.
    keeps_connections : bool
        Whether calls reuse connections. If they do, an extra response to an earlier
        call may be taken for the response to the next one.
    """

    def __init__(
        self,
        base_url: str,
        n_connections: int = 256,
        access: HttpAccess | None = None,
        keeps_connections: bool = True,
    ):
        self._base_url = base_url.rstrip("/")
        self._access = access or HttpAccess()
        self._keeps_connections = keeps_connections
        self._origin = httpcore.URL(self._base_url).origin
        self._limit = trio.Semaphore(n_connections)
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def close(self) -> None:
        """Close the idle connections; those in use are closed when released."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_ms: float = 5000,
    ) -> HttpResponse:
        """Return the whole response; raises `UpstreamUnreachable`.

        `timeout_ms` limits each wait. A response of more than `MAX_RESPONSE_BYTES`, or
        one that does not end in `MAX_CALL_S`, is given up.
        """
        limit_s = max(MAX_CALL_S, timeout_ms / 1000)
        with trio.move_on_after(limit_s):
            async with self.stream(method, path, headers, body, timeout_ms) as response:
                content = await response.body(MAX_RESPONSE_BYTES)
                return HttpResponse(response.status, response.headers, content)
        raise UpstreamUnreachable(
            f"the response did not end in {limit_s:.0f} s", sent=True, broke_off=False
        )

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_ms: float = 5000,
    ) -> AsyncIterator[StreamedResponse]:
        """Open a response whose body is read in chunks.

        Raises `UpstreamUnreachable`, whose `sent` tells whether the upstream may
        have received the request. `timeout_ms` limits each wait, and twice as much the
        time until the head is whole, but not the body.
        """
        timeouts = dict.fromkeys(("connect", "read", "write"), timeout_ms / 1000)
        request = httpcore.Request(
            method,
            self._base_url + path,
            headers=self._headers(headers or [], body),
            content=body or None,
            extensions={"timeout": timeouts},
        )
        with trio.move_on_after(timeout_ms / 1000) as scope:
            await self._limit.acquire()
        if scope.cancelled_caught:
            raise UpstreamUnreachable("every connection is in use", sent=False)
        try:
            async with self._open_response(request, 2 * timeout_ms) as response:
                if response.status > MAX_STATUS:
                    raise httpcore.RemoteProtocolError(f"status {response.status}")
                yield StreamedResponse(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise UpstreamUnreachable(str(error), sent=False) from error
        except httpcore.TimeoutException as error:
            raise UpstreamUnreachable(str(error), sent=True, broke_off=False) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise UpstreamUnreachable(str(error), sent=True) from error
        finally:
            self._limit.release()

    def _headers(self, headers: Headers, body: bytes) -> list[tuple[bytes, bytes]]:
        encoded = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        encoded.append((b"host", self._base_url.partition("//")[2].encode()))
        if self._access.bearer_token:
            token = self._access.bearer_token.encode("latin-1")
            encoded.append((b"authorization", b"Bearer " + token))
        if body and not any(n.lower() == b"content-length" for n, _ in encoded):
            encoded.append((b"content-length", str(len(body)).encode()))
        return encoded

    @asynccontextmanager
    async def _open_response(
        self, request: httpcore.Request, head_timeout_ms: float
    ) -> AsyncIterator[httpcore.Response]:
        """Run a request on a connection, and pool the connection if it is reusable."""
        connection: httpcore.AsyncHTTPConnection | None = await self._get_connection()
        try:
            with trio.move_on_after(head_timeout_ms / 1000) as scope:
                response = await connection.handle_async_request(request)
            if scope.cancelled_caught:
                raise httpcore.ReadTimeout("the head does not end")
            try:
                yield response
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            if connection.is_idle() and self._keeps_connections:
                self._idle.append(connection)
                # The list is used last in, first out, so its first entry is the oldest.
                connection = self._idle.pop(0) if self._idle[0].has_expired() else None
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

    async def _get_connection(self) -> httpcore.AsyncHTTPConnection:
        """Return the most recently used idle connection, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            with trio.CancelScope(shield=True):
                await connection.aclose()
        return httpcore.AsyncHTTPConnection(
            self._origin, ssl_context=self._access.tls, keepalive_expiry=KEEPALIVE_S
        )


class StreamedResponse:
    """A response whose body is being received."""

    def __init__(self, response: httpcore.Response):
        self._response = response
        self.status: int = response.status
        self.headers: Headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        ]

    async def body(self, max_bytes: int) -> bytes:
        """Return the whole body; raises `UpstreamUnreachable` if it is too long."""
        body = bytearray()  # A list would take many times the bytes of small chunks.
        async with aclosing(self.chunks()) as parts:
            async for chunk in parts:
                if len(body) + len(chunk) > max_bytes:
                    raise UpstreamUnreachable(
                        f"a body of more than {max_bytes} bytes",
                        sent=True,
                        broke_off=False,
                    )
                body += chunk
        return bytes(body)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive."""
        stream = self._response.aiter_stream()
        try:
            async for chunk in stream:
                yield chunk
        finally:
            await self._close(stream)

    async def _close(self, stream: AsyncIterator[bytes]) -> None:
        """Close the response, and end httpcore's generators if they have not ended.

        Closing the outer one leaves the others suspended; reading from the closed
        connection ends them all.
        """
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                async for _ in stream:
                    pass

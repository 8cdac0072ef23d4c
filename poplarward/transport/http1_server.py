"""HTTP/1.1 server with h11 on trio, whose responses can be aborted.

An ASGI server cannot abort a started response. A relay needs to abort one so that it
can't be taken for complete, to be notified at once when a caller disconnects, and to
change its limits at run time. See docs/design/house-style.md.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11
import trio

from ..errors import CallerDisconnected
from ..telemetry.logs import get_logger
from .buffer_budget import BufferBudget, BufferShare
from .http1_exchange import CallerLimits, Exchange, RequestHead
from .incomplete_requests import (
    UNCOUNTED_BODY_BYTES,
    IncompleteRequest,
    IncompleteRequests,
)

__all__ = ["Http1Server"]

READ_BYTES = 65_536  # Most requests fit into one read.
READ_AHEAD_BYTES = 16_384  # Of the requests that follow one in progress.
CLOSE_TIMEOUT_S = 1.0  # A caller that does not read must not delay a shutdown.
BACKLOG = 512  # For callers that all connect when an address is published.
MAX_REQUEST_BYTES = 16_777_216  # Bodies of all requests together.
MAX_EVENTS_PER_TURN = 200  # One read may hold thousands of chunks.
RETRY_AFTER_S = 1  # For requests that find no memory.

log = get_logger("http1")


Handler = Callable[[Exchange], Awaitable[None]]


class Http1Server:
    """Accepts connections, one task each, and passes whole requests to a handler.

    Parameters
    ----------
    handler : callable
        Called for each request, cancelled when the caller disconnects.
    read_limits : callable
        Returns the current limits.
    n_connections : int
        Maximum number of concurrent connections. A new one beyond them takes the place
        of the one that has been idle, or else incomplete, for longest.
    max_request_bytes : int
        Memory of the bodies of all requests, in progress or still being read. If it is
        used up, the request that has been incomplete for longest gets status 503.
    """

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], CallerLimits],
        n_connections: int,
        max_request_bytes: int = MAX_REQUEST_BYTES,
    ):
        self.n_open = 0
        self.n_in_progress = 0
        self.is_closing = False
        self._handler = handler
        self._read_limits = read_limits
        self._connection_slots = trio.CapacityLimiter(n_connections)
        self._idle_scopes: dict[trio.CancelScope, None] = {}  # The longest idle first.
        self._budget = BufferBudget(max_request_bytes, UNCOUNTED_BODY_BYTES)
        self._incomplete = IncompleteRequests()

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; `task_status` receives the port."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        listener = listeners[0]
        async with listener, trio.open_nursery() as nursery:
            task_status.started(listener.socket.getsockname()[1])
            while True:
                stream = await _accept(listener)
                try:
                    if not self._connection_slots.available_tokens:
                        self._close_longest_waiting()
                    await self._connection_slots.acquire_on_behalf_of(token := object())
                except trio.Cancelled:
                    await trio.aclose_forcefully(stream)
                    raise
                nursery.start_soon(self._run_connection, stream, token)

    def close_idle(self) -> None:
        """Close each connection as soon as it has no request in progress."""
        self.is_closing = True
        for scope in self._idle_scopes:
            scope.cancel()

    def _close_longest_waiting(self) -> None:
        """Close the longest idle connection, or else drop the longest request."""
        if self._idle_scopes:
            next(iter(self._idle_scopes)).cancel()
        elif not self._incomplete.drop_longest():
            log.info("http1.no_connection_left", n_in_progress=self.n_in_progress)

    async def _run_connection(self, stream: trio.SocketStream, token: object) -> None:
        self.n_open += 1
        try:
            await self._serve_requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, CallerDisconnected):
            log.debug("http1.caller_disconnected")
        except Exception:
            # An error on one connection must not end the others.
            log.exception("http1.failed")
        finally:
            self.n_open -= 1
            self._connection_slots.release_on_behalf_of(token)
            with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await stream.aclose()

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        limits = self._read_limits()
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        while True:
            exchange = Exchange(stream, connection)
            share = BufferShare(self._budget)
            try:
                if not await self._read_request(stream, connection, exchange, share):
                    return
                exchange.close_after = exchange.close_after or self.is_closing
                self.n_in_progress += 1
                try:
                    await self._run_handler(stream, connection, exchange)
                finally:
                    self.n_in_progress -= 1
            finally:
                share.clear()
            reusable = exchange.is_finished and not exchange.close_after
            if not reusable or connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _read_request(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        exchange: Exchange,
        share: BufferShare,
    ) -> bool:
        """Read one complete request; returns False if there is none to serve."""
        limits = self._read_limits()
        if not connection.trailing_data[0] and not await self._wait_for_bytes(
            stream, connection, limits.idle_timeout_ms
        ):
            return False
        status = None
        with (
            trio.move_on_after(limits.header_timeout_ms / 1000) as scope,
            self._incomplete.reading(share, scope) as request,
        ):
            try:
                status = await self._read_events(
                    stream, connection, exchange, request, scope
                )
            except h11.RemoteProtocolError as error:
                log.info("http1.bad_request", reason=str(error))
                status = error.error_status_hint
        if request.is_dropped:
            log.info("http1.request_dropped", n_bytes=len(request.body))
            status = 503
        elif scope.cancelled_caught:
            log.info("http1.request_timed_out", timeout_ms=limits.header_timeout_ms)
            status = 408
        if status == 200:
            exchange.body = bytes(request.body)
            return True
        if status is not None:
            await self._refuse(exchange, status)
        return False

    async def _read_events(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        exchange: Exchange,
        request: IncompleteRequest,
        scope: trio.CancelScope,
    ) -> int | None:
        """Read up to the end of a request.

        Returns 200 if it is complete, the status of its refusal, or None if the caller
        has left.
        """
        limits = self._read_limits()
        n_events = 0
        while True:
            event = connection.next_event()
            n_events += 1
            if n_events % MAX_EVENTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            match event:
                case h11.NEED_DATA:
                    await self._receive(stream, connection)
                case h11.Request():
                    exchange.head = RequestHead(
                        event.method.decode("ascii"),
                        event.target.decode("latin-1"),
                        event.headers.raw_items(),
                    )
                    if _n_header_bytes(event) > limits.max_header_bytes:
                        return 431
                    if _announced_bytes(event) > limits.max_body_bytes:
                        return 413
                    # The header timeout excludes bodies, which may be long.
                    scope.deadline = trio.current_time() + limits.idle_timeout_ms / 1000
                    if connection.they_are_waiting_for_100_continue:
                        await exchange._send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                case h11.Data():
                    if len(request.body) + len(event.data) > limits.max_body_bytes:
                        return 413
                    if not self._incomplete.add(request, event.data):
                        log.info("http1.no_memory", n_bytes=len(request.body))
                        return 503
                case h11.EndOfMessage():
                    return 200
                case _:
                    return None

    async def _wait_for_bytes(
        self, stream: trio.SocketStream, connection: h11.Connection, timeout_ms: float
    ) -> bool:
        """Wait for the next request's first bytes; returns False if none arrived."""
        with trio.move_on_after(timeout_ms / 1000) as scope:
            self._idle_scopes[scope] = None
            try:
                if self.is_closing:
                    scope.cancel()
                data = await stream.receive_some(READ_BYTES)
            finally:
                self._idle_scopes.pop(scope, None)
            connection.receive_data(data)
            return bool(data)
        return False

    async def _receive(
        self, stream: trio.SocketStream, connection: h11.Connection
    ) -> None:
        connection.receive_data(await stream.receive_some(READ_BYTES))

    async def _refuse(self, exchange: Exchange, status: int) -> None:
        if exchange.is_started:
            return
        exchange.close_after = True
        headers = [(b"Retry-After", b"%d" % RETRY_AFTER_S)] if status == 503 else []
        try:
            await exchange.respond(status, headers, b"")
        except (h11.LocalProtocolError, CallerDisconnected) as error:
            log.info("http1.refusal_not_sent", status=status, reason=str(error))

    async def _run_handler(
        self, stream: trio.SocketStream, connection: h11.Connection, exchange: Exchange
    ) -> None:
        """Run the handler, and cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, stream, connection, nursery.cancel_scope
            )
            try:
                await self._handler(exchange)
            except CallerDisconnected:
                exchange.abort()
            except Exception:
                # An error in one request must not end the others.
                log.exception("http1.handler_failed", target=exchange.head.target)
                exchange.abort()
            nursery.cancel_scope.cancel()

    async def _cancel_on_disconnect(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        scope: trio.CancelScope,
    ) -> None:
        try:
            # Buffer bytes of pipelined requests; stop reading if there are too many.
            # Those of earlier reads count, as each request takes few of them.
            while len(connection.trailing_data[0]) < READ_AHEAD_BYTES:
                data = await stream.receive_some(READ_AHEAD_BYTES)
                if not data:
                    break
                connection.receive_data(data)
            else:
                return
        except trio.BrokenResourceError:
            pass
        scope.cancel()


async def _accept(listener: trio.SocketListener) -> trio.SocketStream:
    while True:
        try:
            return await listener.accept()
        except OSError as error:
            log.warning("http1.accept_failed", reason=str(error))
            await trio.sleep(0.05)


def _announced_bytes(request: h11.Request) -> int:
    """Return the length of a body that a request announces, 0 if it does not."""
    return max(
        (int(value) for name, value in request.headers if name == b"content-length"),
        default=0,
    )


def _n_header_bytes(request: h11.Request) -> int:
    n_bytes = len(request.method) + len(request.target)
    return n_bytes + sum(len(n) + len(v) + 4 for n, v in request.headers)

"""HTTP server based on hypercorn."""

from __future__ import annotations

import json
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ..errors import BodyTooLarge, BufferFull, CallerDisconnected
from ..telemetry import get_logger
from .buffer_budget import BufferBudget, BufferShare
from .channels import Address
from .incomplete_requests import UNCOUNTED_BODY_BYTES, IncompleteRequests
from .tls import TlsFiles

__all__ = [
    "HttpRequest",
    "Responder",
    "asgi_application",
    "serve_http",
]

GRACEFUL_TIMEOUT_S = 120.0
MAX_HEADER_BYTES = 16 * 1024
MAX_REQUEST_BYTES = 8_388_608  # Bodies of all requests of an application together.
# Limits both idle persistent connections and callers that send headers slowly.
IDLE_TIMEOUT_S = 75.0

log = get_logger("http")

Headers = list[tuple[str, str]]


@dataclass
class HttpRequest:
    """A request whose body has not been read yet.

    Attributes
    ----------
    path : str
        The decoded path.
    target : str
        Path and query as sent by the caller.
    caller_host : str
        IP address of the caller.
    share : BufferShare
        Counts the bytes of the body.
    incomplete : IncompleteRequests
        Requests of the application whose bodies are being read.
    """

    method: str
    path: str
    target: str
    caller_host: str
    query: dict[str, str]
    headers: dict[str, str]
    receive: Callable[[], Awaitable[dict[str, Any]]]
    share: BufferShare = field(default_factory=lambda: BufferShare(_new_budget()))
    incomplete: IncompleteRequests = field(default_factory=IncompleteRequests)

    async def body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises `BodyTooLarge`, `CallerDisconnected`, or `BufferFull` if the bodies of
        all requests have used up their memory and this one is the longest incomplete.
        """
        declared = self.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > max_bytes:
            raise BodyTooLarge(f"{declared} bytes of body, at most {max_bytes}")
        with (
            trio.CancelScope() as scope,
            self.incomplete.reading(self.share, scope) as request,
        ):
            while True:
                event = await self.receive()
                if event["type"] == "http.disconnect":
                    raise CallerDisconnected(
                        "the caller left before its body was complete"
                    )
                chunk = event.get("body", b"")
                if len(request.body) + len(chunk) > max_bytes:
                    raise BodyTooLarge(f"more than {max_bytes} bytes of body")
                if not self.incomplete.add(request, chunk):
                    break
                if not event.get("more_body", False):
                    return bytes(request.body)
        raise BufferFull("no memory for the bodies of all requests")

    async def wait_disconnect(self) -> None:
        """Wait until the caller has disconnected."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when the caller disconnects."""
        await self.wait_disconnect()
        scope.cancel()


class Responder:
    """Sends the response to a request."""

    def __init__(self, send: Callable[[dict[str, Any]], Awaitable[None]]):
        self.send = send
        self.started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        self.started = True
        encoded = [
            (n.lower().encode("latin-1"), v.encode("latin-1")) for n, v in headers
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk of the body."""
        # hypercorn reports the end of a response as a disconnect. A handler that
        # cancels itself on it must not interrupt hypercorn while that prepares the
        # connection for the next request: the connection would never be closed.
        with trio.CancelScope(shield=True):
            await self.send({"type": "http.response.body", "body": data})

    async def respond(
        self,
        status: int,
        body: bytes,
        headers: Headers | None = None,
        content_type: str = "application/json",
    ) -> None:
        """Send a whole response."""
        length = ("content-length", str(len(body)))
        await self.start(
            status, [("content-type", content_type), length, *(headers or [])]
        )
        await self.finish(body)

    async def respond_json(
        self, status: int, value: Any, headers: Headers | None = None
    ) -> None:
        """Send a whole response with a JSON body."""
        await self.respond(status, json.dumps(value).encode(), headers)


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


def asgi_application(handler: Handler) -> Callable[..., Awaitable[None]]:
    """Return an ASGI application that passes each request to a handler."""
    budget = _new_budget()
    incomplete = IncompleteRequests()

    async def application(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        request = HttpRequest(
            method=scope["method"],
            path=scope["path"],
            target=_target(scope),
            caller_host=scope["client"][0] if scope["client"] else "",
            query={name: values[-1] for name, values in query.items()},
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            receive=receive,
            share=BufferShare(budget),
            incomplete=incomplete,
        )
        responder = Responder(send)
        try:
            await handler(request, responder)
        except Exception:
            log.exception("http.failed", method=request.method, path=request.path)
            if responder.started:
                raise
            await responder.respond_json(500, {"error": "internal error"})
        finally:
            request.share.clear()

    return application


def _new_budget() -> BufferBudget:
    return BufferBudget(MAX_REQUEST_BYTES, UNCOUNTED_BODY_BYTES)


def _target(scope: dict[str, Any]) -> str:
    target = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{target}?{query}" if query else target


async def _answer_lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def serve_http(
    application: Any,
    address: Address,
    tls: TlsFiles | None = None,
    stop: Callable[[], Awaitable[None]] = trio.sleep_forever,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until `stop` returns or the task is cancelled.

    Requests in progress at shutdown have `GRACEFUL_TIMEOUT_S` to end, so the calling
    code must wait for longer ones before it lets `stop` return.
    """
    config = Config()
    config.bind = [str(address)]
    config.loglevel = "WARNING"
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = IDLE_TIMEOUT_S
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.key
        if tls.authority:
            config.ca_certs = tls.authority
            config.verify_mode = ssl.CERT_REQUIRED
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(_serve, application, config, stop)
        port = int(binds[0].rpartition(":")[2])
        task_status.started(Address(address.host, port))


async def _serve(application: Any, config: Config, stop: Any, task_status: Any) -> None:
    await serve(application, config, shutdown_trigger=stop, task_status=task_status)

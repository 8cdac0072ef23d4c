"""Forwards attempts to the upstream of an agent and splits responses into pieces."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import Any, NamedTuple, Protocol

import trio

from ..errors import StreamError, UpstreamUnreachable
from ..protocol.reports import UpstreamKind
from ..protocol.requests import PriorityClass, Submit
from ..transport import HttpAccess, HttpClient
from ..transport.event_streams import (
    EndPromise,
    EndsBetweenEvents,
    EndsWithEvent,
    EventSplitter,
    event_lines,
    is_event_stream,
)
from .kv_admission import HEADROOM_SHARE

__all__ = [
    "DONE_EVENT",
    "Upstream",
    "UpstreamClient",
    "UpstreamResponse",
    "UpstreamSettings",
    "is_done_event",
]

DONE_LINE = b"data: [DONE]"
DONE_EVENT = DONE_LINE + b"\n\n"
MAX_PLAIN_RESPONSE_BYTES = 1_048_576  # Entry hosts buffer plain responses.
UPSTREAM_TIMEOUT_MS = 30_000.0


class UpstreamSettings(NamedTuple):
    """The upstream behind an agent.

    Attributes
    ----------
    kind : UpstreamKind
    name : str
        Model group or plain service that the upstream belongs to.
    url : str
        Where the upstream listens, with an IP number.
    n_slots : int
        Requests that it runs at once.
    access : HttpAccess
        What it requires of its clients.
    kv_limit_tokens : int
        Tokens that an engine's KV cache holds; 0 for no limit.
    kv_headroom_share : float
        Fraction of them that is kept free when a stream is admitted.
    """

    kind: UpstreamKind
    name: str
    url: str
    n_slots: int
    access: HttpAccess = HttpAccess()
    kv_limit_tokens: int = 0
    kv_headroom_share: float = HEADROOM_SHARE


class UpstreamClient(Protocol):
    """Calls one upstream; `HttpClient` is the one used outside of tests."""

    def stream(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
        timeout_ms: float = 5000,
    ) -> AbstractAsyncContextManager[Any]:
        """Open a response; raises `UpstreamUnreachable`."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class UpstreamResponse:
    """An upstream's response, received piece by piece.

    An event stream is split into its events, and is complete only if it ends as the
    kind of upstream promises. Any response but an engine's event stream has at most
    `MAX_PLAIN_RESPONSE_BYTES` and ends within `UPSTREAM_TIMEOUT_MS` of its head.

    Attributes
    ----------
    is_event_stream : bool
        Whether the response is an event stream of an engine.
    """

    def __init__(self, response: Any, kind: UpstreamKind):
        self.status: int = response.status
        self.headers: list[tuple[str, str]] = response.headers
        self._response = response
        self._kind = kind
        self._has_events = is_event_stream(self._header("content-type"))
        self.is_event_stream = self._has_events and kind is UpstreamKind.ENGINE

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield events, or chunks as they arrive; raises `UpstreamUnreachable`."""
        async with aclosing(self._chunks()) as chunks:
            if not self._has_events:
                async for chunk in chunks:
                    yield chunk
                return
            splitter = EventSplitter(_end_promise(self._kind))
            try:
                async for chunk in chunks:
                    for event in splitter.feed(chunk):
                        yield event
            except StreamError as error:
                raise _endless(str(error)) from error
        is_framed = bool(
            self._header("content-length") or self._header("transfer-encoding")
        )
        if not splitter.is_whole(is_framed):
            reason = f"the stream broke off, {splitter.place.value}"
            raise UpstreamUnreachable(reason, sent=True)
        if splitter.rest and not self.is_event_stream:
            yield splitter.rest

    async def _chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; raises `UpstreamUnreachable`."""
        n_bytes = 0
        ends_at_s = trio.current_time() + UPSTREAM_TIMEOUT_MS / 1000
        async with aclosing(self._response.chunks()) as chunks:
            async for chunk in chunks:
                n_bytes += len(chunk)
                if not self.is_event_stream:
                    if n_bytes > MAX_PLAIN_RESPONSE_BYTES:
                        raise _endless(f"more than {MAX_PLAIN_RESPONSE_BYTES} bytes")
                    if trio.current_time() > ends_at_s:
                        raise _endless("the body does not end")
                yield chunk

    def _header(self, name: str) -> str:
        return dict(self.headers).get(name, "")


def _endless(reason: str) -> UpstreamUnreachable:
    """Return the error of a response that is given up because it does not end."""
    return UpstreamUnreachable(reason, sent=True, broke_off=False)


def _end_promise(kind: UpstreamKind) -> EndPromise:
    """Return what an upstream promises about the end of its event streams."""
    match kind:
        case UpstreamKind.ENGINE:
            return EndsWithEvent(DONE_LINE)
        case UpstreamKind.PLAIN:
            return EndsBetweenEvents()


def is_done_event(event: bytes) -> bool:
    """Whether an event marks the end of an engine's stream."""
    return event_lines(event) == [DONE_LINE]


class Upstream:
    """Client of the upstream behind an agent.

    Parameters
    ----------
    settings : UpstreamSettings
    client : UpstreamClient, optional
        Replaces the HTTP client in tests.
    """

    def __init__(self, settings: UpstreamSettings, client: UpstreamClient | None):
        self.settings = settings
        self._client = client or HttpClient(
            settings.url,
            settings.n_slots * 2,
            settings.access,
            keeps_connections=False,
        )

    async def close(self) -> None:
        """Close the connections to the upstream."""
        await self._client.close()

    @asynccontextmanager
    async def forward(self, submit: Submit) -> AsyncIterator[UpstreamResponse]:
        """Open the response to an attempt; raises `UpstreamUnreachable`."""
        async with self._client.stream(
            submit.method,
            submit.path,
            submit.headers,
            self._request_body(submit),
            UPSTREAM_TIMEOUT_MS,
        ) as response:
            yield UpstreamResponse(response, self.settings.kind)

    def _request_body(self, submit: Submit) -> bytes:
        if self.settings.kind is UpstreamKind.PLAIN:
            return submit.body
        document = json.loads(submit.body)
        document["priority"] = 0 if submit.priority_class is PriorityClass.URGENT else 1
        document["resume_after"] = submit.n_pieces_received
        return json.dumps(document).encode()

"""Forwards attempts to the upstream of an agent and splits responses into pieces."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, NamedTuple, Protocol

from ..errors import UpstreamUnreachable
from ..protocol.reports import UpstreamKind
from ..protocol.requests import PriorityClass, Submit
from ..transport import HttpAccess, HttpClient
from .kv_admission import HEADROOM_SHARE

__all__ = [
    "DONE_EVENT",
    "EVENT_STREAM",
    "Upstream",
    "UpstreamClient",
    "UpstreamResponse",
    "UpstreamSettings",
]

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"
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

    An engine's event stream is split into its events; it is complete only if the event
    that marks its end was received.

    Attributes
    ----------
    is_event_stream : bool
        Whether the response is an event stream of an engine.
    """

    def __init__(self, response: Any, kind: UpstreamKind):
        self.status: int = response.status
        self.headers: list[tuple[str, str]] = response.headers
        self._response = response
        content_type = dict(response.headers).get("content-type", "")
        self.is_event_stream = kind is UpstreamKind.ENGINE and content_type.startswith(
            EVENT_STREAM
        )

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield events, or chunks as they arrive; raises `UpstreamUnreachable`."""
        if not self.is_event_stream:
            async for chunk in self._response.chunks():
                yield chunk
            return
        remainder = b""
        is_done = False
        async for chunk in self._response.chunks():
            *events, remainder = (remainder + chunk).split(EVENT_SEPARATOR)
            for event in events:
                piece = event + EVENT_SEPARATOR
                is_done = piece == DONE_EVENT
                yield piece
        if not is_done:
            raise UpstreamUnreachable("the stream ended early", sent=True)


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
            settings.url, settings.n_slots * 2, settings.access
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

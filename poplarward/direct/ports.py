"""Interfaces that a deployment implements for entry hosts without agents.

Implementations translate between the deployment's protocol and the types of this
package; they make no decisions.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..transport.http1_client import ResponseHead
from ..transport.http1_exchange import RawHeaders, RequestHead
from .model import CallerRequest
from .upstream_notices import Notice

__all__ = [
    "CallProtocol",
    "Feed",
    "FeedChange",
    "FeedChanges",
    "FeedListing",
    "ForwardingContext",
    "ResponseMetadata",
]


class FeedListing(NamedTuple):
    """All objects of a feed at one revision of the store."""

    revision: int
    objects: dict[str, Any]


class FeedChange(NamedTuple):
    """The new state of one object; ``value`` is None if it is deleted or unreadable."""

    name: str
    value: Any | None


class FeedChanges(NamedTuple):
    """Changes after the requested revision, in order, up to ``revision``."""

    revision: int
    changes: list[FeedChange]


class Feed(Protocol):
    """Objects of one kind in the platform's store, decoded.

    Both calls raise `StoreUnavailable` without a usable response.
    """

    async def list(self) -> FeedListing:
        """Return all objects."""
        ...

    async def changes(self, after_revision: int, wait_ms: int) -> FeedChanges:
        """Return the changes after a revision, waiting until there are some.

        Raises `RevisionTooOld` if the store has discarded them, `StoreInterrupted` if
        it may give the revision to other changes since it was read.
        """
        ...


class ForwardingContext(NamedTuple):
    """Values that an attempt adds to a caller's request.

    Attributes
    ----------
    upstream_id : str
        The only upstream that may run it.
    time_left_ms : float
    workspace : str or None
    priority : int
    last_event_id : int or None
        Last event of the stream that has been sent to the caller.
    """

    upstream_id: str
    time_left_ms: float
    workspace: str | None
    priority: int
    last_event_id: int | None


class ResponseMetadata(NamedTuple):
    """What the headers of an upstream's response state.

    Attributes
    ----------
    request_id : str or None
        The request that it responds to.
    is_not_run : bool
        The upstream states that the request has not run and will not run.
    is_misdirected : bool
        Another upstream now has the address.
    is_stamped : bool
        It bears the server stamp; a success without it is not trusted.
    faulty_upstream_id : str or None
        Upstream that caused a refusal, if it is not the one that responded.
    limit_per_s : float or None
        Requests per second that the upstream takes from all hosts together, if it
        names a limit.
    notice : Notice
        What the upstream asks for.
    """

    request_id: str | None
    is_not_run: bool
    is_misdirected: bool
    is_stamped: bool
    faulty_upstream_id: str | None
    limit_per_s: float | None = None
    notice: Notice = Notice()


class CallProtocol(Protocol):
    """Reads headers of callers' requests and upstreams' responses, and writes them."""

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Parse the head of a caller's request."""
        ...

    def forwarded_headers(
        self, head: RequestHead, body: bytes, added: ForwardingContext
    ) -> RawHeaders:
        """Return the request headers for an upstream."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Parse the head of an upstream's response."""
        ...

    def returned_headers(self, head: ResponseHead) -> RawHeaders:
        """Return a response's headers for the caller, without hop-by-hop headers."""
        ...

    def refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> RawHeaders:
        """Return the headers of a refusal that the entry host sends itself."""
        ...

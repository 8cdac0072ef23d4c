"""What a deployment's own side offers to an entry host that reaches upstreams itself.

Implementations translate between the deployment's protocol and the product's types;
they decide nothing.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from ..transport.http1_client import ResponseHead
from ..transport.http1_server import RawHeaders, RequestHead
from .model import CallerRequest

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
    """All objects of a feed, and the store's revision that they belong to."""

    revision: int
    objects: dict[str, Any]


class FeedChange(NamedTuple):
    """One object as it is now; ``value`` is None once it is deleted or unreadable."""

    name: str
    value: Any | None


class FeedChanges(NamedTuple):
    """Changes after a revision, in order, up to another."""

    revision: int
    changes: list[FeedChange]


class Feed(Protocol):
    """Objects of one kind in the platform's store, decoded.

    Both calls raise `StoreUnavailable` without a usable answer.
    """

    async def list(self) -> FeedListing:
        """Return all objects."""
        ...

    async def changes(self, after_revision: int, wait_ms: int) -> FeedChanges:
        """Return the changes after a revision, waiting until there are some.

        Raises `RevisionTooOld` if they are not kept any more.
        """
        ...


class ForwardingContext(NamedTuple):
    """What an attempt adds to a caller's request.

    Attributes
    ----------
    upstream_id : str
        The only upstream that may run it.
    time_left_ms : float
    workspace : str or None
    priority : int
    last_event_id : int or None
        Last event of a stream that the caller has been sent.
    """

    upstream_id: str
    time_left_ms: float
    workspace: str | None
    priority: int
    last_event_id: int | None


class ResponseMetadata(NamedTuple):
    """What an upstream's answer says of itself beside its bytes.

    Attributes
    ----------
    request_id : str or None
        The request that it answers.
    is_not_run : bool
        The upstream states that the request has not run and won't.
    is_misdirected : bool
        Another upstream has the address.
    is_stamped : bool
        It bears an upstream's mark; successes without it count for nothing.
    at_fault : str or None
        Upstream that a refusal is due to, if not the one that answered.
    """

    request_id: str | None
    is_not_run: bool
    is_misdirected: bool
    is_stamped: bool
    faulty_upstream_id: str | None


class CallProtocol(Protocol):
    """Reads callers' requests and upstreams' answers, and writes their headers."""

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Return what a request says of itself."""
        ...

    def forwarded_headers(
        self, head: RequestHead, body: bytes, added: ForwardingContext
    ) -> RawHeaders:
        """Return the headers for an upstream."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return what an answer says of itself."""
        ...

    def returned_headers(self, head: ResponseHead) -> RawHeaders:
        """Return an answer's headers for the caller, without those of the channel."""
        ...

    def refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> RawHeaders:
        """Return the headers of an answer of our own."""
        ...

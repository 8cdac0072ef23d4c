"""Follows an event stream over all of its attempts."""

from __future__ import annotations

import re

from ..errors import StreamError
from ..transport.decoding import decode_digits
from ..transport.event_streams import (
    EndsBetweenEvents,
    EventSplitter,
    Place,
)

__all__ = ["ResumableStream"]

_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")


class ResumableStream:
    """The events of a stream, each of them once, over all attempts to get them.

    Events up to `last_id` are dropped: an upstream that resumes the stream may repeat
    them.

    Attributes
    ----------
    last_id : int or None
        Greatest id of the events returned so far.
    n_events : int
        Number of events returned so far.

    Examples
    --------
    >>> stream = ResumableStream()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.begin_attempt()
    >>> stream.feed(b"id: 2\\ndata: b\\n\\n"), stream.last_id
    (b'id: 2\\ndata: b\\n\\n', 2)
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self.n_events = 0
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Drop the incomplete event of the attempt before."""
        promise = EndsBetweenEvents(may_be_empty=self.last_id is not None)
        self._splitter = EventSplitter(promise)

    @property
    def place(self) -> Place:
        """Where in the stream the bytes of this attempt end."""
        return self._splitter.place

    @property
    def rest(self) -> bytes:
        """The bytes of this attempt that follow its last event."""
        return self._splitter.rest

    def is_whole(self, is_framed: bool) -> bool:
        """Whether the stream is whole; see `EventSplitter.is_whole`."""
        return self._splitter.is_whole(is_framed)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now whole; raises `StreamError`."""
        accepted = [e for e in self._splitter.feed(data) if self._accept(e)]
        self.n_events += len(accepted)
        return b"".join(accepted)

    def _accept(self, event: bytes) -> bool:
        """Whether an event is to be returned, and not one that was before."""
        event_id = _event_id(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        if self.last_id is not None and event_id > self.last_id + 1:
            raise StreamError(f"event {event_id} after {self.last_id}")
        self.last_id = event_id
        return True


def _event_id(event: bytes) -> int | None:
    match = _ID_LINE.search(event)
    return None if match is None else decode_digits(match[1])

"""Splits an event stream, so that only whole events reach the caller."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EVENT_END", "EventSplitter", "StreamError"]

EVENT_END = b"\n\n"

MAX_EVENT_BYTES = 1_048_576  # Events of model engines are far smaller.


class StreamError(Exception):
    """A stream's events are out of order or too large."""


class _Event(NamedTuple):
    data: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes and returns whole events, each of them once.

    Events up to `last_id` are dropped: a stream that is resumed at another upstream may
    repeat them.

    Attributes
    ----------
    last_id : int or None
        Greatest id of the events returned so far.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.restart()
    >>> splitter.feed(b"id: 2\\ndata: b\\n\\n"), splitter.last_id
    (b'id: 2\\ndata: b\\n\\n', 2)
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now whole; raises `StreamError`."""
        *blocks, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError("an event is too large")
        return b"".join(self._accept(block + EVENT_END) for block in blocks)

    def end(self) -> bytes:
        """Return the remaining bytes when the stream has ended properly."""
        rest, self._buffer = self._buffer, b""
        return rest

    def restart(self) -> None:
        """Drop the incomplete event of a stream that broke."""
        self._buffer = b""

    def _accept(self, block: bytes) -> bytes:
        event_id = _event_id(block)
        if event_id is None:
            return block
        if self.last_id is not None and event_id <= self.last_id:
            return b""
        if self.last_id is not None and event_id > self.last_id + 1:
            raise StreamError(f"event {event_id} after {self.last_id}")
        self.last_id = event_id
        return block


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None

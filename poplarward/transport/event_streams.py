"""Splits event streams into events, and tells whether a stream ended whole.

The format is that of server-sent events in the HTML standard: an event ends with an
empty line, and a line ends with LF, CRLF or CR.
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

from ..errors import StreamError

__all__ = [
    "EVENT_STREAM",
    "EndPromise",
    "EndsBetweenEvents",
    "EndsWithEvent",
    "EventSplitter",
    "Place",
    "event_lines",
    "is_event_stream",
]

EVENT_STREAM = "text/event-stream"

MAX_EVENT_BYTES = 262_144  # Events of model engines are far smaller.

# After LF or CRLF, a CR at the end of the bytes may be the first half of a CRLF.
_EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))|\r\r\n?")
_MAX_EVENT_END_BYTES = 4
_LINE_END = re.compile(rb"\r\n|\n|\r")
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


def is_event_stream(content_type: str) -> bool:
    """Whether a Content-Type header names an event stream.

    Examples
    --------
    >>> is_event_stream("text/event-stream; charset=utf-8")
    True
    """
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM


class Place(enum.Enum):
    """Where in an event stream its bytes end so far."""

    BEFORE_FIRST = "before-first"
    INSIDE_EVENT = "inside-event"
    BETWEEN_EVENTS = "between-events"


@dataclass(frozen=True, slots=True)
class EndsBetweenEvents:
    """A whole stream ends after an event; without any it must have a framed end.

    Attributes
    ----------
    may_be_empty : bool
        Whether a whole stream may have no events, as one that is resumed after its
        last event.
    """

    may_be_empty: bool = False


@dataclass(frozen=True, slots=True)
class EndsWithEvent:
    """A whole stream ends with an event that consists of ``line``."""

    line: bytes


EndPromise = EndsBetweenEvents | EndsWithEvent


class EventSplitter:
    """Splits the bytes of one event stream into whole events.

    Parameters
    ----------
    promise : EndPromise
        What the sender promises about the end of a whole stream.

    Examples
    --------
    >>> splitter = EventSplitter(EndsBetweenEvents())
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.place, splitter.is_whole(is_framed=False)
    (<Place.INSIDE_EVENT: 'inside-event'>, False)
    >>> splitter.feed(b"ta: b\\n\\n"), splitter.is_whole(is_framed=False)
    ([b'id: 2\\ndata: b\\n\\n'], True)
    """

    def __init__(self, promise: EndPromise):
        self._promise = promise
        self._buffer = bytearray()
        self._last_event = b""

    @property
    def rest(self) -> bytes:
        """The bytes that follow the last event."""
        return bytes(self._buffer)

    @property
    def place(self) -> Place:
        """Where the bytes that were added end."""
        if self._buffer.strip(b"\r\n"):
            return Place.INSIDE_EVENT
        return Place.BETWEEN_EVENTS if self._last_event else Place.BEFORE_FIRST

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that are now whole, unchanged.

        Raises `StreamError` if an event is too large.
        """
        buffer = self._buffer
        searched_to = max(0, len(buffer) - _MAX_EVENT_END_BYTES + 1)
        buffer += data
        events: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(buffer, searched_to):
            event = bytes(buffer[start : match.end()])
            start = match.end()
            events.append(event)
            if _has_field(event):
                self._last_event = event
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise StreamError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def is_whole(self, is_framed: bool) -> bool:
        """Whether the stream is whole if it has ended in order.

        `is_framed` tells whether its end was framed, by a length or by chunks, and was
        not just that of the connection.
        """
        match self._promise:
            case EndsWithEvent(line):
                return event_lines(self._last_event) == [line]
            case EndsBetweenEvents(may_be_empty):
                if self.place is Place.BEFORE_FIRST:
                    return may_be_empty and is_framed
                return self.place is Place.BETWEEN_EVENTS


def _has_field(event: bytes) -> bool:
    """Whether an event is more than comments and empty lines."""
    return _FIELD.search(event) is not None


def event_lines(event: bytes) -> list[bytes]:
    """Return the lines of an event without their ends and without empty lines.

    Examples
    --------
    >>> event_lines(b"id: 1\\r\\ndata: a\\r\\n\\r\\n")
    [b'id: 1', b'data: a']
    """
    return [line for line in _LINE_END.split(event) if line]

"""Writes the one response of a caller's request, over all of its attempts."""

from __future__ import annotations

import json

from ..errors import PoplarwardError
from ..protocol.requests import Head, Outcome
from ..transport import Responder
from ..transport.event_streams import is_event_stream
from .retries import Failure
from .streams import Chunk
from .upstream import MAX_PLAIN_RESPONSE_BYTES, is_done_event

__all__ = ["OUTCOME_HEADER", "ResponseMismatch", "ResponseWriter", "respond_error"]

OUTCOME_HEADER = "poplarward-outcome"
RETRYABLE_STATUSES = frozenset((502, 503, 504))


class ResponseMismatch(PoplarwardError):
    """An attempt's response does not continue what the caller has received."""


class ResponseWriter:
    """Writes the response to one caller's request.

    An event stream is forwarded to the caller as it arrives, and a later attempt
    resumes after the last event. Any other response is buffered until it is complete,
    so that a failed attempt leaves no trace in it.

    Attributes
    ----------
    n_pieces : int
        Pieces of an event stream that were sent to the caller.
    is_done : bool
        Whether the last of them marks the end of the stream.
    """

    def __init__(self, responder: Responder):
        self.n_pieces = 0
        self.has_done_event = False
        self._responder = responder
        self._can_resume = False
        self._head: Head | None = None
        self._body = bytearray()

    @property
    def is_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self._responder.started

    def begin_attempt(self, can_resume: bool) -> None:
        """Prepare for the next attempt, at an upstream that can resume or not."""
        self._can_resume = can_resume
        if not self.is_started:
            self._head = None
            self._body = bytearray()

    async def write_head(self, head: Head) -> None:
        """Send or keep the head of an attempt's response; raises `ResponseMismatch`."""
        content_type = dict(head.headers).get("content-type", "")
        if self.is_started:
            if head.status != 200:
                raise ResponseMismatch(f"the resumed answer has status {head.status}")
            if not is_event_stream(content_type):
                raise ResponseMismatch("the resumed answer is no event stream")
            return
        self._head = head
        if self._can_resume and is_event_stream(content_type):
            await self._responder.start(head.status, _response_headers(head))

    async def write_chunk(self, chunk: Chunk) -> None:
        """Send or buffer the next pieces; raises `ResponseMismatch`."""
        if self.is_started:
            self.n_pieces += chunk.n_pieces
            self.has_done_event = is_done_event(chunk.last_piece)
            await self._responder.write(chunk.data)
            return
        self._body += chunk.data
        if len(self._body) > MAX_PLAIN_RESPONSE_BYTES:
            raise ResponseMismatch("the upstream's answer is too long")

    def retryable_status(self) -> int:
        """Return the status if it suggests a retry at another upstream, else 0."""
        if self.is_started or self._head is None:
            return 0
        return self._head.status if self._head.status in RETRYABLE_STATUSES else 0

    async def finish(self) -> None:
        """Send the end of a complete response."""
        if self.is_started:
            await self._responder.finish()
            return
        assert self._head is not None
        body = bytes(self._body)
        length = ("content-length", str(len(body)))
        await self._responder.start(
            self._head.status, [*_response_headers(self._head), length]
        )
        await self._responder.finish(body)

    async def fail(self, failure: Failure) -> None:
        """End a response that can not be completed with an explicit error."""
        if not self.is_started:
            await respond_error(
                self._responder,
                failure.status,
                failure.reason,
                failure.retry_after_ms,
                failure.outcome,
            )
            return
        document = {"error": failure.reason, "outcome": failure.outcome}
        line = f"event: error\ndata: {json.dumps(document)}\n\n"
        await self._responder.finish(line.encode())


def _response_headers(head: Head) -> list[tuple[str, str]]:
    forwarded = [pair for pair in head.headers if pair[0] == "content-type"]
    return [*forwarded, (OUTCOME_HEADER, Outcome.RAN.value)]


async def respond_error(
    responder: Responder,
    status: int,
    reason: str,
    retry_after_ms: float,
    outcome: Outcome = Outcome.NOT_RUN,
) -> None:
    """Send an error response with the outcome and the time to retry after."""
    document = {"error": reason, "outcome": outcome, "retry_after_ms": retry_after_ms}
    headers = [(OUTCOME_HEADER, str(outcome))]
    if retry_after_ms:
        seconds = max(1, round(retry_after_ms / 1000))
        headers.append(("retry-after", str(seconds)))
    await responder.respond_json(status, document, headers)

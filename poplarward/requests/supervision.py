"""Supervises one attempt: relays its response and determines its outcome."""

from __future__ import annotations

import trio

from ..protocol import Connection
from ..protocol.requests import End, Head, Outcome, Refusal
from .progress import RequestProgress
from .relay import Relay
from .responses import ResponseMismatch, ResponseWriter
from .retries import RETRY_AFTER_MS, Failure
from .streams import AttemptStream, Chunk, StreamFailure

__all__ = ["AttemptSupervisor"]

BAR_TIMEOUT_MS = 2_000.0
DEADLINE_BAR_TIMEOUT_MS = 250.0
DEADLINE_GRACE_MS = 250.0
SILENCE_TIMEOUT_MS = 2_000.0
END_GRACE_MS = 250.0

STATUS_OF_REFUSAL = {
    Refusal.CRASHES_UPSTREAMS: (422, True),
    Refusal.DEADLINE: (504, False),
    Refusal.KEY_CONFLICT: (422, True),
    Refusal.KEY_FULL: (503, True),
    Refusal.KEY_IN_PROGRESS: (409, True),
    Refusal.KEY_UNKNOWN: (409, True),
    Refusal.STORE_UNAVAILABLE: (503, True),
}


class AttemptSupervisor:
    """Supervises submitted attempts until they end.

    Parameters
    ----------
    relay : Relay
        The attempts in flight.
    """

    def __init__(self, relay: Relay):
        self._relay = relay

    async def supervise(
        self, connection: Connection, stream: AttemptStream, progress: RequestProgress
    ) -> Failure | None:
        """Relay an attempt's response; returns the failure, or None on success."""
        try:
            failure = await self._relay_response(stream, progress)
            if failure is None or stream.has_end:
                return failure
            return await self._resolve(connection, stream, progress, failure)
        except trio.Cancelled:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await self._relay.cancel(stream)
            raise
        finally:
            self._relay.discard(stream)

    async def _relay_response(
        self, stream: AttemptStream, progress: RequestProgress
    ) -> Failure | None:
        deadline_at = progress.expires_at + DEADLINE_GRACE_MS / 1000
        while True:
            silent_at = trio.current_time() + SILENCE_TIMEOUT_MS / 1000
            with trio.move_on_at(min(deadline_at, silent_at)) as wait:
                event = await stream.next_event()
            if not wait.cancelled_caught:
                try:
                    if isinstance(event, End | StreamFailure):
                        return await _finish(event, progress)
                    await _write(event, progress.response)
                except ResponseMismatch as error:
                    return Failure(Outcome.UNKNOWN, str(error), 502, is_final=True)
            elif trio.current_time() >= deadline_at:
                return Failure(Outcome.UNKNOWN, "the deadline has passed", 504)
            elif not await self._relay.is_in_flight(stream):
                # The end may still be in transit.
                await trio.sleep(END_GRACE_MS / 1000)
                stream.fail("the agent does not answer for the attempt")

    async def _resolve(
        self,
        connection: Connection,
        stream: AttemptStream,
        progress: RequestProgress,
        failure: Failure,
    ) -> Failure:
        """Stop an attempt whose end was not received and determine its outcome."""
        timeout_ms = BAR_TIMEOUT_MS
        if progress.request.repeatable:
            await self._relay.cancel(stream)
            timeout_ms = DEADLINE_BAR_TIMEOUT_MS
            if progress.remaining_ms:
                # Another attempt is safe, whatever the outcome of this one.
                return failure
        outcome = await self._relay.bar(connection, stream.request_id, timeout_ms)
        if outcome is Outcome.RAN:
            reason = f"{failure.reason}; it ran and its answer was lost"
            return failure._replace(outcome=outcome, reason=reason)
        return failure._replace(outcome=outcome)


async def _write(event: Head | Chunk, response: ResponseWriter) -> None:
    match event:
        case Head():
            await response.write_head(event)
        case Chunk():
            await response.write_chunk(event)


async def _finish(
    event: End | StreamFailure, progress: RequestProgress
) -> Failure | None:
    """Finish the response, or return the failure of the attempt."""
    response = progress.response
    match event:
        case End(error=""):
            status = response.retryable_status()
            if status and progress.request.repeatable:
                return Failure(
                    Outcome.UNKNOWN,
                    f"the upstream answered with status {status}",
                    status,
                    RETRY_AFTER_MS,
                )
        case _ if response.has_done_event:
            # Only the end was lost; the caller has received every piece.
            pass
        case StreamFailure(reason=reason, is_final=is_final):
            return Failure(Outcome.UNKNOWN, reason, 502, is_final=is_final)
        case End(outcome=outcome, error=error, refusal=refusal):
            default_status = 503 if outcome is Outcome.NOT_RUN else 502
            status, is_final = STATUS_OF_REFUSAL.get(refusal, (default_status, False))
            if refusal is Refusal.CRASHES_UPSTREAMS and not progress.request.repeatable:
                # An earlier attempt may have run before the upstream crashed.
                outcome = Outcome.UNKNOWN
            is_planned = refusal in (Refusal.LEAVING, Refusal.MOVED)
            return Failure(
                outcome, error, status, event.retry_after_ms, is_final, is_planned
            )
    await response.finish()
    return None

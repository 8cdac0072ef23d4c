"""Follows one attempt: relays its answer, and learns how it ended."""

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
    Refusal.STORE_AWAY: (503, True),
}


class AttemptSupervisor:
    """Follows attempts that were submitted, each to its end.

    Parameters
    ----------
    relay : Relay
        The attempts in progress.
    """

    def __init__(self, relay: Relay):
        self._relay = relay

    async def supervise(
        self, connection: Connection, stream: AttemptStream, progress: RequestProgress
    ) -> Failure | None:
        """Relay an attempt's answer and learn the outcome of one that failed."""
        try:
            failure = await self._relay_answer(stream, progress)
            if failure is None or stream.has_end:
                return failure
            return await self._settle(connection, stream, progress, failure)
        except trio.Cancelled:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await self._relay.cancel(stream)
            raise
        finally:
            self._relay.discard(stream)

    async def _relay_answer(
        self, stream: AttemptStream, progress: RequestProgress
    ) -> Failure | None:
        ends_at = progress.expires_at + DEADLINE_GRACE_MS / 1000
        while True:
            quiet_at = trio.current_time() + SILENCE_TIMEOUT_MS / 1000
            with trio.move_on_at(min(ends_at, quiet_at)) as wait:
                event = await stream.next()
            if not wait.cancelled_caught:
                try:
                    if isinstance(event, End | StreamFailure):
                        return await _end(event, progress)
                    await _pass_on(event, progress.answer)
                except ResponseMismatch as error:
                    return Failure(Outcome.UNKNOWN, str(error), 502, is_final=True)
            elif trio.current_time() >= ends_at:
                return Failure(Outcome.UNKNOWN, "the deadline has passed", 504)
            elif not await self._relay.is_in_flight(stream):
                # The end may be on its way still.
                await trio.sleep(END_GRACE_MS / 1000)
                stream.fail("the agent does not answer for the attempt")

    async def _settle(
        self,
        connection: Connection,
        stream: AttemptStream,
        progress: RequestProgress,
        failure: Failure,
    ) -> Failure:
        """Stop an attempt whose end did not come and learn its outcome."""
        timeout_ms = BAR_TIMEOUT_MS
        if progress.request.repeatable:
            await self._relay.cancel(stream)
            timeout_ms = DEADLINE_BAR_TIMEOUT_MS
            if progress.left_ms:
                # Another attempt does no harm, whatever became of this one.
                return failure
        outcome = await self._relay.bar(connection, stream.request_id, timeout_ms)
        if outcome is Outcome.RAN:
            reason = f"{failure.reason}; it ran and its answer was lost"
            return failure._replace(outcome=outcome, reason=reason)
        return failure._replace(outcome=outcome)


async def _pass_on(event: Head | Chunk, answer: ResponseWriter) -> None:
    match event:
        case Head():
            await answer.head(event)
        case Chunk():
            await answer.chunk(event)


async def _end(event: End | StreamFailure, progress: RequestProgress) -> Failure | None:
    """Finish the answer, or return how the attempt failed."""
    answer = progress.answer
    match event:
        case End(error=""):
            status = answer.retryable_status()
            if status and progress.request.repeatable:
                return Failure(
                    Outcome.UNKNOWN,
                    f"the upstream answered with status {status}",
                    status,
                    RETRY_AFTER_MS,
                )
        case _ if answer.has_done_event:
            # Only the end was lost; the caller has every piece.
            pass
        case StreamFailure(reason=reason, is_final=is_final):
            return Failure(Outcome.UNKNOWN, reason, 502, is_final=is_final)
        case End(outcome=outcome, error=error, refusal=refusal):
            by_default = 503 if outcome is Outcome.NOT_RUN else 502
            status, is_final = STATUS_OF_REFUSAL.get(refusal, (by_default, False))
            if refusal is Refusal.CRASHES_UPSTREAMS and not progress.request.repeatable:
                # An earlier one may have run before the crash.
                outcome = Outcome.UNKNOWN
            is_planned = refusal in (Refusal.LEAVING, Refusal.MOVED)
            return Failure(
                outcome, error, status, event.retry_after_ms, is_final, is_planned
            )
    await answer.finish()
    return None

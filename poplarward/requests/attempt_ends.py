"""Builds the `End` messages of attempts without a complete response."""

from __future__ import annotations

import dataclasses

from ..errors import Refused
from ..protocol.reports import UpstreamState
from ..protocol.requests import End, Head, Outcome, Refusal, Submit
from .in_flight import InFlightAttempt
from .payments import Record

__all__ = [
    "QUARANTINE_REASON",
    "overloaded_end",
    "quarantined_end",
    "replay_recorded_response",
    "stopped_end",
    "unavailable_end",
]

QUARANTINE_REASON = "the request has crashed upstreams and is refused for a while"


def unavailable_end(submit: Submit, state: UpstreamState) -> End:
    """Return the end of an attempt that arrived while none are accepted."""
    return End(
        submit.request_id,
        Outcome.NOT_RUN,
        submit.n_pieces_received,
        f"agent is {state}",
        refusal=Refusal.LEAVING if state is UpstreamState.LEAVING else Refusal.NONE,
    )


def quarantined_end(submit: Submit, retry_after_ms: int) -> End:
    """Return the end of an attempt of a quarantined request."""
    return End(
        submit.request_id,
        Outcome.NOT_RUN,
        submit.n_pieces_received,
        QUARANTINE_REASON,
        retry_after_ms,
        Refusal.CRASHES_UPSTREAMS,
    )


def overloaded_end(attempt: InFlightAttempt, error: Refused) -> End:
    """Return the end of an attempt that got no slot."""
    return End(
        attempt.submit.request_id,
        Outcome.NOT_RUN,
        attempt.n_pieces,
        str(error),
        int(error.retry_after_ms),
        Refusal.OVERLOADED,
    )


def stopped_end(attempt: InFlightAttempt) -> End:
    """Return the end of an attempt that was stopped or passed its deadline."""
    end = End(
        attempt.submit.request_id,
        Outcome.NOT_RUN,
        attempt.n_pieces,
        "stopped before its start",
        refusal=attempt.refusal if attempt.barred else Refusal.DEADLINE,
    )
    if attempt.started:
        is_moved = attempt.refusal is Refusal.MOVED
        reason = "moved, since the agent stops" if is_moved else "stopped while it ran"
        return dataclasses.replace(
            end,
            outcome=Outcome.UNKNOWN,
            error=reason,
            refusal=Refusal.MOVED if is_moved else end.refusal,
        )
    return end


def replay_recorded_response(attempt: InFlightAttempt, record: Record) -> End:
    """Send the response recorded for the attempt's key; returns the attempt's end."""
    request_id = attempt.submit.request_id
    if record.is_body_omitted:
        reason = f"it ran before with status {record.status}; its answer was not kept"
        return End(request_id, Outcome.RAN, 0, reason)
    headers = [("content-type", record.content_type)]
    attempt.batcher.add_head(Head(request_id, record.status, headers))
    if record.body:
        attempt.batcher.add_piece(request_id, 0, record.body, is_stream=False)
        attempt.n_pieces = 1
    return End(request_id, Outcome.RAN, attempt.n_pieces)

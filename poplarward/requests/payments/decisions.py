"""Decisions on calls that carry an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from ...protocol.requests import Outcome, Refusal
from .journal import Record, RecordState

__all__ = ["CallDecision", "Forward", "Reject", "Replay", "decide"]

IN_PROGRESS_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the call; no other agent will ever do so."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Replay the recorded response."""

    record: Record


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the call with a reason."""

    refusal: Refusal
    outcome: Outcome
    reason: str
    retry_after_ms: int = 0


CallDecision = Forward | Replay | Reject

CONFLICT = Reject(
    Refusal.KEY_CONFLICT,
    Outcome.NOT_RUN,
    "the key was used before with another request",
)
IN_PROGRESS = Reject(
    Refusal.KEY_IN_PROGRESS,
    Outcome.UNKNOWN,
    "a request with this key is in progress",
    IN_PROGRESS_RETRY_MS,
)
UNKNOWN = Reject(
    Refusal.KEY_UNKNOWN,
    Outcome.UNKNOWN,
    "a request with this key may have run; look into the service's own record",
)


def decide(existing: Record | None, new: Record, in_flight: bool) -> CallDecision:
    """Decide on a call from the record of its key.

    A started record that is owned by this incarnation of the agent but not in flight
    belongs to a call that was never forwarded: a forwarded call stays in flight until
    its result is recorded.

    Parameters
    ----------
    existing : Record, optional
        The record of the key in the journal.
    new : Record
        The record to write if the call is forwarded.
    in_flight : bool
        Whether this agent is running a call with the key.
    """
    if existing is None:
        return Forward()
    if existing.digest != new.digest:
        return CONFLICT
    if existing.state is RecordState.DONE:
        return Replay(existing)
    if existing.state is RecordState.UNKNOWN:
        return UNKNOWN
    if in_flight:
        return IN_PROGRESS
    return Forward() if existing.owner == new.owner else UNKNOWN

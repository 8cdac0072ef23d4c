"""What an agent does with a call that carries an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from ...protocol.requests import Outcome, Refusal
from .journal import Record, RecordState

__all__ = ["CallDecision", "Forward", "Reject", "Replay", "decide"]

IN_PROGRESS_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the call; no other agent ever will."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the answer that the call had before."""

    record: Record


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the call."""

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


def decide(held: Record | None, new: Record, in_hand: bool) -> CallDecision:
    """Judge a call by the record of its key.

    A record that this very start of the agent began, of a call that it has not in
    hand, was never forwarded: whatever it forwards it keeps in hand until the record
    says how the call ended.

    Parameters
    ----------
    held : Record, optional
        What the journal has of the key.
    new : Record
        What it will have if the call is run.
    in_hand : bool
        Whether this agent is running a call with the key.
    """
    if held is None:
        return Forward()
    if held.digest != new.digest:
        return CONFLICT
    if held.state is RecordState.DONE:
        return Replay(held)
    if held.state is RecordState.UNKNOWN:
        return UNKNOWN
    if in_hand:
        return IN_PROGRESS
    return Forward() if held.owner == new.owner else UNKNOWN

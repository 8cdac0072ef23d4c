"""Responses to callers that are no upstream's answer."""

from __future__ import annotations

from ..protocol.requests import Outcome
from ..transport import Responder

__all__ = ["OUTCOME_HEADER", "respond_error"]

OUTCOME_HEADER = "poplarward-outcome"


async def respond_error(
    responder: Responder,
    status: int,
    reason: str,
    retry_after_ms: float,
    outcome: Outcome = Outcome.NOT_RUN,
) -> None:
    """Send a whole response that tells the outcome and when to come back."""
    document = {"error": reason, "outcome": outcome, "retry_after_ms": retry_after_ms}
    headers = [(OUTCOME_HEADER, str(outcome))]
    if retry_after_ms:
        seconds = max(1, round(retry_after_ms / 1000))
        headers.append(("retry-after", str(seconds)))
    await responder.respond_json(status, document, headers)

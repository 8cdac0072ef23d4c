"""Decides whether a request is retried after an attempt has failed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..protocol.outcomes import Outcome

__all__ = [
    "RETRY_AFTER_MS",
    "Failure",
    "GiveUp",
    "RequestRetryBudget",
    "Retry",
    "RetryContext",
    "RetryLimiter",
    "combine_outcomes",
    "decide_retry",
]

MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000
MIN_REMAINING_MS = 20.0
RETRIES_PER_REQUEST = 0.2
INITIAL_RETRIES = 10.0
MAX_AVAILABLE_RETRIES = 100.0


class Failure(NamedTuple):
    """How an attempt failed.

    Attributes
    ----------
    outcome : Outcome
        What is known of the attempt's effect.
    reason : str
    status : int
        HTTP status for the caller if no other attempt is made.
    retry_after_ms : float
        When the caller may retry; 0 if a retry is of no use.
    is_final : bool
        Whether another attempt would fail in the same way.
    is_planned : bool
        Whether the agent returned the attempt because its host is draining.
    """

    outcome: Outcome
    reason: str
    status: int
    retry_after_ms: float = 0.0
    is_final: bool = False
    is_planned: bool = False


class RetryContext(NamedTuple):
    """What the decision on a retry depends on.

    Attributes
    ----------
    repeatable : bool
        Whether another attempt is safe: the request is idempotent, or its idempotency
        key makes it run at most once.
    n_attempts : int
        Attempts made so far, without those that a draining host returned.
    remaining_ms : float
        Time left until the request's deadline.
    max_attempts : int
        Upper limit of attempts for the request.
    """

    repeatable: bool
    n_attempts: int
    remaining_ms: float
    max_attempts: int = MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt, at a different agent."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Report the failure to the caller now."""

    reason: str


class RetryLimiter(Protocol):
    """Interface of objects that limit the retries of a process."""

    def take(self) -> bool:
        """Consume one retry; returns False if none is left."""
        ...


class RequestRetryBudget:
    """Limits retries to a fraction of the requests.

    Every request adds `share` of a retry to the budget and every retry consumes one.
    Over any period, the attempts are therefore at most `1 + share` times the
    requests, plus the initial budget.

    Examples
    --------
    >>> budget = RequestRetryBudget(share=0.5, initial=0)
    >>> budget.record_request()
    >>> budget.take()
    False
    >>> budget.record_request()
    >>> budget.take()
    True
    """

    def __init__(
        self,
        share: float = RETRIES_PER_REQUEST,
        initial: float = INITIAL_RETRIES,
        limit: float = MAX_AVAILABLE_RETRIES,
    ):
        self._share = share
        self._limit = limit
        self._n_available = initial

    def record_request(self) -> None:
        """Add to the budget for the first attempt of a request."""
        self._n_available = min(self._limit, self._n_available + self._share)

    def take(self) -> bool:
        """Consume one retry; returns False if none is left."""
        if self._n_available < 1:
            return False
        self._n_available -= 1
        return True


def decide_retry(
    failure: Failure, context: RetryContext, budget: RetryLimiter
) -> Retry | GiveUp:
    """Return whether to retry after a failed attempt.

    A request that is not repeatable is retried only if it certainly did not run. An
    attempt returned by a draining agent is no sign of overload, and each agent returns
    an attempt at most once, so retrying it consumes nothing from the budget.
    """
    if failure.is_final:
        return GiveUp(failure.reason)
    if failure.outcome is not Outcome.NOT_RUN and not context.repeatable:
        return GiveUp(failure.reason)
    if context.remaining_ms < MIN_REMAINING_MS:
        return GiveUp(f"the deadline has passed; last attempt: {failure.reason}")
    if failure.is_planned:
        return Retry()
    if context.n_attempts >= context.max_attempts:
        return GiveUp(f"{context.n_attempts} attempts failed: {failure.reason}")
    if not budget.take():
        return GiveUp(f"too many retries at present: {failure.reason}")
    return Retry()


def combine_outcomes(earlier: Outcome, later: Outcome) -> Outcome:
    """Return the combined outcome of two attempts of a request.

    Examples
    --------
    >>> combine_outcomes(Outcome.UNKNOWN, Outcome.NOT_RUN)
    <Outcome.UNKNOWN: 'unknown'>
    """
    outcomes = (earlier, later)
    if Outcome.RAN in outcomes:
        return Outcome.RAN
    return Outcome.UNKNOWN if Outcome.UNKNOWN in outcomes else Outcome.NOT_RUN

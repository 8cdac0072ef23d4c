"""Decides whether a request is tried again after an attempt has failed."""

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
MIN_TIME_LEFT_MS = 20.0
RETRIES_PER_REQUEST = 0.2
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


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
        When the caller may come back; 0 if coming back is of no use.
    is_final : bool
        Whether another attempt would fail likewise.
    is_planned : bool
        Whether the agent gave the attempt up because its host leaves.
    """

    outcome: Outcome
    reason: str
    status: int
    retry_after_ms: float = 0.0
    is_final: bool = False
    is_planned: bool = False


class RetryContext(NamedTuple):
    """How far a request has come.

    Attributes
    ----------
    repeatable : bool
        Whether another attempt does no harm: the request is idempotent, or its key
        makes it run at most once.
    n_attempts : int
        Attempts made so far, without those that ended as planned.
    left_ms : float
        Time until the request's deadline.
    max_attempts : int
        Attempts that the request may have.
    """

    repeatable: bool
    n_attempts: int
    left_ms: float
    max_attempts: int = MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt, at another agent."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now."""

    reason: str


class RetryLimiter(Protocol):
    """Whatever bounds the retries of a process."""

    def take(self) -> bool:
        """Take one retry; returns whether there was one."""
        ...


class RequestRetryBudget:
    """Bounds retries to a share of requests.

    Every request adds a share of a retry, and a retry takes a whole one, so over any
    time the attempts are at most `1 + share` times the requests, plus the initial
    allowance.

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
        limit: float = MAX_SAVED_RETRIES,
    ):
        self._share = share
        self._limit = limit
        self._n_retries = initial

    def record_request(self) -> None:
        """Count a request's first attempt."""
        self._n_retries = min(self._limit, self._n_retries + self._share)

    def take(self) -> bool:
        """Take one retry; returns whether there was one."""
        if self._n_retries < 1:
            return False
        self._n_retries -= 1
        return True


def decide_retry(
    failure: Failure, progress: RetryContext, budget: RetryLimiter
) -> Retry | GiveUp:
    """Return what to do after a failed attempt.

    A call that may not be repeated is tried again only if it surely did not run. An
    agent that leaves is no sign of overload, and gives up each attempt once, so moving
    on from it takes nothing from the budget.
    """
    if failure.is_final:
        return GiveUp(failure.reason)
    if failure.outcome is not Outcome.NOT_RUN and not progress.repeatable:
        return GiveUp(failure.reason)
    if progress.left_ms < MIN_TIME_LEFT_MS:
        return GiveUp(f"the deadline has passed; last attempt: {failure.reason}")
    if failure.is_planned:
        return Retry()
    if progress.n_attempts >= progress.max_attempts:
        return GiveUp(f"{progress.n_attempts} attempts failed: {failure.reason}")
    if not budget.take():
        return GiveUp(f"too many retries at present: {failure.reason}")
    return Retry()


def combine_outcomes(earlier: Outcome, later: Outcome) -> Outcome:
    """Return what is known of a request after two of its attempts.

    Examples
    --------
    >>> combine_outcomes(Outcome.UNKNOWN, Outcome.NOT_RUN)
    <Outcome.UNKNOWN: 'unknown'>
    """
    both = (earlier, later)
    if Outcome.RAN in both:
        return Outcome.RAN
    return Outcome.UNKNOWN if Outcome.UNKNOWN in both else Outcome.NOT_RUN

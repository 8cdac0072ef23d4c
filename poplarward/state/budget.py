"""Limits the rate of retries that a process makes after failed calls."""

from __future__ import annotations

import random

import trio

__all__ = ["Backoff", "RetryBudget"]

RETRIES_PER_S = 0.2
MAX_BURST_RETRIES = 10
INITIAL_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 10_000.0
MIN_WAIT_S = 0.001


class RetryBudget:
    """A token bucket that all retries of a process share.

    First attempts are not counted: their number follows the workload. The number of
    retries follows the failures, so without a common limit an outage would multiply
    the calls.

    Parameters
    ----------
    retries_per_s : float
        Sustained rate of retries.
    max_burst_retries : int
        Retries that may be made at once after a time without retries.

    Examples
    --------
    >>> budget = RetryBudget(retries_per_s=1, max_burst_retries=2)
    >>> [budget.take(now_s=5.0) for _ in range(3)]
    [True, True, False]
    >>> budget.take(now_s=6.0)
    True
    """

    def __init__(
        self,
        retries_per_s: float = RETRIES_PER_S,
        max_burst_retries: int = MAX_BURST_RETRIES,
    ):
        self._retries_per_s = retries_per_s
        self._max_burst = float(max_burst_retries)
        self._n_available = self._max_burst
        self._refilled_at_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take one retry if one is available; returns whether it was."""
        if self._refilled_at_s is not None:
            gained = (now_s - self._refilled_at_s) * self._retries_per_s
            self._n_available = min(self._max_burst, self._n_available + gained)
        self._refilled_at_s = now_s
        if self._n_available < 1:
            return False
        self._n_available -= 1
        return True

    async def wait(self) -> None:
        """Wait until a retry is available and take it."""
        while not self.take(trio.current_time()):
            missing_s = (1 - self._n_available) / self._retries_per_s
            await trio.sleep(max(missing_s, MIN_WAIT_S))


class Backoff:
    """Exponential backoff with full jitter, for the retries of one task.

    Parameters
    ----------
    budget : RetryBudget
        Shared by all tasks of the process.
    rng : random.Random
        Source of the jitter; each process needs a different seed.
    """

    def __init__(
        self,
        budget: RetryBudget,
        rng: random.Random,
        initial_backoff_ms: float = INITIAL_BACKOFF_MS,
        max_backoff_ms: float = MAX_BACKOFF_MS,
    ):
        self._budget = budget
        self._rng = rng
        self._initial_backoff_ms = initial_backoff_ms
        self._max_backoff_ms = max_backoff_ms
        self._n_failures = 0

    def reset(self) -> None:
        """Return to the initial backoff, after a success."""
        self._n_failures = 0

    async def wait(self) -> None:
        """Wait for the next backoff, then until the budget allows a retry."""
        await trio.sleep(self._next_backoff_ms() / 1000)
        await self._budget.wait()

    def _next_backoff_ms(self) -> float:
        doublings = min(self._n_failures, 20)
        self._n_failures += 1
        limit_ms = min(self._max_backoff_ms, self._initial_backoff_ms * 2**doublings)
        return self._rng.uniform(0, limit_ms)

"""Bounds how many further calls a process makes after calls that failed."""

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

    First tries are not counted: they follow the work there is to do. Retries follow
    the failures, so without a common bound an outage would multiply the calls.

    Parameters
    ----------
    retries_per_s : float
        Rate that can go on for ever.
    max_burst_retries : int
        Retries that may be made at once after a quiet time.

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
        self._n_left = self._max_burst
        self._counted_at_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take one retry if there is one left."""
        if self._counted_at_s is not None:
            gained = (now_s - self._counted_at_s) * self._retries_per_s
            self._n_left = min(self._max_burst, self._n_left + gained)
        self._counted_at_s = now_s
        if self._n_left < 1:
            return False
        self._n_left -= 1
        return True

    async def wait(self) -> None:
        """Wait until a retry is left and take it."""
        while not self.take(trio.current_time()):
            missing_s = (1 - self._n_left) / self._retries_per_s
            await trio.sleep(max(missing_s, MIN_WAIT_S))


class Backoff:
    """Pauses before the retries of one task: exponential, with full jitter.

    Parameters
    ----------
    budget : RetryBudget
        Shared by all tasks of the process.
    rng : random.Random
        Source of the jitter; processes need different seeds.
    """

    def __init__(
        self,
        budget: RetryBudget,
        rng: random.Random,
        first_pause_ms: float = INITIAL_BACKOFF_MS,
        max_pause_ms: float = MAX_BACKOFF_MS,
    ):
        self._budget = budget
        self._rng = rng
        self._first_pause_ms = first_pause_ms
        self._max_pause_ms = max_pause_ms
        self._n_failures = 0

    def reset(self) -> None:
        """Begin again with short pauses, after a success."""
        self._n_failures = 0

    async def wait(self) -> None:
        """Wait before the next retry, and until the budget allows it."""
        await trio.sleep(self._next_pause_ms() / 1000)
        await self._budget.wait()

    def _next_pause_ms(self) -> float:
        doublings = min(self._n_failures, 20)
        self._n_failures += 1
        limit_ms = min(self._max_pause_ms, self._first_pause_ms * 2**doublings)
        return self._rng.uniform(0, limit_ms)

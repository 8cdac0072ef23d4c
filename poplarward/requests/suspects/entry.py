"""The verdict on one request or part of prompts, and how two verdicts merge."""

from __future__ import annotations

from typing import NamedTuple

from ...protocol.verdicts import Verdict
from .identification import CLEARLY_BROADER, PROOF_CRASHES, REPEATED_CRASHES

__all__ = ["Entry"]

MAX_CRASH_IDS = 8  # Of a part: those of three requests that were at three crashes each.
MAX_TRIALS = 2
TRIAL_DELAY_S = 60.0
BROAD_TRIAL_DELAY_S = 2.0
TRIAL_DELAY_FACTOR = 4.0
MIN_BROAD_REQUESTS = 16


class Entry(NamedTuple):
    """The verdict on a request or a part of prompts.

    Attributes
    ----------
    verdict : Verdict
    n_rounds, n_crashes : int
        See `Suspicion`.
    crash_ids : frozenset of int
        Empty if the crashes are only counted, as agents do.
    n_requests : int
        Requests with a part; 0 for a whole request. See `Evidence`.
    has_run : bool
        Whether requests with a part ran in order before.
    n_trials : int
        How often it was tried again since it was quarantined.
    expires_at, crashed_at, judged_at : float
        Times in s: of the end of the verdict, and when this process learned of the last
        crash and of the verdict or its last trial.
    changed_at : int
        Number of the table's change that stored the entry.
    """

    verdict: Verdict
    n_rounds: int = 0
    n_crashes: int = 1
    crash_ids: frozenset[int] = frozenset()
    n_requests: int = 0
    has_run: bool = False
    n_trials: int = 0
    expires_at: float = 0.0
    changed_at: int = 0
    crashed_at: float = 0.0
    judged_at: float = 0.0

    @property
    def is_part(self) -> bool:
        """Whether this is on a part of prompts, not on a whole request."""
        return self.n_requests > 0

    @property
    def is_repeated(self) -> bool:
        """Whether it was at several crashes and has not been cleared."""
        return (
            self.verdict is not Verdict.CLEARED
            and len(self.crash_ids) >= REPEATED_CRASHES
        )

    def merge(self, other: Entry) -> Entry:
        """Return what follows from two verdicts of the same round."""
        merged = self._replace(
            verdict=max(self.verdict, other.verdict),
            crash_ids=self.crash_ids | other.crash_ids,
            n_requests=max(self.n_requests, other.n_requests),
            has_run=self.has_run or other.has_run,
            n_trials=max(self.n_trials, other.n_trials),
        ).bounded()
        n_crashes = max(self.n_crashes, other.n_crashes, len(merged.crash_ids))
        return merged._replace(n_crashes=n_crashes)

    def bounded(self) -> Entry:
        """Return the same with as many crashes as are needed as proof.

        All processes keep the same ones.
        """
        n_crashes = MAX_CRASH_IDS if self.is_part else PROOF_CRASHES
        return self._replace(crash_ids=frozenset(sorted(self.crash_ids)[:n_crashes]))

    def lacks(self, other: Entry) -> bool:
        """Whether another verdict of the same round tells something new."""
        return (
            other.verdict > self.verdict
            or other.n_crashes > self.n_crashes
            or other.has_run > self.has_run
            or other.n_trials > self.n_trials
            # The numbers of requests are compared by their magnitude alone.
            or other.n_requests >= max(1.0, CLEARLY_BROADER * self.n_requests)
            or self.merge(other).crash_ids != self.crash_ids
        )

    @property
    def is_lasting(self) -> bool:
        """Whether it is quarantined or was at several crashes."""
        return self.verdict is Verdict.QUARANTINED or self.is_repeated

    @property
    def trial_due_at(self) -> float:
        """Time in s from which it may be tried again; infinite if it may not.

        The delay is short for a part that many requests have or that has run in order
        before, as the verdict may well be wrong. It grows with each trial.
        """
        if self.verdict is not Verdict.QUARANTINED or self.n_trials >= MAX_TRIALS:
            return float("inf")
        is_broad = self.has_run or self.n_requests >= MIN_BROAD_REQUESTS
        delay_s = BROAD_TRIAL_DELAY_S if is_broad else TRIAL_DELAY_S
        return self.judged_at + delay_s * TRIAL_DELAY_FACTOR**self.n_trials

"""Verdicts on requests that are suspected of crashing upstreams."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

__all__ = ["SharedVerdict", "Suspicion", "Verdict"]


class Verdict(IntEnum):
    """Classification of a request that was on an upstream when it crashed.

    Of two verdicts on the same suspicion the greater one takes precedence.
    """

    SUSPECT = 1
    QUARANTINED = 2
    CLEARED = 3


class Suspicion(NamedTuple):
    """The current verdict on one request or part of prompts.

    Attributes
    ----------
    digest : int
        Identifies the request or part, see `request_digest` and `part_digest`.
    n_rounds : int
        Increases when a cleared request is suspected again.
    n_crashes : int
        Crashes that the request is suspected of in this round.
    left_ms : int
        Remaining lifetime of the verdict when the message was sent.
    """

    digest: int
    verdict: Verdict
    n_rounds: int
    n_crashes: int
    left_ms: int


class SharedVerdict(NamedTuple):
    """A verdict and the crashes that it follows from.

    Attributes
    ----------
    crash_ids : tuple of int
        Crashes of this round, see `crash_id`; empty where they are only counted.
    n_requests : int
        Requests with a part of prompts, as counted by the process that had most; 0 for
        a whole request.
    has_run : bool
        Whether requests with a part ran in order before.
    n_trials : int
        How often what is quarantined was tried again.
    """

    suspicion: Suspicion
    crash_ids: tuple[int, ...] = ()
    n_requests: int = 0
    has_run: bool = False
    n_trials: int = 0

    @property
    def is_part(self) -> bool:
        """Whether the verdict is on a part of prompts, not on a whole request."""
        return self.n_requests > 0

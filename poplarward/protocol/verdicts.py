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
    """The current verdict on one request.

    Attributes
    ----------
    digest : int
        Identifies the request, see `request_digest`.
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
    """

    suspicion: Suspicion
    crash_ids: tuple[int, ...] = ()

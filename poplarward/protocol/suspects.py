"""Messages by which processes tell each other which requests crash upstreams."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .codec import message

__all__ = ["Suspicion", "Suspicions", "SuspicionsAcknowledged", "Verdict"]


class Verdict(IntEnum):
    """What is known of a request that was on an upstream when it crashed.

    Of two verdicts on the same suspicion the greater one holds.
    """

    SUSPECT = 1
    QUARANTINED = 2
    CLEARED = 3


class Suspicion(NamedTuple):
    """The verdict on one request.

    Attributes
    ----------
    digest : int
        Names the request, see `request_digest`.
    n_rounds : int
        Rises when a request that was cleared is suspected again.
    n_crashes : int
        Crashes that it was suspected for in this round.
    left_ms : int
        How long the verdict holds from the sending on.
    """

    digest: int
    verdict: Verdict
    n_rounds: int
    n_crashes: int
    left_ms: int


@message(310)
class Suspicions:
    """Verdicts that the sender has learnt and the receiver may not know."""

    entries: list[Suspicion]


@message(311)
class SuspicionsAcknowledged:
    """Reply to `Suspicions`."""

    n_entries: int

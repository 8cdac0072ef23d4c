"""Messages for sharing which requests are suspected of crashing upstreams."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from .codec import message

__all__ = ["Suspicion", "Suspicions", "SuspicionsAcknowledged", "Verdict"]


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


@message(310)
class Suspicions:
    """Verdicts known to the sender and possibly not to the receiver.

    Attributes
    ----------
    crash_ids : sequence of sequence of int
        For each entry, the crashes of this round; empty where they are only counted.
    """

    entries: list[Suspicion]
    crash_ids: Sequence[Sequence[int]] = ()


@message(311)
class SuspicionsAcknowledged:
    """Reply to `Suspicions`."""

    n_entries: int

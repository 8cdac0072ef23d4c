"""Messages for sharing which requests are suspected of crashing upstreams."""

from __future__ import annotations

from .codec import message
from .verdicts import Suspicion, Verdict

__all__ = ["Suspicion", "Suspicions", "SuspicionsAcknowledged", "Verdict"]


@message(310)
class Suspicions:
    """Verdicts known to the sender and possibly not to the receiver."""

    entries: list[Suspicion]


@message(311)
class SuspicionsAcknowledged:
    """Reply to `Suspicions`."""

    n_entries: int

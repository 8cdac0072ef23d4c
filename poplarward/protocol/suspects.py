"""Messages for sharing which requests are suspected of crashing upstreams."""

from __future__ import annotations

from dataclasses import field

from .codec import message
from .verdicts import SharedVerdict, Suspicion, Verdict

__all__ = [
    "SharedVerdict",
    "Suspicion",
    "Suspicions",
    "SuspicionsAcknowledged",
    "Verdict",
]


@message(310)
class Suspicions:
    """Verdicts known to the sender and possibly not to the receiver.

    Attributes
    ----------
    entries : list of Suspicion
        Verdicts on whole requests.
    shared : list of SharedVerdict
        Verdicts on parts of prompts, and the crashes of requests.
    """

    entries: list[Suspicion]
    shared: list[SharedVerdict] = field(default_factory=list)


@message(311)
class SuspicionsAcknowledged:
    """Reply to `Suspicions`."""

    n_entries: int

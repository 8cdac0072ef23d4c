"""Messages about attempts in hand at an agent."""

from __future__ import annotations

from .codec import message
from .identity import RequestId

__all__ = ["AttemptQuery", "AttemptState"]


@message(300)
class AttemptQuery:
    """Asks an agent whether it still has an attempt in hand."""

    request_id: RequestId


@message(301)
class AttemptState:
    """Reply to `AttemptQuery`; an attempt in hand waits, runs or sends its end."""

    request_id: RequestId
    is_in_flight: bool

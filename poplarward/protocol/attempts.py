"""Messages about attempts in flight at an agent."""

from __future__ import annotations

from .codec import message
from .identity import RequestId

__all__ = ["AttemptQuery", "AttemptState"]


@message(300)
class AttemptQuery:
    """Asks an agent whether an attempt is still in flight there."""

    request_id: RequestId


@message(301)
class AttemptState:
    """Reply to `AttemptQuery`; in flight means queued, running or sending its end."""

    request_id: RequestId
    is_in_flight: bool

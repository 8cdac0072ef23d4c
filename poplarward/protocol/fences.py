"""Messages by which agents of a group tell each other their fencing numbers."""

from __future__ import annotations

from .codec import message

__all__ = ["FenceQuery", "FenceReply"]


@message(100)
class FenceQuery:
    """Asks for the greatest fencing number seen for a scope."""

    scope: str


@message(101)
class FenceReply:
    """The greatest number seen; ``fence`` is None if the agent has learnt none."""

    fence: int | None

"""Messages by which agents of a group find each other and their fencing numbers."""

from __future__ import annotations

from ..transport import Address
from .codec import message

__all__ = ["FenceQuery", "FenceReply", "GroupAgentsQuery", "GroupAgentsReply"]


@message(100)
class FenceQuery:
    """Asks for the greatest fencing number seen for a scope."""

    scope: str


@message(101)
class FenceReply:
    """The greatest number seen; ``fence`` is None if the agent has learnt none."""

    fence: int | None


@message(110)
class GroupAgentsQuery:
    """Asks an entry host for the agents of a group."""

    group: str


@message(111)
class GroupAgentsReply:
    """The agents that the platform's list names, leaving ones included.

    Attributes
    ----------
    agents : list
        Names and peers' addresses; empty if none is known.
    """

    agents: list[tuple[str, Address]]

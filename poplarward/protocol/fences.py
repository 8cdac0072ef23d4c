"""Messages for discovering the agents of a group and their fencing numbers."""

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
    """The greatest number seen; ``fence`` is None if the agent knows none."""

    fence: int | None


@message(110)
class GroupAgentsQuery:
    """Asks an entry host for the agents of a group."""

    group: str


@message(111)
class GroupAgentsReply:
    """The agents in the platform's host list, including draining ones.

    Attributes
    ----------
    agents : list
        Names and addresses for peer connections; empty if none is known.
    """

    agents: list[tuple[str, Address]]

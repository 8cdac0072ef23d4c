"""Messages by which entry hosts split the limits of workspaces among them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .codec import message

__all__ = ["DemandEntry", "Demands", "ShareEntry", "Shares", "SplitLevel"]


class SplitLevel(StrEnum):
    """Among whom a splitter divides."""

    ENTRY_HOSTS = "entry-hosts"
    DATA_CENTRES = "data-centres"


class DemandEntry(NamedTuple):
    """What a process asks of one workspace's limit.

    Attributes
    ----------
    demand : float
        Asked for, refused requests included, as a part of the limit.
    share : float
        Part of the limit that the process holds.
    """

    workspace: str
    demand: float
    share: float


@message(251)
class Demands:
    """Asks a splitter for shares of the limits of some workspaces."""

    level: SplitLevel
    entries: list[DemandEntry]


class ShareEntry(NamedTuple):
    """The part of one workspace's limit that a process may use."""

    workspace: str
    share: float


@message(252)
class Shares:
    """Reply to `Demands`."""

    entries: list[ShareEntry]

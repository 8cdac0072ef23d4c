"""Messages by which entry hosts split the limits of workspaces among them."""

from __future__ import annotations

import struct
from enum import StrEnum
from typing import NamedTuple

from .codec import message

__all__ = [
    "DemandEntry",
    "Demands",
    "ShareEntry",
    "Shares",
    "SplitLevel",
    "round_down_to_float16",
]

MAX_FRACTION = 60_000.0

_HALF = struct.Struct(">e")


class SplitLevel(StrEnum):
    """Among whom a splitter divides."""

    ENTRY_HOSTS = "entry-hosts"
    DATA_CENTRES = "data-centres"


def round_down_to_float16(part: float) -> float:
    """Return the greatest part up to this one that takes two bytes on the wire.

    It is less than one in 1,000 below, and never above, so that shares which are
    rounded sum to no more than before.

    Examples
    --------
    >>> [round_down_to_float16(fraction) for fraction in (0.25, 0.1, 1e9)]
    [0.25, 0.0999755859375, 60000.0]
    """
    bounded = min(part, MAX_FRACTION)
    packed = _HALF.pack(bounded)
    (value,) = _HALF.unpack(packed)
    if value > bounded:
        # The bits of positive numbers are in the order of the numbers.
        (value,) = _HALF.unpack((int.from_bytes(packed) - 1).to_bytes(2))
    return value


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

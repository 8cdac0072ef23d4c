"""Messages for dividing workspace limits among entry hosts."""

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
    """Level at which a splitter divides the limits."""

    ENTRY_HOSTS = "entry-hosts"
    DATA_CENTRES = "data-centres"


def round_down_to_float16(fraction: float) -> float:
    """Round a fraction down to a half-precision float, two bytes on the wire.

    The result is smaller by less than one part in 1,000 and never greater, so that
    rounded shares do not sum to more than the exact ones.

    Examples
    --------
    >>> [round_down_to_float16(fraction) for fraction in (0.25, 0.1, 1e9)]
    [0.25, 0.0999755859375, 60000.0]
    """
    bounded = min(fraction, MAX_FRACTION)
    packed = _HALF.pack(bounded)
    (value,) = _HALF.unpack(packed)
    if value > bounded:
        # Bit patterns of positive floats sort like the floats themselves.
        (value,) = _HALF.unpack((int.from_bytes(packed) - 1).to_bytes(2))
    return value


class DemandEntry(NamedTuple):
    """A process's demand on one workspace's limit.

    Attributes
    ----------
    demand : float
        Demand, including refused requests, as a fraction of the limit.
    share : float
        Fraction of the limit currently assigned to the process.
    """

    workspace: str
    demand: float
    share: float


@message(251)
class Demands:
    """Requests shares of the limits of some workspaces from a splitter."""

    level: SplitLevel
    entries: list[DemandEntry]


class ShareEntry(NamedTuple):
    """The fraction of one workspace's limit that a process may use."""

    workspace: str
    share: float


@message(252)
class Shares:
    """Reply to `Demands`."""

    entries: list[ShareEntry]

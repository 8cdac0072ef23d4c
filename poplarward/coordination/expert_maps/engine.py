"""What an agent needs of its engine to change the expert map."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from ...protocol.expert_maps import MapId, RankCounts, SlotChange

__all__ = ["EngineControl", "EngineStatus", "Hold"]


class Hold(NamedTuple):
    """A step that the host's ranks may not begin yet.

    Attributes
    ----------
    note : str
        Text that the agent gave with the order; a restarted agent reads it back.
    """

    map_id: MapId
    step: int
    note: str


class EngineStatus(NamedTuple):
    """Where the ranks of a host are.

    Attributes
    ----------
    step : int
        Greatest step that a rank of the host has begun.
    active : MapId
        Map in use.
    pending : MapId or None
        Map that comes into use at a later step.
    """

    step: int
    active: MapId
    pending: MapId | None
    hold: Hold | None


class EngineControl(Protocol):
    """Orders to the ranks of one host.

    Every order raises `EngineUnreachable` if it is not known whether it was carried
    out; all of them may be repeated. Engines that check orders refuse one whose
    ``fence`` is smaller than the greatest they have seen.
    """

    async def status(self) -> EngineStatus:
        """Return where the host's ranks are."""
        ...

    async def layers(self) -> list[list[list[int]]]:
        """Return the experts of the map in use, by layer, rank and slot."""
        ...

    async def counts(self) -> list[RankCounts]:
        """Return the mean counts of a step for each rank, since the last call."""
        ...

    async def stage(
        self, fence: int, map_id: MapId, changes: Sequence[SlotChange]
    ) -> None:
        """Read the weights of a map into spare memory.

        Raises `WeightsUnavailable`, or `EngineRefused`. Staging another map drops
        one that was staged before and is not held for.
        """
        ...

    async def hold(self, fence: int, map_id: MapId, step: int, note: str) -> None:
        """Let no rank begin a step from ``step`` on, until the release.

        Raises `EngineRefused` if a rank has begun it, if another hold is in place,
        or if the map is not staged.
        """
        ...

    async def release(self, fence: int, map_id: MapId, switch: bool) -> None:
        """End the hold of a map; with ``switch`` its step is the first to use it.

        The map is staged no longer, so that an order to hold which arrives late is
        refused. Without a hold of this map the order changes nothing.
        """
        ...

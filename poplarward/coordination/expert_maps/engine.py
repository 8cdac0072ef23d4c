"""Engine interface that an agent uses to change the expert map."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from ...protocol.expert_maps import MapId, RankCounts, SlotChange

__all__ = ["EngineControl", "EngineStatus", "Hold"]


class Hold(NamedTuple):
    """A hold: a step that the host's ranks may not begin yet.

    Attributes
    ----------
    note : str
        Text that the agent sent with the command; a restarted agent reads it back.
    """

    map_id: MapId
    step: int
    note: str


class EngineStatus(NamedTuple):
    """State of the ranks of a host.

    Attributes
    ----------
    step : int
        Greatest step that a rank of the host has begun.
    active : MapId
        Map in use.
    pending : MapId or None
        Map that becomes active at a later step.
    """

    step: int
    active: MapId
    pending: MapId | None
    hold: Hold | None


class EngineControl(Protocol):
    """Commands to the ranks of one host.

    Every command raises `EngineUnreachable` if it is unknown whether it was carried
    out; all commands are idempotent. Engines that check fencing numbers reject a
    command whose ``fence`` is smaller than the greatest that they have seen.
    """

    async def status(self) -> EngineStatus:
        """Return the state of the host's ranks."""
        ...

    async def layers(self) -> list[list[list[int]]]:
        """Return the experts of the active map, by layer, rank and slot."""
        ...

    async def counts(self) -> list[RankCounts]:
        """Return each rank's mean counts per step since the last call."""
        ...

    async def stage(
        self, fence: int, map_id: MapId, changes: Sequence[SlotChange]
    ) -> None:
        """Read the weights of a map into spare memory.

        Raises `WeightsUnavailable` or `EngineRefused`. Staging another map discards
        a map that was staged before, unless there is a hold for it.
        """
        ...

    async def hold(self, fence: int, map_id: MapId, step: int, note: str) -> None:
        """Prevent ranks from beginning ``step`` and later steps until the release.

        Raises `EngineRefused` if a rank has begun the step, if another hold is in
        place, or if the map is not staged.
        """
        ...

    async def release(self, fence: int, map_id: MapId, switch: bool) -> None:
        """End the hold for a map; with ``switch`` its step is the first to use it.

        The map is no longer staged afterwards, so a delayed hold command is refused.
        Without a hold for this map the command has no effect.
        """
        ...

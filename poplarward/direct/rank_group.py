"""Reports of the ranks of a group, and the interface for commands to them."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from ..coordination.rebalancing.placement import Layer

__all__ = ["ArmedMap", "CommandResult", "RankControl", "RankReport"]


class CommandResult(enum.Enum):
    """Result of a command to a rank.

    ``ACCEPTED``: it has been carried out or begun. ``REFUSED``: it was not carried out
    and won't be. ``UNKNOWN``: it may have been, or may be later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ArmedMap(NamedTuple):
    """A map that a rank will switch to; `step` is the pass, None if not reported."""

    version: int
    step: int | None


class RankReport(NamedTuple):
    """The state of a rank, some hundred milliseconds old.

    Attributes
    ----------
    upstream_id : str
    group : str
    epoch : int
        Increases when the group re-forms, which discards maps, arms and holds.
    rank, n_ranks : int
    is_open : bool
        Whether the group is formed and runs passes.
    step : int
        Latest pass that the group has begun.
    map_version : int
        Map in use.
    prepared_version : int or None
        Highest version whose experts have all been copied.
    armed : ArmedMap or None
    held_step : int or None
        Pass that the group may not begin.
    slowness : float
        The rank's time per pass, relative to a normal rank.
    """

    upstream_id: str
    group: str
    epoch: int
    rank: int
    n_ranks: int
    is_open: bool
    step: int
    map_version: int
    prepared_version: int | None
    armed: ArmedMap | None
    held_step: int | None
    slowness: float


class RankControl(Protocol):
    """Calls to one rank's upstream.

    `report`, `counts` and `layers` return None without a usable response. Each command
    names the group's epoch and is refused in any other, however late it arrives.
    """

    async def report(self, upstream_id: str) -> RankReport | None:
        """Return the rank's state."""
        ...

    async def counts(self, upstream_id: str) -> tuple[int, list[int]] | None:
        """Return the current pass and each expert's tokens so far, layer by layer."""
        ...

    async def layers(self, upstream_id: str) -> list[tuple[int, ...]] | None:
        """Return the experts that the rank serves now, by layer."""
        ...

    async def prepare(
        self, upstream_id: str, epoch: int, version: int, layers: list[Layer]
    ) -> CommandResult:
        """Command the rank to copy those experts of a map that it lacks."""
        ...

    async def arm(
        self, upstream_id: str, epoch: int, version: int, step: int
    ) -> CommandResult:
        """Command the rank to switch to a prepared map at the start of a pass."""
        ...

    async def disarm(self, upstream_id: str, epoch: int, version: int) -> CommandResult:
        """Cancel an armed map."""
        ...

    async def hold(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Keep the whole group from beginning a pass, until released."""
        ...

    async def release(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Release a held pass."""
        ...

"""What an entry host sees of a rank group, and the orders that it gives to ranks."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from ..coordination.rebalancing.placement import Layer

__all__ = ["ArmedMap", "CommandResult", "RankControl", "RankReport"]


class CommandResult(enum.Enum):
    """What became of an order.

    ``ACCEPTED``: it has been carried out or begun. ``REFUSED``: it was not carried out
    and won't be. ``UNKNOWN``: it may have been, or may be later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ArmedMap(NamedTuple):
    """A map that a rank switches to as a pass begins; the step is None if not told."""

    version: int
    step: int | None


class RankReport(NamedTuple):
    """A rank's state, some hundred milliseconds old.

    Attributes
    ----------
    upstream_id : str
    group : str
    epoch : int
        Rises when the group forms anew; maps, arms and holds are gone then.
    rank, n_ranks : int
    is_open : bool
        Whether the group works.
    step : int
        Last pass that the group has begun.
    map_version : int
        Map in use.
    prepared_version : int or None
        Greatest version whose experts are all there.
    armed : ArmedMap or None
    held_step : int or None
        Pass that may not begin.
    slowness : float
        The rank's time over that of an ordinary one.
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

    `report`, `counts` and `layers` return None without a usable answer. Each order
    names the group's epoch and is refused in another one, however late it arrives.
    """

    async def report(self, upstream_id: str) -> RankReport | None:
        """Return the rank's state."""
        ...

    async def counts(self, upstream_id: str) -> tuple[int, list[int]] | None:
        """Return the pass and, layer by layer, the tokens each expert had so far."""
        ...

    async def layers(self, upstream_id: str) -> list[tuple[int, ...]] | None:
        """Return the experts that the rank holds now, by layer."""
        ...

    async def prepare(
        self, upstream_id: str, epoch: int, version: int, layers: list[Layer]
    ) -> CommandResult:
        """Have the rank copy the experts of a map that are new to it."""
        ...

    async def arm(
        self, upstream_id: str, epoch: int, version: int, step: int
    ) -> CommandResult:
        """Have the rank switch to a map as a pass begins."""
        ...

    async def disarm(self, upstream_id: str, epoch: int, version: int) -> CommandResult:
        """Take back an armed map."""
        ...

    async def hold(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Keep the whole group from beginning a pass."""
        ...

    async def release(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """End a hold."""
        ...

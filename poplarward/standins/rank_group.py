"""Stand-in of a rank group that advances in lock-step on an expert map.

It records which map each rank used in each step, to verify changes of the map.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ..coordination.expert_maps import EngineStatus, Hold
from ..errors import EngineRefused, EngineUnreachable, WeightsUnavailable
from ..protocol.expert_maps import MapId, RankCounts, SlotChange

__all__ = ["FIRST_MAP", "HostEngine", "RankGroupStandin"]

FIRST_MAP = MapId(1, 0, 0)
ORDER_MS = 1.0


class HostEngine:
    """The ranks of one host; satisfies `EngineControl`.

    Attributes
    ----------
    checks_fence : bool
        Whether commands with an old fencing number are refused.
    is_stalled, is_unreachable, loses_answers, fails_weights : bool
        Faults: its ranks begin no step, commands fail, commands are executed without
        a response, weights can't be read.
    load_ms, order_ms : float
        Time to read the weights of one slot, and of a command in each direction.
    """

    def __init__(self, group: RankGroupStandin, checks_fence: bool):
        self.checks_fence = checks_fence
        self.is_stalled = False
        self.is_unreachable = False
        self.loses_answers = False
        self.fails_weights = False
        self.load_ms = 5.0
        self.order_ms = ORDER_MS
        self.step = 0
        self.active = FIRST_MAP
        self.current_hold: Hold | None = None
        self.n_commands = 0
        self._group = group
        self._pending: Hold | None = None
        self._staged: tuple[MapId, list[SlotChange]] | None = None
        self._fence = 0
        self._changed = trio.Event()

    async def status(self) -> EngineStatus:
        """Return the step, maps and hold of the host's ranks."""
        await self._begin_command()
        pending = None if self._pending is None else self._pending.map_id
        status = EngineStatus(self.step, self.active, pending, self.current_hold)
        await self._respond()
        return status

    async def layers(self) -> list[list[list[int]]]:
        """Return the experts of the map in use, by layer, rank and slot."""
        await self._begin_command()
        return [[list(row) for row in layer] for layer in self._group.maps[self.active]]

    async def counts(self) -> list[RankCounts]:
        """Return the mean counts of a step for each rank, since the last call."""
        await self._begin_command()
        counts = self._group.counts(self)
        await self._respond()
        return counts

    async def stage(
        self, fence: int, map_id: MapId, changes: Sequence[SlotChange]
    ) -> None:
        """Read the weights of a map into spare memory."""
        await self._begin_command(fence)
        await trio.sleep(self.load_ms * len(changes) / 1000)
        if self.fails_weights:
            raise WeightsUnavailable("the weight store does not answer")
        if self.current_hold is not None:
            raise EngineRefused(f"held for {self.current_hold.map_id}")
        self._staged = (map_id, list(changes))
        await self._respond()

    async def hold(self, fence: int, map_id: MapId, step: int, note: str) -> None:
        """Block the ranks from beginning ``step`` or a later step until released."""
        await self._begin_command(fence)
        held = self.current_hold
        if held is None or held.map_id != map_id:
            if held is not None:
                raise EngineRefused(f"held for {held.map_id}")
            if self._staged is None or self._staged[0] != map_id:
                raise EngineRefused("the map is not staged")
            if step <= self.step:
                raise EngineRefused(f"step {step} has begun")
            self.current_hold = Hold(map_id, step, note)
        await self._respond()

    async def release(self, fence: int, map_id: MapId, switch: bool) -> None:
        """End the hold of a map; with ``switch`` its step is the first to use it."""
        await self._begin_command(fence)
        if self._staged is not None and self._staged[0] == map_id:
            if switch and self.current_hold is not None:
                self._group.add_map(self.active, map_id, self._staged[1])
                self._pending = self.current_hold
            self._staged = None
        if self.current_hold is not None and self.current_hold.map_id == map_id:
            self.current_hold = None
        self.wake()
        await self._respond()

    @property
    def is_staged(self) -> bool:
        """Whether the weights of a map are in spare memory."""
        return self._staged is not None

    def switch_at(self, map_id: MapId, step: int) -> None:
        """Use a staged map from a step on, without a command from an agent."""
        if self._staged is not None and self._staged[0] == map_id:
            self._group.add_map(self.active, map_id, self._staged[1])
            self._pending = Hold(map_id, step, "")
            self._staged = None

    def wake(self) -> None:
        """Make the ranks check their holds and faults again."""
        self._changed.set()
        self._changed = trio.Event()

    async def begin_step(self) -> None:
        """Begin the next step once no hold or stall blocks the ranks."""
        step = self.step + 1
        while self.is_stalled or (
            self.current_hold is not None and step >= self.current_hold.step
        ):
            await self._changed.wait()
        self.step = step
        if self._pending is not None and step >= self._pending.step:
            self.active = self._pending.map_id
            self._pending = None

    async def _begin_command(self, fence: int | None = None) -> None:
        await trio.sleep(self.order_ms / 1000)
        if self.is_unreachable:
            raise EngineUnreachable("no answer")
        self.n_commands += 1
        if fence is not None and self.checks_fence:
            if fence < self._fence:
                raise EngineRefused(f"fencing number {fence} is old")
            self._fence = fence

    async def _respond(self) -> None:
        await trio.sleep(self.order_ms / 1000)
        if self.loses_answers or self.is_unreachable:
            raise EngineUnreachable("the answer was lost")


class RankGroupStandin:
    """Hosts whose ranks wait for each other in every step.

    Attributes
    ----------
    maps_by_step : dict
        The reference record: hosts by map, for each step.
    step_ends : list of float
        Time at which each step ended.
    maps : dict
        Layers of every map that was in use.
    loads : list of float
        Tokens of a step that each expert gets, in every layer.
    """

    def __init__(
        self,
        n_hosts: int,
        layers: Sequence[Sequence[Sequence[int]]],
        step_ms: float = 20.0,
        checks_fence: bool = True,
    ):
        self.engines = [HostEngine(self, checks_fence) for _ in range(n_hosts)]
        self.maps_by_step: dict[int, dict[MapId, list[int]]] = {}
        self.step_ends: list[float] = []
        self.maps = {FIRST_MAP: [[list(row) for row in layer] for layer in layers]}
        n_experts = 1 + max(expert for row in layers[0] for expert in row)
        self.loads = [100.0] * n_experts
        self._n_ranks = len(layers[0])
        self._step_s = step_ms / 1000
        self._n_arrived = 0
        self._ended = trio.Event()

    def mixed_steps(self) -> list[int]:
        """Return the steps in which not all hosts used the same map."""
        return [step for step, maps in self.maps_by_step.items() if len(maps) > 1]

    def add_map(self, base: MapId, map_id: MapId, changes: list[SlotChange]) -> None:
        """Record the layers of a map that comes into use."""
        layers = [[list(row) for row in layer] for layer in self.maps[base]]
        for change in changes:
            layers[change.layer][change.rank][change.slot] = change.expert
        self.maps[map_id] = layers

    def counts(self, engine: HostEngine) -> list[RankCounts]:
        """Return the counts of a step for the ranks of one host."""
        layers = self.maps[engine.active]
        n_hosts, index = len(self.engines), self.engines.index(engine)
        found = []
        for rank in range(index, self._n_ranks, n_hosts):
            tokens = [self._tokens(layer, layer[rank]) for layer in layers]
            busy_us = round(10 * sum(map(sum, tokens)))
            found.append(RankCounts(rank, busy_us, tokens))
        return found

    def _tokens(self, layer: list[list[int]], row: list[int]) -> list[int]:
        n_replicas = [sum(expert in other for other in layer) for expert in row]
        return [
            round(self.loads[expert] / n)
            for expert, n in zip(row, n_replicas, strict=True)
        ]

    async def run(self) -> None:
        """Step until cancelled."""
        async with trio.open_nursery() as nursery:
            for index in range(len(self.engines)):
                nursery.start_soon(self._run_host, index)

    async def _run_host(self, index: int) -> None:
        engine = self.engines[index]
        while True:
            await engine.begin_step()
            maps = self.maps_by_step.setdefault(engine.step, {})
            maps.setdefault(engine.active, []).append(index)
            await self._end_step()

    async def _end_step(self) -> None:
        """Wait until every host has completed the step."""
        ended = self._ended
        self._n_arrived += 1
        if self._n_arrived < len(self.engines):
            await ended.wait()
            return
        await trio.sleep(self._step_s)
        self.step_ends.append(trio.current_time())
        self._n_arrived = 0
        self._ended = trio.Event()
        ended.set()

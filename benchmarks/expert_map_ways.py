"""Three protocols to change an expert map, on the same rank group and network.

They are the vote that the package uses; holding all ranks, then releasing them; and
each rank offering its highest prepared map version in the barrier of every step.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from poplarward.coordination import FenceSync
from poplarward.coordination.expert_maps import (
    GroupHost,
    MapCoordinator,
    MapParticipant,
    MapRecord,
)
from poplarward.coordination.rebalancing import Move, Transfer, initial_layers
from poplarward.errors import EngineRefused
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.expert_maps import MapId, SlotChange
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.standins.rank_group import HostEngine, RankGroupStandin
from poplarward.state import Writer
from poplarward.transport import Address, LinkFaults, MemoryNetwork

__all__ = ["WAYS", "Run", "RunOptions"]

RANKS_PER_HOST = 8
LINK_DELAY_MS = 0.5
LINK_JITTER_MS = 1.0
RETRY_BACKOFF_S = 0.1
MOVE = Move(0, 0, 0, 63)


class RunOptions(NamedTuple):
    """Group size, step time and lead of a run."""

    n_ranks: int
    step_ms: float
    lead_steps: int
    seed: int


class VotingProtocol:
    """The protocol of the package: hosts vote on a future step to switch at."""

    @staticmethod
    def messages_per_step(n_ranks: int) -> int:
        """Return the number of messages in a step without a map change."""
        return 0

    @staticmethod
    async def change(run: Run) -> None:
        """Retry until the change is committed."""
        coordinator = MapCoordinator(
            run.coordinator_peers,
            "group",
            lambda fence=run.fence: fence,
            lambda: run.hosts,
            lambda: len(run.hosts),
            MapRecord(run.store, Writer(run.store), "group"),
            run.lead_steps,
        )
        while run.ranks.engines[0].active.version == 1:
            await coordinator.change([MOVE], [Transfer(MOVE, 1)])
            await trio.sleep(RETRY_BACKOFF_S)


class HoldAllProtocol:
    """Holds all ranks, sets the step to switch at, then releases them."""

    @staticmethod
    def messages_per_step(n_ranks: int) -> int:
        """Return the number of messages in a step without a map change."""
        return 0

    @staticmethod
    async def change(run: Run) -> None:
        """Hold every host at its next step; redo the change of a failed predecessor."""
        map_id = MapId(2, run.fence, 1)
        await run.on_all(lambda engine: _stage(engine, run.fence, map_id))
        run.staged.set()
        await run.on_all(lambda engine: _hold_now(engine, run.fence, map_id))
        # Hosts are held at different steps; the group can switch after the latest one.
        step = max(engine.step for engine in run.ranks.engines) + 1
        await run.on_all(lambda engine: _set_hold_step(engine, map_id, step))
        await run.on_all(lambda engine: engine.release(run.fence, map_id, True))


class BarrierOfferProtocol:
    """Each rank offers its highest prepared map in the barrier of every step."""

    @staticmethod
    def messages_per_step(n_ranks: int) -> int:
        """Return the number of messages in a step: one to and one from each rank."""
        return 2 * n_ranks

    @staticmethod
    async def change(run: Run) -> None:
        """Stage the map on every host; the barrier selects the lowest map offered."""
        map_id = MapId(2, run.fence, 1)
        if any(engine.active.version > 1 for engine in run.ranks.engines):
            return
        run.staged.set()
        await run.on_all(lambda engine: _offer(engine, run, map_id))


WAYS: dict[str, Any] = {
    "ours": VotingProtocol,
    "hold_all_then_release": HoldAllProtocol,
    "highest_prepared_in_barrier": BarrierOfferProtocol,
}


async def _stage(engine: HostEngine, fence: int, map_id: MapId) -> None:
    hold = engine.current_hold
    if hold is not None:
        await engine.release(fence, hold.map_id, False)
    if engine.active.version == 1:
        await engine.stage(fence, map_id, [SlotChange(*MOVE, 1)])


async def _hold_now(engine: HostEngine, fence: int, map_id: MapId) -> None:
    while engine.active.version == 1:
        try:
            step = (await engine.status()).step + 1
            await engine.hold(fence, map_id, step, "")
            return
        except EngineRefused:
            continue


async def _set_hold_step(engine: HostEngine, map_id: MapId, step: int) -> None:
    hold = engine.current_hold
    if hold is not None and hold.map_id == map_id:
        engine.current_hold = hold._replace(step=step)
        engine.wake()


async def _offer(engine: HostEngine, run: Run, map_id: MapId) -> None:
    await engine.stage(run.fence, map_id, [SlotChange(*MOVE, 1)])
    run.offers.add(id(engine))
    if len(run.offers) == len(run.ranks.engines):
        # The barrier of the current step is the first that has all offers.
        step = max(each.step for each in run.ranks.engines) + 1
        for other in run.ranks.engines:
            other.switch_at(map_id, step)


class Run:
    """Simulation of one rank group and one protocol to change its map."""

    def __init__(self, nursery: trio.Nursery, protocol: Any, options: RunOptions):
        n_ranks = options.n_ranks
        n_hosts = max(n_ranks // RANKS_PER_HOST, 2)
        layers = initial_layers(n_ranks, 64, 1, max(64 // n_ranks, 1) + 1)
        faults = LinkFaults(delay_ms=LINK_DELAY_MS, jitter_ms=LINK_JITTER_MS)
        self.lead_steps = options.lead_steps
        self.network = MemoryNetwork(faults, options.seed)
        self.store = MemoryObjectStore()
        self.ranks = RankGroupStandin(n_hosts, layers, options.step_ms)
        self.hosts = [
            GroupHost(f"agent-{i}", Address(f"10.0.1.{i}", 9000))
            for i in range(n_hosts)
        ]
        self.fence = 0
        self.staged = trio.Event()
        self.offers: set[int] = set()
        self.stalled_s = 0.0
        self._step_s = options.step_ms / 1000
        self._protocol = protocol
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._switched_at: float | None = None

    async def start(self) -> None:
        """Start the ranks, their agents and the first coordinator."""
        self._nursery.start_soon(self.ranks.run)
        for index in range(len(self.hosts)):
            await self._start_agent(index)
        await self._start_coordinator()
        self._nursery.start_soon(self._watch)

    def propose(self) -> None:
        """Start the change on the current coordinator."""
        self._nursery.start_soon(self._change)

    def kill_coordinator(self) -> None:
        """Stop the coordinator; messages that it has sent are still delivered."""
        self._scope.cancel()

    async def replace_coordinator(self) -> None:
        """Start a coordinator with a higher fence and let it start the change."""
        self._scope = trio.CancelScope()
        await self._start_coordinator()
        self.propose()

    async def on_all(self, command: Callable[[HostEngine], Any]) -> None:
        """Run a command on every host, with the delay of a message each way."""

        async def send(engine: HostEngine) -> None:
            await trio.sleep((LINK_DELAY_MS + LINK_JITTER_MS / 2) / 1000)
            await command(engine)
            await trio.sleep((LINK_DELAY_MS + LINK_JITTER_MS / 2) / 1000)

        async with trio.open_nursery() as nursery:
            for engine in self.ranks.engines:
                nursery.start_soon(send, engine)

    def n_messages(self) -> int:
        """Return the number of messages sent between processes so far."""
        return sum(self.network.n_messages.values())

    def result(self, proposed_at: float) -> dict[str, Any]:
        """Return the cost of the change: steps lost, time to switch and mixed steps."""
        step_ends = [t for t in self.ranks.step_ends if t >= proposed_at]
        expected_steps = (
            trio.current_time() - proposed_at - self.stalled_s
        ) / self._step_s
        switched_at = self._switched_at
        return {
            "steps_slowed": round(max(0.0, expected_steps - len(step_ends) - 1), 2),
            "time_to_switch_ms": None
            if switched_at is None
            else round(1000 * (switched_at - proposed_at), 1),
            "n_mixed_steps": len(self.ranks.mixed_steps()),
        }

    async def _change(self) -> None:
        with self._scope:
            await self._protocol.change(self)

    async def _watch(self) -> None:
        while True:
            if self._protocol is VotingProtocol and any(
                e.is_staged for e in self.ranks.engines
            ):
                self.staged.set()
            if all(engine.active.version > 1 for engine in self.ranks.engines):
                self._switched_at = trio.current_time()
                return
            await trio.sleep(0.0005)

    async def _start_agent(self, index: int) -> None:
        host = self.hosts[index]
        identity = ProcessIdentity("agent", host.name, 1, host.address, "a")
        peers = Peers(self.network.host(host.address.host), identity, "s")
        fences = FenceSync(peers, self.store, "group", "lease", _no_peers)
        engine = self.ranks.engines[index]
        participant = MapParticipant(peers, "group", engine, fences, [index])
        await fences.start(self._nursery)
        await participant.start(self._nursery)
        await peers.start(self._nursery)

    async def _start_coordinator(self) -> None:
        self.fence += 1
        host = f"10.0.0.{self.fence}"
        identity = ProcessIdentity("entry", host, self.fence, Address(host, 9000), "a")
        self.coordinator_peers = Peers(self.network.host(host), identity, "s")
        await self.coordinator_peers.start(self._nursery)


async def _no_peers() -> list[Address]:
    return []

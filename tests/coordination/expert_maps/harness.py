"""Simulated group of hosts on a memory network, driven from synchronous code."""

from __future__ import annotations

import queue

import trio
from trio.testing import MockClock

from poplarward.coordination import FenceSync
from poplarward.coordination.expert_maps import (
    ChangeResult,
    GroupHost,
    MapCoordinator,
    MapParticipant,
    MapRecord,
)
from poplarward.coordination.rebalancing import Move, Transfer, initial_layers
from poplarward.errors import PoplarwardError, StoreUnavailable
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.expert_maps import Decided, PrepareMap
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.standins.rank_group import RankGroupStandin
from poplarward.state import StoredObject, Writer
from poplarward.transport import Address, LinkFaults, MemoryNetwork

GROUP = "drafts"
N_EXPERTS, N_SLOTS, N_LAYERS = 4, 2, 1


class FreezablePeers:
    """Connections of a process that can be frozen between any two messages.

    All sent messages are kept in ``sent``, so that they can be delivered again. Prepare
    requests to an address are delayed by its entry in ``prepare_delay_ms``.
    """

    def __init__(self, peers, sent):
        self.sent = sent
        self.prepare_delay_ms = {}
        self._peers = peers
        self.identity = peers.identity
        self._running = trio.Event()
        self._running.set()

    def freeze(self):
        self._running = trio.Event()

    def wake(self):
        self._running.set()

    async def _send(self, call, *arguments):
        await self._running.wait()
        if len(arguments) > 1:
            self.sent.append((self._peers, arguments[0], arguments[1]))
            if isinstance(arguments[1], PrepareMap):
                await trio.sleep(self.prepare_delay_ms.get(arguments[0], 0) / 1000)
        result = await call(*arguments)
        await self._running.wait()
        return result

    async def call(self, *arguments):
        return await self._send(self._peers.call, *arguments)

    async def notify(self, *arguments):
        return await self._send(self._peers.notify, *arguments)

    async def connection(self, *arguments):
        return await self._send(self._peers.connection, *arguments)


class FenceStore:
    """Store that only provides the fencing number of the group's lease."""

    def __init__(self, group):
        self._group = group

    async def get(self, kind, name):
        await trio.sleep(0.002)
        if self._group.store.faults.is_down:
            raise StoreUnavailable("down")
        fence = self._group.fence
        return StoredObject(kind, name, fence, {"fence": fence})


class Coordinator:
    """A coordinator that regards its fencing number as valid until it is killed."""

    def __init__(self, peers, nursery, coordinator):
        self.peers = peers
        self.nursery = nursery
        self.coordinator = coordinator
        self.results: list[ChangeResult] = []


class Group:
    """Hosts, agents and coordinators of one model group."""

    def __init__(self, nursery, n_hosts=3, checks_fence=True, seed=0):
        self.unreachable: set[str] = set()
        self.faults = LinkFaults(
            delay_ms=1.0, is_cut=lambda a, b: bool(self.unreachable & {a, b})
        )
        self.network = MemoryNetwork(self.faults, seed)
        self.store = MemoryObjectStore(seed=seed)
        layers = initial_layers(n_hosts, N_EXPERTS, N_LAYERS, N_SLOTS)
        self.ranks = RankGroupStandin(n_hosts, layers, 20.0, checks_fence)
        self.hosts = [
            GroupHost(f"agent-{i}", Address(f"10.0.1.{i}", 9000))
            for i in range(n_hosts)
        ]
        self.agents: dict[int, tuple[trio.CancelScope, trio.Event]] = {}
        self.participants: dict[int, MapParticipant] = {}
        self.coordinators: list[Coordinator] = []
        self.sent = []
        self.fence = 0
        self._starts = 0
        self._nursery = nursery
        replayer = ProcessIdentity("entry", "late", 1, Address("10.0.2.1", 9000), "a")
        self._replay_peers = Peers(self.network.host("10.0.2.1"), replayer, "s")

    async def start(self):
        self._nursery.start_soon(self.ranks.run)
        await self._replay_peers.start(self._nursery)
        for index in range(len(self.hosts)):
            await self.start_agent(index)

    async def start_agent(self, index):
        if index not in self.agents:
            self.agents[index] = await self._nursery.start(self._run_agent, index)

    async def kill_agent(self, index):
        if index in self.agents:
            scope, ended = self.agents.pop(index)
            scope.cancel()
            await ended.wait()

    async def start_coordinator(self):
        self.fence += 1
        name = f"entry-{self.fence}"
        host = f"10.0.0.{self.fence}"
        found = await self._nursery.start(self._run_coordinator, name, host)
        self.coordinators.append(found)
        return found

    def kill_coordinators(self):
        for coordinator in self.coordinators:
            coordinator.nursery.cancel_scope.cancel()
        self.coordinators.clear()

    def propose(self, coordinator, rank, slot, expert):
        """Start a change of one slot."""
        move = Move(0, rank, slot, expert)
        coordinator.nursery.start_soon(self._change, coordinator, move)

    async def redeliver(self, which):
        """Deliver an earlier message again, even if its sender has been killed."""
        peers = self._replay_peers
        _, address, message = self.sent[which % len(self.sent)]
        with trio.move_on_after(0.05):
            try:
                if isinstance(message, Decided):
                    await peers.notify(address, message)
                else:
                    await peers.call(address, message, 50)
            except PoplarwardError:
                pass

    def heal_host(self, index):
        self.unreachable.discard(self.hosts[index].address.host)
        engine = self.ranks.engines[index]
        engine.is_stalled = engine.is_unreachable = False
        engine.loses_answers = engine.fails_weights = False
        engine.wake()

    def heal(self):
        self.faults.loss = self.faults.duplication = self.faults.jitter_ms = 0.0
        self.store.set_down(False)
        self.store.faults.lost_answers = 0.0
        for index in range(len(self.hosts)):
            self.heal_host(index)
        for coordinator in self.coordinators:
            coordinator.peers.wake()

    async def _change(self, coordinator, move):
        result = await coordinator.coordinator.change([move], [Transfer(move, 0)])
        coordinator.results.append(result)

    async def _run_agent(self, index, task_status):
        host = self.hosts[index]
        self._starts += 1
        identity = ProcessIdentity("agent", host.name, self._starts, host.address, "a")
        peers = Peers(self.network.host(host.address.host), identity, "s")

        async def addresses():
            return [h.address for h in self.hosts if h != host]

        fences = FenceSync(peers, FenceStore(self), GROUP, "lease", addresses)
        engine = self.ranks.engines[index]
        participant = MapParticipant(peers, GROUP, engine, fences, [index])
        self.participants[index] = participant
        ended = trio.Event()
        async with trio.open_nursery() as nursery:
            await fences.start(nursery)
            await participant.start(nursery)
            await peers.start(nursery)
            task_status.started((nursery.cancel_scope, ended))
        ended.set()

    async def _run_coordinator(self, name, host, task_status):
        fence = self.fence
        identity = ProcessIdentity("entry", name, fence, Address(host, 9000), "a")
        peers = Peers(self.network.host(host), identity, "s")
        frozen = FreezablePeers(peers, self.sent)
        coordinator = MapCoordinator(
            frozen,
            GROUP,
            lambda: fence,
            lambda: self.hosts,
            lambda: len(self.hosts),
            MapRecord(self.store, Writer(self.store), GROUP),
        )
        async with trio.open_nursery() as nursery:
            await peers.start(nursery)
            found = Coordinator(frozen, nursery, coordinator)
            task_status.started(found)
            await trio.sleep_forever()


class GuestTrio:
    """Runs trio on a virtual clock that is advanced from synchronous code.

    Examples
    --------
    ``GuestTrio(main)`` starts ``main(nursery)``; `run` then runs one async function
    to its end, and `advance` lets virtual time pass.
    """

    def __init__(self):
        self._queue = queue.SimpleQueue()
        self._outcome = None
        self._send, self._receive = trio.open_memory_channel(1)
        self.nursery = None
        trio.lowlevel.start_guest_run(
            self._main,
            run_sync_soon_threadsafe=self._queue.put,
            done_callback=self._finished,
            clock=MockClock(autojump_threshold=0),
        )
        self._pump(lambda: self.nursery is not None)

    def run(self, function, *arguments):
        results = []

        async def call():
            results.append(await function(*arguments))

        self._send.send_nowait(call)
        self._pump(lambda: bool(results))
        return results[0]

    def advance(self, ms):
        self.run(trio.sleep, ms / 1000)

    def close(self):
        self._send.close()
        self._pump(lambda: self._outcome is not None)
        self._outcome.unwrap()

    async def _main(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            async for call in self._receive:
                await call()
            nursery.cancel_scope.cancel()

    def _finished(self, outcome):
        self._outcome = outcome

    def _pump(self, is_done):
        while not is_done():
            if self._outcome is not None:
                self._outcome.unwrap()
                raise RuntimeError("the run has ended")
            self._queue.get()()

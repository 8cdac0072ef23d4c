"""In-memory fleet of entry hosts and agents that replicates configuration, with faults.

Used by the configuration tests and benchmark. It reads no clock but trio's: with a
mock clock, long faults are simulated in seconds.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from typing import Any

import trio

from poplarward.coordination.configuration import ConfigurationSync
from poplarward.coordination.membership import Member, MemberState
from poplarward.errors import PeerUnreachable, StoreUnavailable
from poplarward.hashing import rendezvous_ranking
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.standins.object_store import MemoryObjectStore
from poplarward.state import STORE_KIND, ConfigurationView, object_name
from poplarward.transport import Address, Channel, LinkFaults, MemoryNetwork

__all__ = ["Fleet", "FleetProcess"]

ENTRIES_PER_AGENT = 3
CONNECT_INTERVAL_S = 1.0


class _GatedChannel:
    """A channel that blocks while its process is frozen."""

    def __init__(self, channel: Channel, process: FleetProcess):
        self._channel = channel
        self._process = process

    async def send(self, message: bytes) -> None:
        await self._process.running.wait()
        await self._channel.send(message)

    async def receive(self) -> bytes:
        message = await self._channel.receive()
        await self._process.running.wait()
        return message

    async def close(self) -> None:
        await self._channel.close()


class _GatedNetwork:
    """The network of a process that can be frozen; satisfies `Network`."""

    def __init__(self, network: Any, process: FleetProcess):
        self._network = network
        self._process = process

    @asynccontextmanager
    async def connect(self, address: Address) -> AsyncIterator[Channel]:
        async with self._network.connect(address) as channel:
            yield _GatedChannel(channel, self._process)

    async def serve(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        async def handle(channel: Channel) -> None:
            await handler(_GatedChannel(channel, self._process))

        await self._network.serve(address, handle, task_status)


class _ProcessStore:
    """The object API as seen by one process; satisfies `ObjectStore`."""

    def __init__(self, store: MemoryObjectStore, process: FleetProcess):
        self._store = store
        self._process = process

    async def list(self, kind):
        await self._check()
        return await self._store.list(kind)

    async def watch(self, kind, after_revision):
        await self._check()
        async with aclosing(self._store.watch(kind, after_revision)) as events:
            async for event in events:
                await self._check()
                yield event

    async def _check(self) -> None:
        await self._process.running.wait()
        if self._process.is_store_unreachable:
            await trio.sleep(0.01)
            raise StoreUnavailable("no route to the object API")


class FleetProcess:
    """An entry host or agent, from start to kill."""

    def __init__(self, fleet: Fleet, identity: ProcessIdentity):
        self.identity = identity
        self.running = trio.Event()
        self.running.set()
        self.is_store_unreachable = False
        self.scope = trio.CancelScope()
        self.view = ConfigurationView()
        network = _GatedNetwork(fleet.network.host(identity.address.host), self)
        self.peers = Peers(network, identity, "fleet")
        store: Any = _ProcessStore(fleet.store, self)
        members = fleet if identity.role == "entry" else None
        self.sync = ConfigurationSync(self.peers, store, self.view, members)

    async def run(self, fleet: Fleet) -> None:
        """Run until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.peers.start(nursery)
                await self.sync.start(nursery)
                if self.identity.role == "entry":
                    nursery.start_soon(self._connect_agents, fleet)

    async def _connect_agents(self, fleet: Fleet) -> None:
        while True:
            for agent in fleet.agents_of(self.identity):
                try:
                    with trio.move_on_after(1):
                        await self.peers.connection(agent.address)
                except PeerUnreachable:
                    continue
            await trio.sleep(CONNECT_INTERVAL_S)

    def freeze(self) -> None:
        """Suspend the process and keep its connections open."""
        self.running = trio.Event()

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.running.set()


class Fleet:
    """All processes of a deployment, and the store that they share.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the processes.
    faults : LinkFaults, optional
        Faults injected into the links.

    Attributes
    ----------
    suspects : set of str
        Names of the processes that membership reports as suspect.
    """

    def __init__(
        self, nursery: trio.Nursery, faults: LinkFaults | None = None, seed: int = 0
    ):
        self.network = MemoryNetwork(faults, seed)
        self.store = MemoryObjectStore(seed=seed)
        self.processes: dict[str, FleetProcess] = {}
        self.suspects: set[str] = set()
        self._nursery = nursery
        self._n_starts = 0
        self._agents_of_entry: dict[str, list[ProcessIdentity]] | None = None

    def start(self, role: str, name: str, data_centre: str) -> FleetProcess:
        """Start or restart a process."""
        self._n_starts += 1
        self._agents_of_entry = None
        number = self._n_starts
        host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        address = Address(host, 9000)
        identity = ProcessIdentity(role, name, number, address, data_centre)
        process = self.processes[name] = FleetProcess(self, identity)
        self._nursery.start_soon(process.run, self)
        return process

    def start_all(self, n_entries: int, n_agents: int, data_centres: list[str]) -> None:
        """Start processes, distributed evenly over the data centres."""
        for role, count in (("entry", n_entries), ("agent", n_agents)):
            for number in range(count):
                data_centre = data_centres[number % len(data_centres)]
                self.start(role, f"{role}-{number}", data_centre)

    def kill(self, name: str) -> None:
        """Kill a process immediately."""
        self._agents_of_entry = None
        self.processes.pop(name).scope.cancel()

    def live(self, role=None, data_centre=None) -> list[Member]:
        """Return the live processes; satisfies `MembersView`."""
        members = self.members(role, data_centre)
        return [m for m in members if m.state is MemberState.LIVE]

    def members(self, role=None, data_centre=None) -> list[Member]:
        """Return all processes as members."""
        return [
            Member(process.identity, self._state_of(name), "")
            for name, process in self.processes.items()
            if role in (None, process.identity.role)
            and data_centre in (None, process.identity.data_centre)
        ]

    def _state_of(self, name: str) -> MemberState:
        return MemberState.SUSPECT if name in self.suspects else MemberState.LIVE

    def agents_of(self, entry: ProcessIdentity) -> list[ProcessIdentity]:
        """Return the agents that an entry host connects to."""
        if self._agents_of_entry is None:
            self._agents_of_entry = self._assign_agents()
        return self._agents_of_entry.get(entry.name, [])

    def _assign_agents(self) -> dict[str, list[ProcessIdentity]]:
        assigned: dict[str, list[ProcessIdentity]] = {}
        for member in self.live("agent"):
            agent = member.identity
            near = self.live("entry", agent.data_centre)
            names = [member.identity.name for member in near]
            for name in rendezvous_ranking(agent.name, names)[:ENTRIES_PER_AGENT]:
                assigned.setdefault(name, []).append(agent)
        return assigned

    async def put(self, name: str, spec: Any, expected_version: int = 0) -> int:
        """Write a workspace; returns its version."""
        stored = await self.store.put(
            STORE_KIND, object_name("workspaces", name), spec, expected_version
        )
        return stored.version

    async def delete(self, name: str, expected_version: int) -> int:
        """Delete a workspace; returns the revision."""
        return await self.store.delete(
            STORE_KIND, object_name("workspaces", name), expected_version
        )

    async def wait_until_applied(
        self,
        revision: int,
        select: Callable[[FleetProcess], bool] = lambda process: True,
    ) -> None:
        """Wait until every selected process has applied a revision."""
        for process in list(self.processes.values()):
            if select(process):
                await process.view.wait_for_newer(revision - 1)

    async def wait_ready(self) -> None:
        """Wait until every process is ready."""
        for process in list(self.processes.values()):
            await process.sync.ready.wait()

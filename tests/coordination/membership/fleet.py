"""Simulated entry hosts and agents that can be frozen or disconnected."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from poplarward.coordination.hosts import ListedHost
from poplarward.coordination.membership import LocalMember, Membership, MemberState
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.transport import Address, LinkFaults, MemoryNetwork


class FreezableChannel:
    """A channel that neither sends nor receives while its host is frozen."""

    def __init__(self, channel, host):
        self.channel, self.host = channel, host

    async def send(self, message):
        await self.host.unfrozen.wait()
        await self.channel.send(message)

    async def receive(self):
        message = await self.channel.receive()
        await self.host.unfrozen.wait()
        return message

    async def close(self):
        await self.channel.close()


class FreezableNetwork:
    def __init__(self, view, host):
        self.view, self.host = view, host

    @asynccontextmanager
    async def connect(self, address):
        await self.host.unfrozen.wait()
        async with self.view.connect(address) as channel:
            yield FreezableChannel(channel, self.host)

    async def serve(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        async def wrapped(channel):
            await handler(FreezableChannel(channel, self.host))

        await self.view.serve(address, wrapped, task_status)


class FleetHost:
    def __init__(self, fleet, name, role, data_centre, n_start=0):
        self.fleet, self.name = fleet, name
        self.ip = fleet.ip_of(name)
        self.unfrozen = trio.Event()
        self.unfrozen.set()
        identity = ProcessIdentity(
            role, name, n_start, Address(self.ip, 9000), data_centre
        )
        network = FreezableNetwork(fleet.network.host(self.ip), self)
        self.peers = Peers(network, identity, "s")
        self.local_member = LocalMember(self.peers, now_ms=lambda: 1000 + n_start)
        self.membership = None
        if role == "entry":
            self.membership = Membership(
                self.peers,
                self.local_member,
                lambda: list(fleet.listed.values()),
                seed=len(fleet.hosts),
            )
        self.scope = trio.CancelScope()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.peers.start(nursery)
                if self.membership is not None:
                    await self.membership.start(nursery)
                task_status.started()
                await trio.sleep_forever()

    def freeze(self):
        self.unfrozen = trio.Event()

    def states(self):
        return {m.identity.name: m.state for m in self.membership.members()}


class Fleet:
    def __init__(self, nursery):
        self.nursery = nursery
        self.is_disconnected = lambda a, b: False
        faults = LinkFaults(delay_ms=1, is_cut=lambda a, b: self.is_disconnected(a, b))
        self.network = MemoryNetwork(faults)
        self.listed, self.hosts, self.ips = {}, {}, {}

    def ip_of(self, name):
        return self.ips.setdefault(name, f"10.0.{len(self.ips) // 250}.{len(self.ips)}")

    def ips_in(self, data_centre):
        return {
            host.ip
            for host in self.hosts.values()
            if host.peers.identity.data_centre == data_centre
        }

    async def add(self, name, role, data_centre, n_start=0, listed=True):
        host = FleetHost(self, name, role, data_centre, n_start)
        self.hosts[name] = host
        if listed:
            address = f"{host.ip}:9000"
            self.listed[name] = ListedHost(name, role, data_centre, "live", address)
        await self.nursery.start(host.run)
        return host

    async def build(self, data_centres, n_entries, n_agents):
        for data_centre in data_centres:
            for i in range(n_entries):
                await self.add(f"entry-{data_centre}-{i}", "entry", data_centre)
            for i in range(n_agents):
                await self.add(f"agent-{data_centre}-{i}", "agent", data_centre)
        await trio.sleep(6)

    def entries(self, data_centre=None):
        return [
            host
            for host in self.hosts.values()
            if host.membership is not None
            and not host.scope.cancel_called
            and data_centre in (None, host.peers.identity.data_centre)
        ]

    def states_of(self, name, data_centre=None):
        """Return the states of a process as known to the entry hosts."""
        return {
            host.states().get(name)
            for host in self.entries(data_centre)
            if host.name != name and host.unfrozen.is_set()
        }

    def not_live(self):
        """Return the processes that any entry host regards as not live."""
        return {
            name
            for host in self.entries()
            for name, state in host.states().items()
            if state is not MemberState.LIVE
        }

    async def wait_until(self, condition, timeout_s):
        """Return the seconds until a condition holds; fails after the timeout."""
        started_at = trio.current_time()
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.05)
        return trio.current_time() - started_at

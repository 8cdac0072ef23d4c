"""An in-memory network, for tests and capacity measurements."""

from __future__ import annotations

import math
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from ..errors import ChannelClosed, PeerUnreachable
from .channels import Address, Channel, ChannelHandler

__all__ = ["LinkFaults", "MemoryNetwork"]


@dataclass
class LinkFaults:
    """Faults to inject on the links of a memory network.

    Attributes
    ----------
    delay_ms : float
        One-way delay of each message.
    jitter_ms : float
        Upper bound of a random delay added to each message.
    loss, duplication : float
        Probability that a message is lost or duplicated. A real channel is ordered
        and loses nothing without closing, so these model a faulty process.
    is_cut : callable
        Tells whether the link between two hosts is cut; a cut link closes its
        channels on their next use and refuses new ones.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    is_cut: Callable[[str, str], bool] = field(default=lambda source, target: False)


class _MemoryChannel:
    """One end of a channel in memory."""

    def __init__(self, network: MemoryNetwork, local: str, remote: str):
        self._network = network
        self._local = local
        self._remote = remote
        self._closed = False
        self._inbox_sender, self._inbox = trio.open_memory_channel[tuple[float, bytes]](
            math.inf
        )
        self.other: _MemoryChannel | None = None

    async def send(self, message: bytes) -> None:
        await trio.lowlevel.checkpoint()
        faults = self._network.faults
        if self._closed or faults.is_cut(self._local, self._remote):
            self._abort()
            raise ChannelClosed(f"{self._local} to {self._remote}")
        self._network.count(self._local, self._remote, len(message))
        rng = self._network.rng
        if faults.loss and rng.random() < faults.loss:
            return
        copies = 2 if faults.duplication and rng.random() < faults.duplication else 1
        delay_ms = faults.delay_ms + faults.jitter_ms * rng.random()
        due_s = trio.current_time() + delay_ms / 1000
        assert self.other is not None
        for _ in range(copies):
            self.other._deliver(due_s, message)

    def _deliver(self, due_s: float, message: bytes) -> None:
        try:
            self._inbox_sender.send_nowait((due_s, message))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def receive(self) -> bytes:
        try:
            due_s, message = await self._inbox.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            raise ChannelClosed(f"{self._local} from {self._remote}") from None
        await trio.sleep_until(due_s)
        return message

    async def close(self) -> None:
        self._abort()
        await trio.lowlevel.checkpoint()

    def _abort(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._inbox.close()
        if self.other is not None:
            self.other._inbox_sender.close()
            self.other._closed = True


class MemoryNetwork:
    """Connects the components of a test through in-memory channels.

    Each component gets its own view from `host`, so that faults and counts can differ
    between hosts.

    Examples
    --------
    >>> network = MemoryNetwork()
    >>> network.host("10.0.0.1")  # doctest: +ELLIPSIS
    <poplarward.transport.memory._HostView object at ...>
    """

    def __init__(self, faults: LinkFaults | None = None, seed: int = 0):
        self.faults = faults or LinkFaults()
        self.rng = random.Random(seed)
        self.n_messages: dict[str, int] = {}
        self.n_bytes: dict[str, int] = {}
        self.n_bytes_received: dict[str, int] = {}
        self._listeners: dict[Address, trio.MemorySendChannel[Channel]] = {}
        self._n_ports = 0

    def host(self, host: str) -> _HostView:
        """Return the network as seen from one host."""
        return _HostView(self, host)

    def count(self, sender: str, receiver: str, n_bytes: int) -> None:
        """Count a message for both hosts, even if it is lost afterwards."""
        self.n_messages[sender] = self.n_messages.get(sender, 0) + 1
        self.n_bytes[sender] = self.n_bytes.get(sender, 0) + n_bytes
        received = self.n_bytes_received.get(receiver, 0)
        self.n_bytes_received[receiver] = received + n_bytes

    def connect(self, local: str, address: Address) -> Channel:
        """Open a channel from a host; raises `PeerUnreachable`."""
        listener = self._listeners.get(address)
        if listener is None or self.faults.is_cut(local, address.host):
            raise PeerUnreachable(str(address))
        local_end = _MemoryChannel(self, local, address.host)
        remote_end = _MemoryChannel(self, address.host, local)
        local_end.other, remote_end.other = remote_end, local_end
        listener.send_nowait(remote_end)
        return local_end

    async def serve(
        self,
        address: Address,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept channels at an address; port 0 selects a free port."""
        if address.port == 0:
            self._n_ports += 1
            address = Address(address.host, 20_000 + self._n_ports)
        send, receive = trio.open_memory_channel[Channel](math.inf)
        self._listeners[address] = send
        try:
            async with trio.open_nursery() as nursery:
                task_status.started(address)
                async for channel in receive:
                    nursery.start_soon(_serve_channel, handler, channel)
        finally:
            del self._listeners[address]


async def _serve_channel(handler: ChannelHandler, channel: Channel) -> None:
    try:
        await handler(channel)
    except ChannelClosed:
        pass
    finally:
        with trio.CancelScope(shield=True):
            await channel.close()


class _HostView:
    """The network as one host sees it; satisfies `Network`."""

    def __init__(self, network: MemoryNetwork, host: str):
        self._network = network
        self._host = host

    @asynccontextmanager
    async def connect(self, address: Address) -> AsyncIterator[Channel]:
        await trio.lowlevel.checkpoint()
        channel = self._network.connect(self._host, address)
        try:
            yield channel
        finally:
            with trio.CancelScope(shield=True):
                await channel.close()

    async def serve(
        self,
        address: Address,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await self._network.serve(address, handler, task_status)

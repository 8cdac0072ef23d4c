"""Interfaces of message channels and of the network that opens them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

import trio

__all__ = ["Address", "Channel", "ChannelHandler", "Network"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IP address and a port.

    Examples
    --------
    >>> str(Address("127.0.0.1", 7001))
    '127.0.0.1:7001'
    >>> Address.parse("127.0.0.1:7001")
    Address(host='127.0.0.1', port=7001)
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``; raises ValueError if the port is not a number."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    @classmethod
    def is_valid(cls, text: str) -> bool:
        """Whether a text is ``host:port`` with a port of TCP.

        Examples
        --------
        >>> [Address.is_valid(t) for t in ("a:1", "a:65536", "a:-1", "a:\u0661", ":1")]
        [True, False, False, False, False]
        """
        host, _, port = text.rpartition(":")
        is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
        return bool(host) and is_number and int(port) <= MAX_PORT


class Channel(Protocol):
    """An ordered, two-way stream of messages between two processes.

    A channel fails as a whole: messages sent before `ChannelClosed` was raised may or
    may not have arrived.
    """

    async def send(self, message: bytes) -> None:
        """Send one message; raises `ChannelClosed`."""
        ...

    async def receive(self) -> bytes:
        """Return the next message; raises `ChannelClosed`."""
        ...

    async def close(self) -> None:
        """Close both directions; closing twice is harmless."""
        ...


ChannelHandler = Callable[[Channel], Awaitable[None]]


class Network(Protocol):
    """Opens channels to addresses and accepts channels at an address."""

    def connect(self, address: Address) -> AbstractAsyncContextManager[Channel]:
        """Open a channel for the duration of a block; raises `PeerUnreachable`."""
        ...

    async def serve(
        self,
        address: Address,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run `handler` in a task for each channel until cancelled."""
        ...

"""Connections of a process to the other processes of the system.

Each connection is run by one task: it exchanges identities with the peer, then
dispatches every message to the handler registered for its type.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import Any

import cbor2
import trio

from ..errors import ChannelClosed, DecodeError, PeerTimeout, PeerUnreachable
from ..telemetry import get_logger
from ..transport import Address, Channel, Network
from .codec import from_array, load_cbor, message, to_array
from .connections import Connection, FrameKind, Handler
from .identity import ProcessIdentity

__all__ = ["Hello", "Peers"]

HANDSHAKE_TIMEOUT_S = 3.0
RECONNECT_BACKOFF_S = 0.2

log = get_logger("peers")


@message(1)
class Hello:
    """First message from each end of a connection: its identity and credential."""

    identity: ProcessIdentity
    secret: str


class Peers:
    """All connections of a process to other processes of the system.

    Outgoing connections are opened on first use and kept open; a lost connection is
    reopened on its next use. Handlers are registered by message type before `start`.

    Parameters
    ----------
    network : Network
        Opens and accepts channels.
    identity : ProcessIdentity
        Identity of this process; the port may be 0 until `start` has bound one.
    secret : str
        Credential shared by the processes of the deployment.
    """

    def __init__(self, network: Network, identity: ProcessIdentity, secret: str):
        self.identity = identity
        self.accepted: set[Connection] = set()
        self.on_lost: list[Callable[[Connection], None]] = []
        self._network = network
        self._secret = secret
        self._handlers: dict[type, Handler] = {}
        self._links: dict[Address, _Link] = {}
        self._nursery: trio.Nursery | None = None

    def register(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type; its result is the reply to a call."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self._handlers[message_type] = handler

    async def start(self, nursery: trio.Nursery) -> None:
        """Start accepting connections at the identity's address."""
        self._nursery = nursery
        bound = await nursery.start(
            self._network.serve, self.identity.address, self._accept
        )
        self.identity = self.identity._replace(address=bound)

    async def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            link.scope.cancel()
        for connection in list(self.accepted):
            await connection.close()

    @property
    def n_links(self) -> int:
        """Number of open outgoing connections."""
        return sum(link.connection is not None for link in self._links.values())

    def open_connections(self) -> list[Connection]:
        """Return all open connections, outgoing and accepted, ordered by peer."""
        links = [link.connection for link in self._links.values()]
        found = [*self.accepted, *(c for c in links if c is not None)]
        return sorted(found, key=lambda connection: connection.identity)

    def open_connection(self, address: Address) -> Connection | None:
        """Return the open connection to an address, None if there is none."""
        link = self._links.get(address)
        return None if link is None else link.connection

    async def disconnect(self, process_name: str) -> None:
        """Close every connection to a process, for instance after it has failed.

        A host that lost power does not close its connections; without this call,
        pending calls to it would wait until their deadlines.
        """
        links = [link.connection for link in self._links.values()]
        for connection in [*links, *self.accepted]:
            if connection is not None and connection.identity.name == process_name:
                await connection.close()

    async def connection(self, address: Address) -> Connection:
        """Return the open connection to an address; raises `PeerUnreachable`."""
        link = self._links.get(address)
        if link is None:
            if self._nursery is None:
                raise RuntimeError("Peers.start was not called")
            link = self._links[address] = _Link(address)
            self._nursery.start_soon(self._run_link, link)
        await link.resolved.wait()
        if link.connection is None:
            raise PeerUnreachable(str(address))
        return link.connection

    async def notify(self, address: Address, value: Any) -> None:
        """Send a message that needs no reply; raises `PeerUnreachable`."""
        connection = await self.connection(address)
        await connection.notify(value)

    async def call(self, address: Address, value: Any, timeout_ms: float) -> Any:
        """Send a message and return its reply; see `Connection.call`."""
        open_connection = self.open_connection(address)
        if open_connection is not None:
            return await open_connection.call(value, timeout_ms)
        with trio.move_on_after(timeout_ms / 1000):
            connection = await self.connection(address)
            return await connection.call(value, timeout_ms)
        raise PeerTimeout(f"{address}: {type(value).__name__}")

    async def _run_link(self, link: _Link) -> None:
        """Run one outgoing connection until it is lost."""
        try:
            with link.scope:
                await self._run_channel(link)
        finally:
            link.connection = None
            link.resolved.set()
            if self._links.get(link.address) is link:
                del self._links[link.address]

    async def _run_channel(self, link: _Link) -> None:
        try:
            async with self._network.connect(link.address) as channel:
                connection = await self._handshake(channel)
                link.connection = connection
                link.resolved.set()
                try:
                    await connection.run(self._handlers)
                finally:
                    self._notify_lost(connection)
        except (PeerUnreachable, ChannelClosed, DecodeError) as error:
            log.info("link.failed", address=str(link.address), reason=str(error))
        link.connection = None
        link.resolved.set()
        # Keep the failed link for a moment, so that callers do not reconnect at once.
        await trio.sleep(RECONNECT_BACKOFF_S)

    async def _accept(self, channel: Channel) -> None:
        try:
            connection = await self._handshake(channel)
        except (ChannelClosed, DecodeError, PeerUnreachable) as error:
            log.info("peer.refused", reason=str(error))
            return
        self.accepted.add(connection)
        try:
            await connection.run(self._handlers)
        finally:
            self.accepted.discard(connection)
            self._notify_lost(connection)

    async def _handshake(self, channel: Channel) -> Connection:
        hello = Hello(self.identity, self._secret)
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            await channel.send(cbor2.dumps([FrameKind.NOTICE, 0, to_array(hello)]))
            match load_cbor(await channel.receive()):
                case [0, 0, body]:
                    peer_hello = from_array(body)
                case _:
                    raise DecodeError("the first message must be Hello")
            if not isinstance(peer_hello, Hello):
                raise DecodeError("the first message must be Hello")
            if not hmac.compare_digest(peer_hello.secret, self._secret):
                raise PeerUnreachable("wrong credential")
            return Connection(channel, peer_hello.identity)
        raise PeerUnreachable("no Hello in time")

    def _notify_lost(self, connection: Connection) -> None:
        for callback in self.on_lost:
            callback(connection)


class _Link:
    """An outgoing connection, created on the first use of its address."""

    def __init__(self, address: Address):
        self.address = address
        self.connection: Connection | None = None
        self.resolved = trio.Event()
        self.scope = trio.CancelScope()

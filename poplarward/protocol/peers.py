"""Links to other processes of the system: notices, calls and replies.

One task runs each connection, straight down: it says who it is, learns who the
other is, then hands every message to the handler registered for its type. Messages
of a connection that are notices are handled one after another, in order; each call
is answered in a task of its own, so that a slow answer holds back nothing else.
"""

from __future__ import annotations

import hmac
import itertools
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import cbor2
import trio

from ..errors import (
    ChannelClosed,
    DecodeError,
    PeerTimeout,
    PeerUnreachable,
    PoplarwardError,
)
from ..telemetry import get_logger
from ..transport import Address, Channel, Network
from .codec import from_array, load_cbor, message, to_array
from .identity import ProcessIdentity

__all__ = ["CallRefused", "Connection", "Handler", "Hello", "Peers"]

HANDSHAKE_TIMEOUT_S = 3.0
RECONNECT_PAUSE_S = 0.2
MAX_UNREADABLE = 20

_NOTICE, _CALL, _REPLY, _REFUSAL, _NOTICES = range(5)

log = get_logger("peers")


@message(1)
class Hello:
    """First message of each end of a connection: who it is, and its credential."""

    identity: ProcessIdentity
    secret: str


class CallRefused(PoplarwardError):
    """The peer's handler refused a call; the text is its reason."""


Handler = Callable[["Connection", Any], Awaitable[Any]]


class Connection:
    """An open connection to one peer.

    Attributes
    ----------
    identity : ProcessIdentity
        Who the peer said it is.
    """

    def __init__(self, channel: Channel, identity: ProcessIdentity):
        self.identity = identity
        self.closed = trio.Event()
        self._channel = channel
        self._send_lock = trio.Lock()
        self._call_ids = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._unreadable: set[str] = set()

    async def notify(self, value: Any) -> None:
        """Send a message that needs no reply; raises `PeerUnreachable`."""
        await self._send(_NOTICE, 0, to_array(value))

    async def notify_all(self, values: Sequence[Any]) -> None:
        """Send messages that need no reply as one; raises `PeerUnreachable`."""
        await self._send(_NOTICES, 0, [to_array(value) for value in values])

    async def call(self, value: Any, timeout_ms: float) -> Any:
        """Send a message and return the reply.

        Raises `PeerTimeout`, `PeerUnreachable` when the connection is lost, or
        `CallRefused` with the peer's reason. After the first two the peer may or
        may not have acted on the message.
        """
        call_id = next(self._call_ids)
        pending = self._pending[call_id] = _PendingCall()
        try:
            with trio.move_on_after(timeout_ms / 1000):
                await self._send(_CALL, call_id, to_array(value))
                await pending.done.wait()
                return pending.result()
        finally:
            del self._pending[call_id]
        raise PeerTimeout(f"{self.identity.name}: {type(value).__name__}")

    async def close(self) -> None:
        """Close the connection; calls in progress raise `PeerUnreachable`."""
        self._fail_pending()
        await self._channel.close()

    async def _send(self, kind: int, call_id: int, array: Any) -> None:
        # The canonical form takes the fewest bytes that hold a number.
        data = cbor2.dumps([kind, call_id, array], canonical=True)
        try:
            async with self._send_lock:
                await self._channel.send(data)
        except ChannelClosed as error:
            raise PeerUnreachable(self.identity.name) from error

    async def _run(self, handlers: dict[type, Handler]) -> None:
        """Read until the channel closes."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    frame = load_cbor(await self._channel.receive())
                    await self._handle(frame, handlers, nursery)
        except* (ChannelClosed, PeerUnreachable):
            pass
        except* DecodeError as group:
            log.warning(
                "peer.bad_message",
                peer=self.identity.name,
                reason=str(group.exceptions[0]),
            )
        except* Exception:
            # A fault in one handler must not end the process and its other peers.
            log.exception("peer.handler_failed", peer=self.identity.name)
        finally:
            self._fail_pending()
            self.closed.set()

    async def _handle(
        self, frame: Any, handlers: dict[type, Handler], nursery: trio.Nursery
    ) -> None:
        match frame:
            case [int(kind), int(call_id), body]:
                pass
            case _:
                raise DecodeError("a frame is an array of kind, call id and body")
        if kind == _REFUSAL:
            self._settle(call_id, CallRefused(str(body)))
            return
        if kind == _NOTICES:
            for notice in body if isinstance(body, list) else [body]:
                await self._take_notice(notice, handlers)
            return
        try:
            value = from_array(body)
            handler = None if kind == _REPLY else self._handler_of(value, handlers)
        except DecodeError as error:
            # A process of another release may send what this one does not know.
            self._note_unreadable(error)
            if kind == _CALL:
                nursery.start_soon(self._send, _REFUSAL, call_id, str(error))
            elif kind == _REPLY:
                self._settle(call_id, CallRefused(f"unreadable reply: {error}"))
            return
        if handler is None:
            self._settle(call_id, value)
            return
        if kind == _CALL:
            nursery.start_soon(self._answer, handler, value, call_id)
        else:
            await handler(self, value)

    async def _take_notice(self, notice: Any, handlers: dict[type, Handler]) -> None:
        try:
            value = from_array(notice)
            handler = self._handler_of(value, handlers)
        except DecodeError as error:
            self._note_unreadable(error)
            return
        await handler(self, value)

    def _note_unreadable(self, error: DecodeError) -> None:
        """Log each kind of message that can't be read once a connection."""
        reason = str(error)
        if reason not in self._unreadable and len(self._unreadable) < MAX_UNREADABLE:
            self._unreadable.add(reason)
            log.warning("peer.unreadable", peer=self.identity.name, reason=reason)

    def _handler_of(self, value: Any, handlers: dict[type, Handler]) -> Handler:
        handler = handlers.get(type(value))
        if handler is None:
            raise DecodeError(f"no handler for {type(value).__name__}")
        return handler

    async def _answer(self, handler: Handler, value: Any, call_id: int) -> None:
        try:
            reply = await handler(self, value)
        except PoplarwardError as error:
            reason = f"{type(error).__name__}: {error}"
            await self._send(_REFUSAL, call_id, reason)
            return
        await self._send(_REPLY, call_id, to_array(reply))

    def _settle(self, call_id: int, outcome: Any) -> None:
        pending = self._pending.get(call_id)
        if pending is not None:
            pending.settle(outcome)

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.settle(PeerUnreachable(self.identity.name))


class _PendingCall:
    """A call whose reply has not come yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self._outcome: Any = None

    def settle(self, outcome: Any) -> None:
        if not self.done.is_set():
            self._outcome = outcome
            self.done.set()

    def result(self) -> Any:
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


class Peers:
    """All connections of a process to other processes of the system.

    Outgoing links are opened on first use and kept; when one is lost, the next use
    opens it again. Handlers are registered by message type before `start`.

    Parameters
    ----------
    network : Network
        How channels are opened and accepted.
    identity : ProcessIdentity
        Who this process is; its port may be 0 until `start` has bound one.
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
        """Name the handler of a message type; its result is the reply to a call."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self._handlers[message_type] = handler

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to accept connections at the identity's address."""
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
        """Outgoing connections that are open."""
        return sum(link.connection is not None for link in self._links.values())

    def open_connections(self) -> list[Connection]:
        """Return every open connection, whoever opened it, ordered by peer."""
        links = [link.connection for link in self._links.values()]
        found = [*self.accepted, *(c for c in links if c is not None)]
        return sorted(found, key=lambda connection: connection.identity)

    def open_connection(self, address: Address) -> Connection | None:
        """Return the open connection to an address, None if there is none."""
        link = self._links.get(address)
        return None if link is None else link.connection

    async def disconnect(self, process_name: str) -> None:
        """Close every connection to a process, as when it is known to be gone.

        A host that lost power closes nothing itself; without this, whoever waits
        for its answers would wait for their whole deadline.
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
        await link.settled.wait()
        if link.connection is None:
            raise PeerUnreachable(str(address))
        return link.connection

    async def notify(self, address: Address, value: Any) -> None:
        """Send a message that needs no reply; raises `PeerUnreachable`."""
        connection = await self.connection(address)
        await connection.notify(value)

    async def call(self, address: Address, value: Any, timeout_ms: float) -> Any:
        """Send a message and return its reply; see `Connection.call`."""
        open_one = self.open_connection(address)
        if open_one is not None:
            return await open_one.call(value, timeout_ms)
        with trio.move_on_after(timeout_ms / 1000):
            connection = await self.connection(address)
            return await connection.call(value, timeout_ms)
        raise PeerTimeout(f"{address}: {type(value).__name__}")

    async def _run_link(self, link: _Link) -> None:
        """Hold one outgoing connection until it is lost."""
        try:
            with link.scope:
                await self._hold_link(link)
        finally:
            link.connection = None
            link.settled.set()
            if self._links.get(link.address) is link:
                del self._links[link.address]

    async def _hold_link(self, link: _Link) -> None:
        try:
            async with self._network.connect(link.address) as channel:
                connection = await self._handshake(channel)
                link.connection = connection
                link.settled.set()
                try:
                    await connection._run(self._handlers)
                finally:
                    self._lost(connection)
        except (PeerUnreachable, ChannelClosed, DecodeError) as error:
            log.info("link.failed", address=str(link.address), reason=str(error))
        link.connection = None
        link.settled.set()
        # Keeps the failure for a moment, so that callers do not redial at once.
        await trio.sleep(RECONNECT_PAUSE_S)

    async def _accept(self, channel: Channel) -> None:
        try:
            connection = await self._handshake(channel)
        except (ChannelClosed, DecodeError, PeerUnreachable) as error:
            log.info("peer.refused", reason=str(error))
            return
        self.accepted.add(connection)
        try:
            await connection._run(self._handlers)
        finally:
            self.accepted.discard(connection)
            self._lost(connection)

    async def _handshake(self, channel: Channel) -> Connection:
        hello = Hello(self.identity, self._secret)
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            await channel.send(cbor2.dumps([_NOTICE, 0, to_array(hello)]))
            match load_cbor(await channel.receive()):
                case [0, 0, body]:
                    theirs = from_array(body)
                case _:
                    raise DecodeError("the first message must be Hello")
            if not isinstance(theirs, Hello):
                raise DecodeError("the first message must be Hello")
            if not hmac.compare_digest(theirs.secret, self._secret):
                raise PeerUnreachable("wrong credential")
            return Connection(channel, theirs.identity)
        raise PeerUnreachable("no Hello in time")

    def _lost(self, connection: Connection) -> None:
        for callback in self.on_lost:
            callback(connection)


class _Link:
    """An outgoing connection, from the first use of its address."""

    def __init__(self, address: Address):
        self.address = address
        self.connection: Connection | None = None
        self.settled = trio.Event()
        self.scope = trio.CancelScope()

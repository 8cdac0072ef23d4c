"""One connection to another process: one-way messages, calls and replies.

Notices (messages without a reply) on a connection are handled sequentially, in order.
Each call is handled in its own task, so that a slow handler does not delay other
messages.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable, Sequence
from enum import IntEnum
from typing import Any

import cbor2
import trio

from ..errors import (
    CallRefused,
    ChannelClosed,
    DecodeError,
    PeerTimeout,
    PeerUnreachable,
    PoplarwardError,
)
from ..telemetry import get_logger
from ..transport import Channel
from .codec import from_array, load_cbor, to_array
from .identity import ProcessIdentity

__all__ = ["Connection", "FrameKind", "Handler"]

MAX_LOGGED_REASONS = 20

log = get_logger("peers")


class FrameKind(IntEnum):
    """Kind of content that a frame carries."""

    NOTICE = 0
    CALL = 1
    REPLY = 2
    REFUSAL = 3
    NOTICES = 4


Handler = Callable[["Connection", Any], Awaitable[Any]]


class Connection:
    """An open connection to one peer.

    Attributes
    ----------
    identity : ProcessIdentity
        Identity that the peer sent in its `Hello`.
    """

    def __init__(self, channel: Channel, identity: ProcessIdentity):
        self.identity = identity
        self.closed = trio.Event()
        self._channel = channel
        self._send_lock = trio.Lock()
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._logged_reasons: set[str] = set()

    async def notify(self, value: Any) -> None:
        """Send a message that needs no reply; raises `PeerUnreachable`."""
        await self._send(FrameKind.NOTICE, 0, to_array(value))

    async def notify_all(self, values: Sequence[Any]) -> None:
        """Send messages that need no reply in one frame; raises `PeerUnreachable`."""
        await self._send(FrameKind.NOTICES, 0, [to_array(value) for value in values])

    async def call(self, value: Any, timeout_ms: float) -> Any:
        """Send a message and return the reply.

        Raises `PeerTimeout`, `PeerUnreachable` when the connection is lost, or
        `CallRefused` with the peer's reason. After `PeerTimeout` and
        `PeerUnreachable` the peer may or may not have processed the message.
        """
        call_id = next(self._call_ids)
        pending = self._pending_calls[call_id] = _PendingCall()
        try:
            with trio.move_on_after(timeout_ms / 1000):
                await self._send(FrameKind.CALL, call_id, to_array(value))
                await pending.done.wait()
                return pending.result()
        finally:
            del self._pending_calls[call_id]
        raise PeerTimeout(f"{self.identity.name}: {type(value).__name__}")

    async def close(self) -> None:
        """Close the connection; calls in progress raise `PeerUnreachable`."""
        self._fail_pending()
        await self._channel.close()

    async def _send(self, kind: int, call_id: int, array: Any) -> None:
        # Canonical CBOR encodes each number in the fewest bytes that represent it.
        data = cbor2.dumps([kind, call_id, array], canonical=True)
        try:
            async with self._send_lock:
                await self._channel.send(data)
        except ChannelClosed as error:
            raise PeerUnreachable(self.identity.name) from error

    async def run(self, handlers: dict[type, Handler]) -> None:
        """Receive and dispatch messages until the channel closes."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    frame = load_cbor(await self._channel.receive())
                    await self._handle(frame, handlers, nursery)
        except* (ChannelClosed, PeerUnreachable):
            pass
        except* DecodeError as group:
            log.warning(
                "peer.message_invalid",
                peer=self.identity.name,
                reason=str(group.exceptions[0]),
            )
        except* Exception:
            # An error in one handler must not end the process or other connections.
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
        if kind == FrameKind.REFUSAL:
            self._resolve(call_id, CallRefused(str(body)))
            return
        if kind == FrameKind.NOTICES:
            for notice in body if isinstance(body, list) else [body]:
                await self._handle_notice(notice, handlers)
            return
        try:
            value = from_array(body)
            handler = (
                None if kind == FrameKind.REPLY else self._find_handler(value, handlers)
            )
        except DecodeError as error:
            # A process of another release may send messages unknown to this one.
            self._log_unreadable(error)
            if kind == FrameKind.CALL:
                nursery.start_soon(self._send, FrameKind.REFUSAL, call_id, str(error))
            elif kind == FrameKind.REPLY:
                self._resolve(call_id, CallRefused(f"unreadable reply: {error}"))
            return
        if handler is None:
            self._resolve(call_id, value)
            return
        if kind == FrameKind.CALL:
            nursery.start_soon(self._answer_call, handler, value, call_id)
        else:
            await handler(self, value)

    async def _handle_notice(self, notice: Any, handlers: dict[type, Handler]) -> None:
        try:
            value = from_array(notice)
            handler = self._find_handler(value, handlers)
        except DecodeError as error:
            self._log_unreadable(error)
            return
        await handler(self, value)

    def _log_unreadable(self, error: DecodeError) -> None:
        """Log an undecodable message, once per reason and connection."""
        reason = str(error)
        if (
            reason not in self._logged_reasons
            and len(self._logged_reasons) < MAX_LOGGED_REASONS
        ):
            self._logged_reasons.add(reason)
            log.warning("peer.unreadable", peer=self.identity.name, reason=reason)

    def _find_handler(self, value: Any, handlers: dict[type, Handler]) -> Handler:
        handler = handlers.get(type(value))
        if handler is None:
            raise DecodeError(f"no handler for {type(value).__name__}")
        return handler

    async def _answer_call(self, handler: Handler, value: Any, call_id: int) -> None:
        try:
            reply = await handler(self, value)
        except PoplarwardError as error:
            reason = f"{type(error).__name__}: {error}"
            await self._send(FrameKind.REFUSAL, call_id, reason)
            return
        await self._send(FrameKind.REPLY, call_id, to_array(reply))

    def _resolve(self, call_id: int, outcome: Any) -> None:
        pending = self._pending_calls.get(call_id)
        if pending is not None:
            pending.resolve(outcome)

    def _fail_pending(self) -> None:
        for pending in self._pending_calls.values():
            pending.resolve(PeerUnreachable(self.identity.name))


class _PendingCall:
    """A call whose reply has not arrived yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self._outcome: Any = None

    def resolve(self, outcome: Any) -> None:
        if not self.done.is_set():
            self._outcome = outcome
            self.done.set()

    def result(self) -> Any:
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome

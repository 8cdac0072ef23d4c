"""Channels over websockets, used between hosts."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.trio.client import connect
from websockets.trio.server import serve

from ..errors import ChannelClosed, PeerUnreachable
from .channels import Address, Channel, ChannelHandler

__all__ = ["WebSocketNetwork"]

CONNECT_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class _WebSocketChannel:
    """A channel over one websocket connection."""

    def __init__(self, connection):
        self._connection = connection

    async def send(self, message: bytes) -> None:
        try:
            await self._connection.send(message)
        except (ConnectionClosed, trio.BrokenResourceError) as error:
            raise ChannelClosed(str(error)) from error

    async def receive(self) -> bytes:
        try:
            message = await self._connection.recv(decode=False)
        except ConnectionClosed as error:
            raise ChannelClosed(str(error)) from error
        return message

    async def close(self) -> None:
        with trio.move_on_after(1):
            await self._connection.aclose()


class WebSocketNetwork:
    """Opens and accepts websocket channels, with TLS where contexts are given.

    Parameters
    ----------
    client_tls, server_tls : ssl.SSLContext, optional
        Contexts for outgoing and accepted connections; plain TCP without them.
    """

    def __init__(
        self,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
    ):
        self._client_tls = client_tls
        self._server_tls = server_tls

    @asynccontextmanager
    async def connect(self, address: Address) -> AsyncIterator[Channel]:
        """Open a channel for the duration of a block; raises `PeerUnreachable`."""
        scheme = "wss" if self._client_tls else "ws"
        opening = connect(
            f"{scheme}://{address}/",
            ssl=self._client_tls,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            proxy=None,
        )
        try:
            connection = await opening.__aenter__()
        except (
            OSError,
            WebSocketException,
            TimeoutError,
            trio.BrokenResourceError,
        ) as error:
            raise PeerUnreachable(f"{address}: {error}") from error
        try:
            yield _WebSocketChannel(connection)
        except BaseException as error:
            if not await opening.__aexit__(type(error), error, error.__traceback__):
                raise
        else:
            await opening.__aexit__(None, None, None)

    async def serve(
        self,
        address: Address,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run `handler` in a task for each channel until cancelled."""

        async def handle(connection) -> None:
            channel = _WebSocketChannel(connection)
            try:
                await handler(channel)
            except ChannelClosed:
                pass

        async with trio.open_nursery() as nursery:
            server = await nursery.start(_serve, handle, address, self._server_tls)
            port = server.listeners[0].socket.getsockname()[1]
            task_status.started(Address(address.host, port))
            await trio.sleep_forever()


async def _serve(handle, address: Address, tls, task_status) -> None:
    await serve(
        handle,
        address.port,
        host=address.host,
        ssl=tls,
        compression=None,
        max_size=MAX_MESSAGE_BYTES,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=None,
        task_status=task_status,
    )

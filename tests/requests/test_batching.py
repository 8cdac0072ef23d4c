"""Responses to an entry host that reads them slowly or not at all."""

from __future__ import annotations

import pytest
import trio

from poplarward.errors import PeerUnreachable
from poplarward.protocol import ProcessIdentity, RequestId
from poplarward.protocol.requests import End, Outcome, Pieces
from poplarward.requests.batching import (
    MAX_BUFFERED_BYTES,
    WRITE_TIMEOUT_MS,
    ResponseBatcher,
)
from poplarward.transport import Address

REQUEST = RequestId("entry-1", 1, 1)
PIECE = b"x" * 10_000
N_PIECES = 1_000


class SlowConnection:
    """Blocks writes until released; the messages are then recorded."""

    identity = ProcessIdentity("entry", "entry-1", 1, Address("10.0.0.1", 1), "rennes")

    def __init__(self):
        self.released = trio.Event()
        self.is_closed = False
        self.messages = []

    async def notify_all(self, messages):
        await self.released.wait()
        if self.is_closed:
            raise PeerUnreachable("closed")
        self.messages.append(messages)

    async def close(self):
        self.is_closed = True
        self.released.set()


async def add_all(batcher, added):
    for number in range(N_PIECES):
        await batcher.wait_for_room()
        batcher.add_piece(REQUEST, number, PIECE, is_stream=True)
        added.append(number)
    batcher.add_end(End(REQUEST, Outcome.RAN, N_PIECES))


@pytest.fixture
async def slow(nursery, autojump_clock):
    connection = SlowConnection()
    batcher = ResponseBatcher(connection, lambda connection: None)
    added = []
    nursery.start_soon(batcher.run)
    nursery.start_soon(add_all, batcher, added)
    await trio.sleep(1)
    yield connection, batcher, added
    nursery.cancel_scope.cancel()


async def test_upstream_is_read_only_as_far_as_the_buffer_allows(slow):
    connection, _, added = slow
    # The batch being sent, and a full buffer.
    assert len(added) * len(PIECE) <= 2 * (MAX_BUFFERED_BYTES + len(PIECE))
    connection.released.set()
    await trio.sleep(1)
    batches = [
        batch
        for messages in connection.messages
        for message in messages
        if isinstance(message, Pieces)
        for batch in message.batches
    ]
    assert sum(len(batch.pieces) for batch in batches) == N_PIECES
    n_before = 0
    for batch in batches:
        assert batch.first_piece == n_before
        assert sum(map(len, batch.pieces)) <= MAX_BUFFERED_BYTES + len(PIECE)
        n_before += len(batch.pieces)


async def test_connection_that_accepts_no_data_is_closed(slow):
    connection, batcher, added = slow
    await trio.sleep(WRITE_TIMEOUT_MS / 1000)
    assert connection.is_closed
    assert batcher.is_idle
    # The upstream's response is read to its end and dropped.
    assert len(added) == N_PIECES

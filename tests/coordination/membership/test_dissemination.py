"""A change is sent to every entry host, and other tasks run between the sends."""

from __future__ import annotations

import trio

from poplarward.coordination.membership import MemberRecord, MemberState
from poplarward.coordination.membership.dissemination import (
    SENDS_PER_CHECKPOINT,
    Disseminator,
)
from poplarward.coordination.membership.table import MemberTable
from poplarward.protocol import ProcessIdentity
from poplarward.transport import Address

N_ENTRIES = 10 * SENDS_PER_CHECKPOINT


class CountingPeers:
    """Records how many turns of the event loop precede each send."""

    def __init__(self):
        address = Address("10.0.0.1", 0)
        self.identity = ProcessIdentity("entry", "entry-0", 1, address, "rennes")
        self.n_turns = 0
        self.sent = []

    def register(self, message_type, handler):
        pass

    async def notify(self, address, update):
        self.sent.append((self.n_turns, address.port))

    async def count_turns(self):
        while True:
            self.n_turns += 1
            await trio.lowlevel.checkpoint()


async def test_many_sends_take_several_turns(nursery):
    peers, table = CountingPeers(), MemberTable()
    table.merge(
        MemberRecord(
            f"entry-{i}",
            "entry",
            "rennes",
            Address("10.0.0.1", i),
            "",
            1,
            1,
            MemberState.LIVE,
        )
        for i in range(N_ENTRIES + 1)
    )
    disseminator = Disseminator(peers, table, table.merge)
    nursery.start_soon(peers.count_turns)
    disseminator.publish([table.records["entry-1"]])
    await disseminator.flush()
    assert sorted(port for _, port in peers.sent) == list(range(1, N_ENTRIES + 1))
    turns = [turn for turn, _ in peers.sent]
    assert max(turns.count(turn) for turn in set(turns)) <= 2 * SENDS_PER_CHECKPOINT
    nursery.cancel_scope.cancel()

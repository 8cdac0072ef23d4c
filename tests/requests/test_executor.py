"""Guarantees of the executor, tested with the messages that an entry host sends."""

from __future__ import annotations

import trio

from benchmarks.memory_path import MemoryPath, MemoryUpstream
from poplarward.protocol import RequestId
from poplarward.protocol.reports import AgentReport
from poplarward.protocol.requests import (
    BlockAttempt,
    End,
    Head,
    Outcome,
    Pieces,
    PriorityClass,
    Submit,
)
from poplarward.standins.ledger import LedgerStandin


async def start(nursery, work_ms=10.0, n_slots=1):
    """Start an agent of a ledger, and an entry host that records ends."""
    path = MemoryPath(nursery)
    ledger = LedgerStandin(work_ms)
    client = MemoryUpstream(nursery, ledger.handle)
    await path.start_agent("agent-1", "10.2.0.1", "plain", "ledger", client, n_slots)
    peers = path._peers("entry", "entry-1", "10.1.0.1")
    ends = {}

    async def ignore(connection, message):
        pass

    async def on_end(connection, end):
        ends.setdefault(end.request_id, []).append(end.outcome)

    for kind in (AgentReport, Head, Pieces):
        peers.register(kind, ignore)
    peers.register(End, on_end)
    await peers.start(nursery)
    return path, ledger, peers, ends


def submit(peers, sequence, deadline_ms=5000, repeatable=False):
    identity = peers.identity
    return Submit(
        request_id=RequestId(identity.name, identity.start_id, sequence),
        workspace="ateliers",
        priority_class=PriorityClass.URGENT,
        method="POST",
        path="/payments",
        headers=[],
        body=b'{"reference": "r-%d"}' % sequence,
        deadline_ms=deadline_ms,
        repeatable=repeatable,
    )


async def test_barred_attempt_never_starts_on_another_connection(
    nursery, autojump_clock
):
    path, ledger, peers, ends = await start(nursery)
    address = path.addresses["agent-1"]
    late_submit = submit(peers, 1)
    barred = await peers.call(address, BlockAttempt(late_submit.request_id), 1000)
    assert barred.outcome is Outcome.NOT_RUN
    first = await peers.connection(address)
    await first.close()
    await trio.sleep(1)
    second = await peers.connection(address)
    assert second is not first
    await second.notify(late_submit)
    await trio.sleep(1)
    assert ledger.postings == []
    assert ends == {late_submit.request_id: [Outcome.NOT_RUN]}
    nursery.cancel_scope.cancel()


async def test_deadline_while_running_is_not_reported_as_not_run(
    nursery, autojump_clock
):
    path, ledger, peers, ends = await start(nursery, work_ms=500)
    sent = submit(peers, 1, deadline_ms=100, repeatable=True)
    await peers.notify(path.addresses["agent-1"], sent)
    await trio.sleep(1)
    assert len(ledger.postings) == 1
    assert ends == {sent.request_id: [Outcome.UNKNOWN]}
    nursery.cancel_scope.cancel()


async def test_bar_and_slot_in_the_same_step(nursery, autojump_clock):
    """A slot is granted in the same scheduler step in which its attempt is barred."""
    path, ledger, peers, _ = await start(nursery)
    address = path.addresses["agent-1"]
    for sequence in range(1, 201, 2):
        first, second = submit(peers, sequence), submit(peers, sequence + 1)
        await peers.notify(address, first)
        await peers.notify(address, second)
        await trio.sleep(0.01)
        for _ in range(sequence // 2 % 50):
            await trio.lowlevel.checkpoint()
        barred = await peers.call(address, BlockAttempt(second.request_id, 0), 1000)
        await trio.sleep(1)
        posted = [p["reference"] for p in ledger.postings]
        ran = f"r-{sequence + 1}" in posted
        assert not (ran and barred.outcome is Outcome.NOT_RUN)
        assert f"r-{sequence}" in posted
    nursery.cancel_scope.cancel()


async def test_attempt_of_an_earlier_start_of_the_entry_host_is_dropped(
    nursery, autojump_clock
):
    path, ledger, peers, ends = await start(nursery)
    sent = submit(peers, 1)
    earlier = sent.request_id._replace(start_id=999)
    await peers.notify(
        path.addresses["agent-1"],
        type(sent)(**{**_fields(sent), "request_id": earlier}),
    )
    await trio.sleep(1)
    assert ledger.postings == []
    assert ends == {}
    nursery.cancel_scope.cancel()


def _fields(sent):
    return {name: getattr(sent, name) for name in sent.__dataclass_fields__}

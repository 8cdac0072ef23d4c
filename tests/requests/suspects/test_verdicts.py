"""Verdicts that several hosts reach from what each of them saw, in virtual time."""

from __future__ import annotations

import random

import trio
from hypothesis import given
from hypothesis import strategies as st

from poplarward.protocol.verdicts import Verdict
from poplarward.requests.suspects import SuspectTable, crash_id, request_digest
from poplarward.requests.suspects.table import REPORT_DELAY_MS, VERDICT_TTL_MS

CRASHING, BESIDE, POPULAR = 1, 2, 3
REQUESTS = CRASHING, BESIDE, POPULAR
N_HOSTS = 4
CRASHES = st.integers(0, 5)
HOSTS = st.integers(0, N_HOSTS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), HOSTS, st.sampled_from(REQUESTS), CRASHES),
        st.tuples(st.just("clear"), HOSTS, st.sampled_from((BESIDE, POPULAR))),
        st.tuples(st.just("judge"), HOSTS),
        st.tuples(st.just("wait"), st.sampled_from((50, 400))),
    ),
    max_size=25,
)


def message_of(table):
    return table.export(table.digests_since(0))


def verdicts_of(table):
    return {request: table.verdict(request) for request in REQUESTS}


async def replay(steps, seed):
    """Let hosts record and exchange, with messages lost, late and repeated."""
    rng = random.Random(seed)
    tables = [SuspectTable() for _ in range(N_HOSTS)]
    in_transit = []
    for step in steps:
        match step:
            case ("crash", host, request, crash):
                tables[host].record_crash(request, crash)
            case ("clear", host, request):
                tables[host].clear(request)
            case ("judge", host):
                tables[host].quarantine_causes()
            case ("wait", ms):
                await trio.sleep(ms / 1000)
        in_transit.append(message_of(rng.choice(tables)))
        message = rng.choice(in_transit)
        rng.choice(tables).merge_shared(message)
    return tables


@given(steps=STEPS, seed=st.integers(0, 9))
def test_hosts_agree_whatever_the_order_loss_and_repetition(steps, seed):
    async def run():
        tables = await replay(steps, seed)
        orders = [list(tables), list(reversed(tables))]
        merged = []
        for order in orders:
            table = SuspectTable()
            for message in [message_of(t) for t in (*order, *order)]:
                table.merge_shared(message)
            merged.append(table)
        assert verdicts_of(merged[0]) == verdicts_of(merged[1])
        first, second = (
            # The lifetime is that of the first verdict that arrived.
            sorted(v._replace(suspicion=v.suspicion[:4]) for v in message_of(table))
            for table in merged
        )
        assert first == second
        await trio.sleep(2 * REPORT_DELAY_MS / 1000)
        for table in merged:
            table.quarantine_causes()
        assert verdicts_of(merged[0]) == verdicts_of(merged[1])

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@given(
    crashes=st.lists(CRASHES, min_size=3, max_size=6, unique=True),
    beside=st.lists(st.tuples(HOSTS, CRASHES), max_size=8),
    seed=st.integers(0, 9),
)
def test_request_at_three_crashes_is_quarantined_by_every_host(crashes, beside, seed):
    async def run():
        rng = random.Random(seed)
        steps = [("crash", rng.randrange(N_HOSTS), CRASHING, c) for c in crashes]
        steps += [("crash", host, BESIDE, crash) for host, crash in beside]
        rng.shuffle(steps)
        tables = await replay(steps, seed)
        for message in [message_of(table) for table in tables]:
            for table in tables:
                table.merge_shared(message)
        for table in tables:
            table.quarantine_causes()
            assert table.verdict(CRASHING) is Verdict.QUARANTINED

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def settle(table):
    await trio.sleep(REPORT_DELAY_MS / 1000)
    table.quarantine_causes()


async def test_two_crashes_identify_the_only_request_at_both(autojump_clock):
    table = SuspectTable()
    for request, crash in ((CRASHING, 7), (BESIDE, 7), (CRASHING, 8), (POPULAR, 8)):
        table.record_crash(request, crash)
    table.quarantine_causes()
    assert table.verdict(CRASHING) is Verdict.SUSPECT  # Other hosts may yet report.
    await settle(table)
    assert verdicts_of(table) == {
        CRASHING: Verdict.QUARANTINED,
        BESIDE: Verdict.SUSPECT,
        POPULAR: Verdict.SUSPECT,
    }


async def test_two_crashes_prove_nothing_while_upstreams_fail_by_themselves(
    autojump_clock,
):
    table = SuspectTable()
    for request, crash in ((BESIDE, 6), (CRASHING, 7), (CRASHING, 8)):
        table.record_crash(request, crash)
    table.clear(BESIDE)
    await settle(table)
    assert table.verdict(CRASHING) is Verdict.SUSPECT
    table.record_crash(CRASHING, 9)
    table.quarantine_causes()
    assert table.verdict(CRASHING) is Verdict.QUARANTINED


async def test_requests_at_the_same_crashes_are_told_apart_by_the_one_that_ends(
    autojump_clock,
):
    table = SuspectTable()
    for request in (CRASHING, BESIDE):
        table.record_crash(request, 7)
        table.record_crash(request, 8)
    await settle(table)
    assert table.verdict(CRASHING) is table.verdict(BESIDE) is Verdict.SUSPECT
    table.clear(BESIDE)
    table.quarantine_causes()
    assert table.verdict(CRASHING) is Verdict.QUARANTINED
    assert table.verdict(BESIDE) is Verdict.CLEARED


async def test_request_beside_a_quarantined_one_is_not_blamed_for_its_crashes(
    autojump_clock,
):
    table = SuspectTable()
    for crash in (7, 8, 9):
        table.record_crash(CRASHING, crash)
    table.record_crash(BESIDE, 7)
    table.record_crash(BESIDE, 8)
    await settle(table)
    assert table.verdict(CRASHING) is Verdict.QUARANTINED
    assert table.verdict(BESIDE) is Verdict.SUSPECT


async def test_crash_that_several_hosts_report_counts_once(autojump_clock):
    first, second = SuspectTable(), SuspectTable()
    crash = crash_id("i-1", 5)
    assert crash != crash_id("i-1", 6)
    first.record_crash(CRASHING, crash)
    message = message_of(first)
    second.merge_shared(message)
    second.record_crash(CRASHING, crash)
    await settle(second)
    assert second.verdict(CRASHING) is Verdict.SUSPECT
    assert second.n_crashes(CRASHING) == 1


async def test_popular_request_that_ends_between_crashes_is_never_quarantined(
    autojump_clock,
):
    table = SuspectTable()
    for crash in range(40):
        table.record_crash(POPULAR, crash)
        await settle(table)
        assert table.verdict(POPULAR) is not Verdict.QUARANTINED
        table.clear(POPULAR)


async def test_wrong_verdict_ends_when_the_request_ends_elsewhere(autojump_clock):
    first, second = SuspectTable(), SuspectTable()
    for crash in (7, 8, 9):
        first.record_crash(POPULAR, crash)
    first.quarantine_causes()
    assert first.verdict(POPULAR) is Verdict.QUARANTINED
    message = message_of(first)
    second.merge_shared(message)
    second.clear(POPULAR)
    message = message_of(second)
    first.merge_shared(message)
    assert first.verdict(POPULAR) is Verdict.CLEARED


async def test_verdict_expires_although_hosts_repeat_it_to_each_other(autojump_clock):
    tables = [SuspectTable(), SuspectTable()]
    for crash in (7, 8, 9):
        tables[0].record_crash(CRASHING, crash)
    tables[0].quarantine_causes()
    for _ in range(int(VERDICT_TTL_MS / 1000) + 1):
        for sender, receiver in (tables, reversed(tables)):
            message = message_of(sender)
            await trio.sleep(0.5)
            receiver.merge_shared(message)
    assert all(table.verdict(CRASHING) is None for table in tables)


async def test_sender_that_lacks_a_verdict_is_recognised(autojump_clock):
    first, second = SuspectTable(), SuspectTable()
    for table in (first, second):
        table.record_crash(CRASHING, 7)
    stale = message_of(first)
    second.clear(CRASHING)
    assert second.merge_shared(stale) == [CRASHING]
    current = message_of(second)
    assert first.merge_shared(current) == []
    assert first.verdict(CRASHING) is Verdict.CLEARED


async def test_table_stays_bounded(autojump_clock):
    table = SuspectTable(n_entries=20)
    for digest in range(100):
        for crash in (7, 8, 9, 10):
            table.record_crash(digest, crash)
    message = message_of(table)
    assert len(message) == 20
    assert max(len(verdict.crash_ids) for verdict in message) == 3


def test_digest_differs_by_each_part_of_a_request():
    parts = ("shop.example", "ateliers", "POST", "/read/1", b"body")
    changed = ("x.example", "owners", "PUT", "/read/2", b"other")
    digests = {request_digest(*parts)}
    for number, value in enumerate(changed):
        digests.add(request_digest(*parts[:number], value, *parts[number + 1 :]))
    assert len(digests) == 6


async def test_verdict_of_a_process_that_only_counts_crashes_is_merged(
    autojump_clock,
):
    table, other = SuspectTable(), SuspectTable()
    table.suspect([CRASHING])
    other.merge(table.changes_since(0))
    assert other.verdict(CRASHING) is Verdict.SUSPECT
    other.record_crash(CRASHING, 7)
    assert message_of(other)[0].crash_ids == (7,)

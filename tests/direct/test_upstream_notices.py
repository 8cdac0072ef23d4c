from __future__ import annotations

from poplarward.direct.admission_queue import AdmissionRequest, Admitted, Refused
from poplarward.direct.clock import now_ms
from poplarward.direct.model import UpstreamEntry
from poplarward.direct.upstream_notices import (
    EXPIRY_MS,
    MAX_PAUSE_MS,
    RECHECK_INTERVAL_MS,
    Notice,
    NoticeTable,
    UpstreamNotices,
)
from poplarward.direct.upstreams import UpstreamTable
from tests.direct.relay_harness import (
    STAMP,
    ScriptedUpstream,
    event,
    open_relay,
    response,
    streaming,
)

LEAVES = b"Server-Leaving: 1\r\n"


def answering(status, extra, body=b"whole"):
    """Return a behaviour that responds with a status and further headers."""

    async def behave(stream, request):
        await stream.send_all(response(request, status, body, STAMP + extra))

    return behave


def pausing(seconds):
    """Return a behaviour that refuses a request and asks for a pause."""
    extra = b"Poplarward-Not-Run: 1\r\nRetry-After: %s\r\n" % seconds
    return answering(503, extra, b"")


def test_late_response_does_not_end_the_leaving():
    """Its request was sent before the upstream said that it leaves."""
    notices = UpstreamNotices("u")
    notices.record(Notice(is_leaving=True), sent_at_ms=10.0, at_ms=20.0)
    notices.record(Notice(), sent_at_ms=15.0, at_ms=40.0)
    assert notices.is_leaving
    notices.record(Notice(is_leaving=None), sent_at_ms=30.0, at_ms=40.0)
    assert notices.is_leaving
    notices.record(Notice(), sent_at_ms=30.0, at_ms=50.0)
    assert not notices.is_leaving


def test_longest_pause_counts_and_is_bounded():
    notices = UpstreamNotices("u")
    notices.record(Notice(pause_ms=3_000.0), 0.0, at_ms=100.0)
    notices.record(Notice(pause_ms=500.0), 0.0, at_ms=200.0)
    notices.record(Notice(), sent_at_ms=300.0, at_ms=400.0)
    assert notices.paused_until_ms == 3_100.0
    notices.record(Notice(pause_ms=3_600_000.0), 0.0, at_ms=1_000.0)
    assert notices.paused_until_ms == 1_000.0 + MAX_PAUSE_MS


def test_pause_of_nothing_is_none():
    notices = UpstreamNotices("u")
    notices.record(Notice(pause_ms=0.0), 0.0, at_ms=100.0)
    assert not notices.is_paused(100.0)


def test_upstream_that_leaves_is_checked_each_few_seconds():
    notices = UpstreamNotices("u")
    assert not notices.take_check(at_ms=1e9)
    notices.record(Notice(is_leaving=True), 0.0, at_ms=0.0)
    checks = [at for at in range(0, 20_000, 1_000) if notices.take_check(at)]
    assert checks == [RECHECK_INTERVAL_MS * n for n in (1, 2, 3)]


def test_notice_outlasts_a_gap_in_the_registry():
    """The store was away, the entry expired, and the same start registers again."""
    notices = NoticeTable()
    notices.of(1, "u").record(Notice(is_leaving=True), 0.0, at_ms=0.0)
    notices.of(2, "v")
    notices.discard_old(set(), at_ms=EXPIRY_MS)
    assert notices.of(1, "u").is_leaving
    notices.discard_old({1}, at_ms=10 * EXPIRY_MS)
    assert notices.of(1, "u").is_leaving
    notices.discard_old(set(), at_ms=10 * EXPIRY_MS)
    assert not notices.of(1, "u").is_leaving


async def test_upstream_that_says_it_leaves_gets_no_further_request():
    """Whatever the status of the response that says so."""
    for status in (200, 404, 500):
        leaving = ScriptedUpstream(*[answering(status, LEAVES)] * 9)
        other = ScriptedUpstream()
        async with open_relay(leaving, other) as harness:
            for _ in range(12):
                await harness.call("/read/1")
            assert len(leaving.seen) <= 1
            assert len(leaving.seen) + len(other.seen) >= 12


async def test_head_of_a_stream_says_that_its_upstream_leaves():
    async def behave(stream, request):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + b"Poplarward-Request-Id: r-1\r\n"
            + STAMP
            + LEAVES
            + b"\r\n"
            + event(1)
        )
        return False

    leaving = ScriptedUpstream(behave, *[streaming(1, 1)] * 9)
    other = ScriptedUpstream(*[streaming(1, 1)] * 9)
    async with open_relay(leaving, other) as harness:
        for _ in range(8):
            received = await harness.call("/write/1")
            assert received.body == event(1)
        assert len(leaving.seen) <= 1


async def test_request_whose_slot_was_taken_before_the_notice_goes_elsewhere():
    """The connection took a while; the upstream said meanwhile that it leaves."""
    leaving, other = ScriptedUpstream(), ScriptedUpstream()
    async with open_relay(leaving, other) as harness:
        table = harness.routing_state.upstreams
        table.get("u1").entry = table.get("u1").entry._replace(is_draining=True)
        acquire = table.get("u0").pool.acquire

        async def acquire_after_notice(max_idle_s):
            connection = await acquire(max_idle_s)
            table.get("u0").notices.record(Notice(is_leaving=True), 0.0, now_ms())
            table.get("u1").entry = table.get("u1").entry._replace(is_draining=False)
            return connection

        table.get("u0").pool.acquire = acquire_after_notice
        assert (await harness.call("/pay/1")).status == 200
        assert (len(leaving.seen), len(other.seen)) == (0, 1)


async def test_new_start_of_an_upstream_that_left_is_used():
    leaving = ScriptedUpstream(answering(200, LEAVES))
    async with open_relay(leaving) as harness:
        assert (await harness.call("/read/1")).status == 200
        assert (await harness.call("/read/1")).status == 503
        table = harness.routing_state.upstreams
        entry = table.get("u0").entry
        table.remove("u0", None)
        table.put(entry)
        assert (await harness.call("/read/1")).status == 503
        table.put(entry._replace(started_at_ms=2))
        assert (await harness.call("/read/1")).status == 200


async def test_requests_go_elsewhere_while_an_upstream_pauses():
    busy, other = ScriptedUpstream(pausing(b"60")), ScriptedUpstream()
    async with open_relay(busy, other) as harness:
        for _ in range(12):
            assert (await harness.call("/read/1")).status == 200
        assert len(busy.seen) <= 1


async def test_callers_are_told_when_the_first_upstream_wants_requests_again():
    first, second = ScriptedUpstream(pausing(b"60")), ScriptedUpstream(pausing(b"30"))
    async with open_relay(first, second) as harness:
        await harness.call("/read/1")
        refused = await harness.call("/read/1")
        assert refused.status == 503
        assert 15.0 < float(refused.headers["retry-after"]) <= 30.0
        assert (len(first.seen), len(second.seen)) == (1, 1)


async def test_request_waits_for_a_pause_that_ends_in_time():
    async with open_relay(ScriptedUpstream()) as harness:
        state = harness.routing_state
        notices = state.upstreams.get("u0").notices
        began_at_ms = now_ms()
        notices.record(Notice(pause_ms=300.0), 0.0, began_at_ms)
        admitted = await state.admit("app", AdmissionRequest(1, 1e12, 60_000.0))
        assert isinstance(admitted, Admitted)
        assert now_ms() >= began_at_ms + 300.0
        state.release("app", state.upstreams.get("u0"))


async def test_request_that_can_not_wait_for_the_pause_is_refused_at_once():
    async with open_relay(ScriptedUpstream()) as harness:
        state = harness.routing_state
        notices = state.upstreams.get("u0").notices
        notices.record(Notice(pause_ms=30_000.0), 0.0, now_ms())
        refused = await state.admit("app", AdmissionRequest(1, 1e12, 200.0))
        assert isinstance(refused, Refused)
        assert 15_000.0 < refused.retry_after_ms <= 30_000.0


def test_pause_does_not_make_a_crash_of_the_upstream_a_planned_end():
    table = UpstreamTable()
    table.put(UpstreamEntry("u0", "app", "127.0.0.1:1", "a", 4, False, 1))
    table.get("u0").notices.record(Notice(pause_ms=5_000.0), 0.0, at_ms=0.0)
    assert table.get("u0").accepts_requests(1.0)
    assert not table.get("u0").is_available(1.0)
    table.get("u0").notices.record(Notice(is_leaving=True), 0.0, at_ms=0.0)
    assert not table.get("u0").accepts_requests(1.0)

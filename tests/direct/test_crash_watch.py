"""Crashing requests at one entry host, and the verdicts in heartbeats."""

from __future__ import annotations

import random

import cbor2
import pytest
import trio
import trio.testing

from poplarward.direct.heartbeat_format import (
    FORMAT,
    HostHeartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from poplarward.direct.host_heartbeats import (
    MAX_DATAGRAM_BYTES,
    HeartbeatExchange,
    HostState,
)
from poplarward.direct.suspect_exchange import (
    FRESH_SENDS,
    MAX_FRESH,
    REPEAT_INTERVAL_MS,
    SuspectExchange,
)
from poplarward.errors import DecodeError
from poplarward.protocol.verdicts import Verdict
from poplarward.requests.suspects import SuspectTable, request_digest
from tests.direct.relay_harness import (
    ScriptedUpstream,
    cut,
    failing,
    good,
    hanging,
    not_run,
    open_relay,
    streaming,
)

DIGEST = 0xFFFF_FFFF_FFFF_FFFF
MAX_LOADS = {f"i-{number:010x}": 12 for number in range(300)}


def digest_of(target, method="GET", body=b""):
    return request_digest("shop.example", "ateliers", method, target, body)


def ending(upstream):
    """Return a behaviour that ends its upstream: all connections, and the listener."""

    async def behave(stream, request):
        upstream.scope.cancel()
        return False

    return behave


class EndingUpstream(ScriptedUpstream):
    """An upstream that can end."""

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        with trio.CancelScope() as self.scope:
            await super().serve(task_status)


async def test_broken_connection_to_an_upstream_that_lives_is_no_crash():
    upstream = ScriptedUpstream(*[cut] * 20)
    async with open_relay(upstream) as harness:
        for _ in range(10):
            assert (await harness.call("/read/1")).status == 502
            harness.routing_state.upstreams.get("u0").health.record_success()
        assert harness.suspects.is_empty
    assert len(upstream.seen) == 10


async def test_upstream_that_is_draining_may_end():
    upstream = EndingUpstream()
    upstream.behaviours = [ending(upstream)]
    async with open_relay(upstream) as harness:
        upstreams = harness.routing_state.upstreams

        async def drain_then_end(stream, request):
            upstreams.put(harness.entry(0, upstream, is_draining=True))
            return await ending(upstream)(stream, request)

        upstream.behaviours = [drain_then_end]
        assert (await harness.call("/pay/1", "POST")).status == 502
        assert harness.suspects.is_empty


async def test_upstream_that_ends_makes_a_suspect_also_on_a_reused_connection():
    upstream = EndingUpstream()
    async with open_relay(upstream) as harness:
        assert (await harness.call("/read/0")).status == 200
        await trio.sleep(0.3)  # Long enough for a dropped connection to be possible.
        upstream.behaviours = [ending(upstream)]
        assert (await harness.call("/read/1")).status in (502, 503)
        assert harness.suspects.verdict(digest_of("/read/1")) is Verdict.SUSPECT
        assert harness.suspects.verdict(digest_of("/read/0")) is None
    assert upstream.n_connections == 1


@pytest.mark.parametrize(
    ("target", "method", "sound"),
    [
        ("/read/1", "GET", good),
        ("/pay/1", "POST", good),
        ("/write/1", "POST", streaming(1, 3)),
    ],
)
async def test_quarantined_request_is_refused_at_once_and_not_run(
    target, method, sound
):
    upstream = ScriptedUpstream(sound)
    async with open_relay(upstream) as harness:
        harness.suspects.quarantine(digest_of(target, method, b"body"))
        began = trio.current_time()
        refused = await harness.call(target, method, b"body")
        assert trio.current_time() - began < 0.2
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 500
        assert refused.headers["poplarward-request-id"] == "r-1"
        assert upstream.seen == []
        received = await harness.call(target, method, b"other")
        assert (received.status, received.is_whole) == (200, True)


async def test_quarantined_request_does_not_wait_for_a_slot():
    upstream = ScriptedUpstream(*[hanging] * 8)
    async with open_relay(upstream) as harness, trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(harness.call, f"/pay/{number}", "POST")
        while len(upstream.seen) < 8:
            await trio.sleep(0.01)
        harness.suspects.quarantine(digest_of("/read/1"))
        refused = await harness.call("/read/1")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 500
        nursery.cancel_scope.cancel()


async def test_request_is_refused_if_the_verdict_comes_while_it_waits():
    released = trio.Event()

    async def wait_for_release(stream, request):
        await released.wait()
        await good(stream, request)

    upstream = ScriptedUpstream(*[wait_for_release] * 8)
    async with open_relay(upstream) as harness, trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(harness.call, f"/pay/{number}", "POST")
        while len(upstream.seen) < 8:
            await trio.sleep(0.01)
        results = []

        async def wait_in_queue():
            results.append(await harness.call("/read/1"))

        nursery.start_soon(wait_in_queue)
        await trio.sleep(0.03)
        harness.suspects.quarantine(digest_of("/read/1"))
        released.set()
        while not results:
            await trio.sleep(0.01)
        assert results[0].status == 503
        assert float(results[0].headers["retry-after"]) > 500
        assert "/read/1" not in {request.target for request in upstream.seen}


async def test_request_that_crashed_an_upstream_before_is_not_called_not_run():
    """A refusal after an attempt that may have run must not promise that it didn't."""
    first, second = EndingUpstream(), EndingUpstream()
    async with open_relay(first, second) as harness:
        digest = digest_of("/read/1")
        harness.suspects.record_crash(digest, 7)
        harness.suspects.record_crash(digest, 8)
        for upstream in (first, second):
            upstream.behaviours = [ending(upstream)]
        response = await harness.call("/read/1")
        assert response.status == 502
        assert "retry-after" not in response.headers
        assert harness.suspects.verdict(digest) is Verdict.QUARANTINED
    assert len(first.seen) + len(second.seen) == 1


@pytest.mark.parametrize(
    ("behaviours", "is_cleared"),
    [((), True), ((failing, failing), False), ((not_run, not_run), False)],
)
async def test_only_a_request_that_was_answered_is_cleared(behaviours, is_cleared):
    async with open_relay(ScriptedUpstream(*behaviours)) as harness:
        digest = digest_of("/read/1")
        harness.suspects.record_crash(digest, 7)
        await harness.call("/read/1")
        expected = Verdict.CLEARED if is_cleared else Verdict.SUSPECT
        assert harness.suspects.verdict(digest) is expected


def heartbeat(verdicts=(), loads=None):
    return HostHeartbeat(
        *("entry-1", "a1", 7, "10.0.0.1:80", True, loads or {}, {}, False, (), {}, 0.0),
        verdicts,
    )


def full_table():
    """Return a table with the longest entries."""
    table = SuspectTable()
    for number in range(1_100):
        for crash in (2**32 - 1, 2**32 - 2, 2**32 - 3):
            table.record_crash(DIGEST - number, crash)
    table.quarantine_causes()
    return table


def test_earlier_release_reads_the_fields_that_it_knows():
    async def run():
        table = full_table()
        verdicts = SuspectExchange(table).next_verdicts(1_000)
        data = encode_heartbeat(heartbeat(verdicts))
        version, *fields = cbor2.loads(data)
        assert version == FORMAT
        # The fields of the release before, which reads no more than these.
        assert fields[:11] == cbor2.loads(cbor2.dumps(list(heartbeat())[:11]))
        assert list(decode_heartbeat(data).verdicts) == verdicts
        assert decode_heartbeat(cbor2.dumps([FORMAT, *fields[:11]])) == heartbeat()

    trio.run(run)


def test_invalid_verdicts_are_refused():
    data = cbor2.dumps([FORMAT, *heartbeat()._replace(verdicts=[1, 2])])
    with pytest.raises(DecodeError):
        decode_heartbeat(data)


@pytest.mark.parametrize("loads", [{}, MAX_LOADS])
async def test_heartbeat_with_verdicts_fits_into_a_datagram(loads, autojump_clock):
    exchange = SuspectExchange(full_table())
    n_bytes = len(encode_heartbeat(heartbeat(loads=loads)))
    for _ in range(20):
        verdicts = exchange.next_verdicts(MAX_DATAGRAM_BYTES - n_bytes)
        data = encode_heartbeat(heartbeat(verdicts, loads))
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert len(data) <= n_bytes + 1_024
        await trio.sleep(0.05)
    assert exchange.next_verdicts(40) == []


async def exchange_until(exchanges, loss, is_done, seed, interval_ms=250.0):
    """Pass heartbeats between hosts until a condition holds; return the time in s."""
    rng = random.Random(seed)
    began = trio.current_time()
    while not is_done():
        assert trio.current_time() - began < 60
        for sender in exchanges:
            message = sender.next_verdicts(8_000)
            for receiver in exchanges:
                if message and receiver is not sender and rng.random() >= loss:
                    receiver.merge(message)
        await trio.sleep(interval_ms / 1000)
    return trio.current_time() - began


@pytest.mark.parametrize("seed", range(10))
async def test_verdicts_reach_21_hosts_in_time_despite_loss(seed, autojump_clock):
    """Three datagrams in ten are lost, and crashes of sound requests are reported."""
    tables = [SuspectTable() for _ in range(21)]
    exchanges = [SuspectExchange(table) for table in tables]
    for number in range(3):
        tables[number].record_crash(DIGEST, number)
        for other in range(6):
            tables[number].record_crash(10 * number + other, number)
    taken_s = await exchange_until(
        exchanges,
        0.3,
        lambda: all(t.verdict(DIGEST) is Verdict.QUARANTINED for t in tables),
        seed,
    )
    assert taken_s <= 1.0


async def test_host_that_starts_gets_the_lasting_verdicts_at_once(autojump_clock):
    table, started = full_table(), SuspectTable()
    exchange = SuspectExchange(table)
    while exchange.next_verdicts(8_000)[MAX_FRESH // 2 :]:
        await trio.sleep(0.05)
    exchange.resend_lasting()
    for _ in range(10):
        started_before = started.n_quarantined
        message = exchange.next_verdicts(8_000)
        started.merge_shared(message)
        assert started.n_quarantined >= min(started_before + MAX_FRESH, 1_024)


async def test_lasting_verdicts_are_repeated_and_others_are_not(autojump_clock):
    table = SuspectTable()
    exchange = SuspectExchange(table)
    for number in range(5):
        table.record_crash(number, 7)
    table.quarantine(DIGEST)
    for _ in range(FRESH_SENDS):
        assert len(exchange.next_verdicts(8_000)) == 6
    exchange.next_verdicts(8_000)
    for _ in range(3):
        await trio.sleep(REPEAT_INTERVAL_MS / 1000)
        [entry] = exchange.next_verdicts(8_000)
        assert entry.suspicion.digest == DIGEST
        assert exchange.next_verdicts(8_000) == []


async def test_host_that_missed_a_verdict_gets_it_after_its_next_heartbeat(
    autojump_clock,
):
    informed, behind = SuspectTable(), SuspectTable()
    for table in (informed, behind):
        table.record_crash(DIGEST, 7)
        table.record_crash(DIGEST, 8)
    exchanges = [SuspectExchange(informed), SuspectExchange(behind)]
    informed.clear(DIGEST)
    for exchange in exchanges:
        for _ in range(FRESH_SENDS):
            exchange.next_verdicts(8_000)  # All lost.
    await trio.sleep(0.3)
    exchanges[0].merge(exchanges[1].next_verdicts(8_000))
    exchanges[1].merge(exchanges[0].next_verdicts(8_000))
    assert behind.verdict(DIGEST) is Verdict.CLEARED


def test_empty_field_adds_one_byte_to_a_heartbeat():
    async def run():
        assert SuspectExchange(SuspectTable()).next_verdicts(8_000) == []
        with_none = len(encode_heartbeat(heartbeat()))
        n_later_fields = len(heartbeat()) - 11
        expected = len(cbor2.dumps([FORMAT, *heartbeat()[:11]])) + n_later_fields
        assert with_none == expected

    trio.run(run)


async def test_verdicts_pass_between_hosts_and_to_one_that_restarts():
    def start(name):
        table = SuspectTable()
        exchange = HeartbeatExchange(
            name,
            name,
            lambda: HostState({}, {}),
            lambda: True,
            lambda loads: None,
            suspects=SuspectExchange(table),
        )
        return table, exchange

    async def run_until_known(nursery, table, exchange):
        scope = trio.CancelScope()

        async def run():
            with scope:
                await exchange.run()

        nursery.start_soon(run)
        with trio.fail_after(2):
            while table.verdict(DIGEST) is not Verdict.QUARANTINED:
                await trio.sleep(0.01)
        return scope

    first_table, first = start("front-1")
    await first.start("127.0.0.1", 0)
    ports = []
    async with trio.open_nursery() as nursery:
        for crash in (7, 8, 9):
            first_table.record_crash(DIGEST, crash)
        first_table.quarantine_causes()
        await run_until_known(nursery, first_table, first)
        for _ in range(2):  # The second time it has lost all that it knew.
            table, other = start("front-2")
            await other.start("127.0.0.1", ports[0] if ports else 0)
            ports = [other._socket.getsockname()[1]]
            first.add_endpoints([("127.0.0.1", ports[0])])
            other.add_endpoints([first._socket.getsockname()])
            scope = await run_until_known(nursery, table, other)
            scope.cancel()
            await trio.testing.wait_all_tasks_blocked()
            other.close()
        nursery.cancel_scope.cancel()
    first.close()

from __future__ import annotations

import trio

from poplarward.direct import attempts
from poplarward.direct.clock import now_ms
from poplarward.transport.http1_client import SAFE_IDLE_S
from tests.direct.relay_harness import (
    STAMP,
    ScriptedUpstream,
    configuration,
    cut,
    event,
    failing,
    good,
    hanging,
    not_run,
    open_relay,
    read_response,
    request_bytes,
    response,
    streaming,
)


async def test_request_reaches_the_upstream_unchanged():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        received = await harness.call(
            "/pay/1?x=%2F",
            "POST",
            b"body",
            Poplarward_Tenant="forged",
            Poplarward_Model="m",
            X_Other="kept",
        )
    assert (received.status, received.body) == (200, b"whole")
    assert received.headers["poplarward-server-stamp"] == "s.1"
    [seen] = upstream.seen
    assert (seen.method, seen.target, seen.body) == ("POST", "/pay/1?x=%2F", b"body")
    assert seen.headers["poplarward-tenant"] == "ateliers"
    assert seen.headers["poplarward-expect-instance"] == "u0"
    assert seen.headers["poplarward-model"] == "m"
    assert seen.headers["x-other"] == "kept"
    assert "authorization" not in seen.headers
    assert 0 < int(seen.headers["poplarward-deadline-ms"]) <= 1_000


async def test_unknown_routes_and_keys_are_denied():
    async with open_relay(ScriptedUpstream()) as harness:
        assert (await harness.call("/nowhere/1")).status == 404
        assert (await harness.call("/read")).status == 404
        assert (await harness.call("/read/1", key="other")).status == 401
        assert (await harness.call("/read/1", key=None)).status == 401
        assert (await harness.call("/open/1", key=None)).status == 200


async def test_without_a_current_configuration_requests_are_refused_not_denied():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        harness.age_ms = 5_000.0
        assert (await harness.call("/nowhere/1")).status == 503
        assert (await harness.call("/read/1")).status == 503
        harness.routing_state.routing_table = None
        assert (await harness.call("/read/1")).status == 503
    assert upstream.seen == []


async def test_idempotent_request_is_retried_after_a_failure():
    for behaviour in (failing, cut, not_run):
        first, second = ScriptedUpstream(behaviour, behaviour), ScriptedUpstream()
        async with open_relay(first, second) as harness:
            harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
            assert (await harness.call("/read/1")).status == 200
        assert len(first.seen) == len(second.seen) == 1


async def test_last_failure_of_an_upstream_is_returned_unchanged():
    async with open_relay(
        ScriptedUpstream(failing), ScriptedUpstream(failing)
    ) as harness:
        received = await harness.call("/read/1")
    assert (received.status, received.body) == (500, b"bad")
    assert received.headers["poplarward-server-stamp"] == "s.1"


async def test_call_that_may_have_run_is_not_retried_nor_reported_as_not_run():
    first, second = ScriptedUpstream(cut), ScriptedUpstream(cut)
    async with open_relay(first, second) as harness:
        received = await harness.call("/pay-twice/1", "POST", b"x")
    assert received.status == 502
    assert "retry-after" not in received.headers
    assert len(first.seen) + len(second.seen) == 1


async def test_call_that_did_not_run_may_be_retried_elsewhere():
    first, second = ScriptedUpstream(not_run), ScriptedUpstream(not_run)
    async with open_relay(first, second) as harness:
        received = await harness.call("/pay-twice/1", "POST", b"x")
    assert received.status == 503
    assert float(received.headers["retry-after"]) >= 0
    assert len(first.seen) == len(second.seen) == 1


async def test_attempts_are_bounded_by_the_route():
    upstream = ScriptedUpstream(not_run, not_run, not_run)
    async with open_relay(upstream) as harness:
        assert (await harness.call("/pay/1", "POST", b"x")).status == 503
        assert len(upstream.seen) == 1


async def test_unknown_then_not_run_is_not_reported_as_not_run():
    # Either upstream may get the first attempt, which breaks the connection.
    seen = []

    async def first_cut_then_not_run(stream, request):
        seen.append(request)
        if len(seen) == 1:
            return False
        return await not_run(stream, request)

    upstreams = [ScriptedUpstream(*[first_cut_then_not_run] * 3) for _ in range(2)]
    async with open_relay(*upstreams) as harness:
        received = await harness.call("/read/1")
    assert len(seen) == 2
    assert received.status == 502


async def test_returning_caller_is_recognised_by_the_time_left():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        slack_ms, max_wait_ms = [], []
        admit = harness.routing_state.admit

        async def record(service, admission):
            slack_ms.append(admission.latest_start_ms - now_ms())
            max_wait_ms.append(admission.max_wait_ms)
            return await admit(service, admission)

        harness.routing_state.admit = record
        await harness.call("/read/1")  # The route allows 1 s, the caller 2 s.
        await harness.call("/read/1", Poplarward_Deadline_Ms="900")
        await harness.call("/read/1", Poplarward_Deadline_Ms="400")
    first, impatient, returned = slack_ms
    # The first two may start within 135 ms; the last one first asked 600 ms ago.
    assert min(first, impatient) > -200 > returned
    assert max_wait_ms[0] == max_wait_ms[1] != max_wait_ms[2]


async def test_callers_of_a_closed_rank_group_get_a_long_retry_after():
    """A rank has crashed; its group is unavailable for longer than callers retry."""

    async def group_waits(stream, request):
        await stream.send_all(
            b"HTTP/1.1 503 x\r\nContent-Length: 0\r\nPoplarward-Not-Run: 1\r\n"
            b"Poplarward-Request-Id: r-1\r\nAt-Server: u9\r\n\r\n"
        )

    upstream = ScriptedUpstream(group_waits)
    async with open_relay(upstream) as harness:
        responses = [await harness.call("/write/1", "POST", b"x") for _ in range(2)]
    assert [received.status for received in responses] == [503, 503]
    assert all(float(received.headers["retry-after"]) >= 2.0 for received in responses)
    assert len(upstream.seen) == 1


async def test_draining_upstream_gets_no_requests():
    draining, staying = ScriptedUpstream(), ScriptedUpstream()
    async with open_relay(draining, staying) as harness:
        harness.routing_state.upstreams.put(
            harness.entry(0, draining, is_draining=True)
        )
        for _ in range(6):
            assert (await harness.call("/read/1")).status == 200
        assert draining.seen == []
        harness.routing_state.upstreams.remove("u1", None)
        assert (await harness.call("/read/1")).status == 503
        assert draining.seen == []


async def test_misdirected_request_counts_as_not_run():
    async def misdirected(stream, request):
        await stream.send_all(response(request, 421, b""))

    async with open_relay(ScriptedUpstream(misdirected)) as harness:
        assert (await harness.call("/pay/1", "POST", b"x")).status == 503


async def test_response_to_another_request_is_skipped():
    async def late_and_own(stream, request):
        foreign = response(request, body=b"foreign", extra=STAMP, request_id="r-0")
        await stream.send_all(foreign)
        await trio.sleep(0.01)
        await stream.send_all(response(request, body=b"own", extra=STAMP))

    async with open_relay(ScriptedUpstream(late_and_own)) as harness:
        received = await harness.call("/pay/1", "POST", b"x")
    assert (received.status, received.body) == (200, b"own")


async def test_connection_with_surplus_bytes_is_not_reused():
    async def twice(stream, request):
        sent = response(request, body=b"own", extra=STAMP)
        await stream.send_all(sent + sent.replace(b"own", b"two"))

    upstream = ScriptedUpstream(twice)
    async with open_relay(upstream) as harness:
        for _ in range(2):
            received = await harness.call("/pay/1", "POST", b"x")
            assert received.status == 200
    assert received.body == b"whole"
    assert upstream.n_connections == 2


async def test_call_that_may_not_be_retried_avoids_a_long_idle_connection(
    monkeypatch,
):
    """The upstream may have dropped it without closing; what is sent is lost then."""
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        monkeypatch.setattr(attempts, "SAFE_IDLE_S", 0.0)
        assert (await harness.call("/read/1")).status == 200
        assert (await harness.call("/pay/1", "POST", b"x")).status == 200
        assert upstream.n_connections == 2
        # A call that may be retried reuses it, and so does one within the safe time.
        assert (await harness.call("/read/1")).status == 200
        monkeypatch.setattr(attempts, "SAFE_IDLE_S", 60.0)
        assert (await harness.call("/pay/1", "POST", b"x")).status == 200
        assert upstream.n_connections == 2


async def test_dropped_idle_connection_is_not_counted_as_a_failure():
    """The upstream drops idle connections without closing them; requests get lost."""

    async def lost_if_reused(stream, request):
        n_seen[stream] = n_seen.get(stream, 0) + 1
        if n_seen[stream] > 1:
            return False
        await good(stream, request)

    n_seen = {}
    upstream = ScriptedUpstream(*[lost_if_reused] * 9)
    async with open_relay(upstream) as harness:
        for _ in range(3):
            assert (await harness.call("/read/1")).status == 200
            await trio.sleep(SAFE_IDLE_S + 0.1)
        assert harness.routing_state.upstreams.get("u0").failure_share == 0
        # Only the second request lost its connection, and was retried.
        assert len(upstream.seen) == 4


async def test_success_without_the_server_stamp_is_rejected():
    async def unmarked(stream, request):
        await stream.send_all(response(request))

    async with open_relay(ScriptedUpstream(unmarked)) as harness:
        assert (await harness.call("/pay/1", "POST", b"x")).status == 502


async def test_truncated_body_is_rejected():
    async def short(stream, request):
        whole = response(request, body=b"0123456789", extra=STAMP)
        await stream.send_all(whole[:-4])
        return False

    async with open_relay(ScriptedUpstream(short)) as harness:
        assert (await harness.call("/pay/1", "POST", b"x")).status == 502


async def test_stream_is_forwarded_whole():
    async with open_relay(ScriptedUpstream(streaming(1, 5))) as harness:
        received = await harness.call("/write/1", "POST", b"x")
    assert received.is_whole
    assert received.body == b"".join(map(event, range(1, 6)))


async def test_broken_stream_is_resumed_elsewhere_without_lost_or_repeated_events():
    first = ScriptedUpstream(streaming(1, 3, is_cut=True, half_event=True))
    second = ScriptedUpstream(streaming(3, 6))
    async with open_relay(first, second) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
        received = await harness.call("/write/1", "POST", b"x")
    assert received.is_whole
    assert received.body == b"".join(map(event, range(1, 7)))
    assert second.seen[0].headers["last-event-id"] == "3"


async def test_stream_that_can_not_be_resumed_ends_incomplete():
    broken = [
        ScriptedUpstream(streaming(1, 2, is_cut=True), cut, cut) for _ in range(2)
    ]
    async with open_relay(*broken) as harness:
        received = await harness.call("/write/1", "POST", b"x")
    assert received.status == 200
    assert not received.is_whole


async def test_caller_of_a_hanging_upstream_gets_a_final_response_by_the_timeout():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as harness:
        with trio.fail_after(5):
            received = await harness.call("/pay/1", "POST", b"x")
    assert received.status == 504


async def test_callers_own_deadline_bounds_the_response():
    async with open_relay(ScriptedUpstream(hanging)) as harness:
        received = await harness.call(
            "/pay/1", "POST", b"x", Poplarward_Deadline_Ms="100"
        )
    assert received.status == 504


async def test_work_stops_when_the_caller_disconnects():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as harness:
        stream = await harness.connect()
        await stream.send_all(request_bytes("/pay/1", "POST", b"x"))
        while not upstream.seen:
            await trio.sleep(0.005)
        await stream.aclose()
        with trio.fail_after(5):
            while not upstream.n_aborted:
                await trio.sleep(0.005)


async def test_connection_serves_many_requests_and_closes_when_stopping():
    async with open_relay(ScriptedUpstream()) as harness:
        stream = await harness.connect()
        for _ in range(3):
            await stream.send_all(request_bytes("/read/1"))
            assert (await read_response(stream)).status == 200
        harness.server.close_idle()
        with trio.fail_after(5):
            assert await stream.receive_some(10) == b""
        await stream.aclose()


async def test_request_in_progress_survives_a_stop():
    async def slow(stream, request):
        await trio.sleep(0.1)
        return await good(stream, request)

    upstream = ScriptedUpstream(slow)
    async with open_relay(upstream) as harness:
        stream = await harness.connect()
        await stream.send_all(request_bytes("/pay/1", "POST", b"x"))
        while not upstream.seen:
            await trio.sleep(0.005)
        harness.server.close_idle()
        received = await read_response(stream)
        assert (received.status, received.body) == (200, b"whole")
        await stream.aclose()


async def test_key_revoked_while_queued_is_not_used():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as harness:
        harness.routing_state.upstreams.get("u0").n_peer_in_flight = 8
        async with trio.open_nursery() as nursery:
            responses = []

            async def call():
                responses.append(await harness.call("/read/1"))

            nursery.start_soon(call)
            while not harness.routing_state._queues:
                await trio.sleep(0.005)
            harness.routing_state.apply_configuration(configuration(2, keys=("k-2",)))
            harness.routing_state.upstreams.update_peer_loads({})
    assert responses[0].status == 503
    assert upstream.seen == []


async def test_older_configuration_does_not_replace_a_newer_one():
    async with open_relay(ScriptedUpstream()) as harness:
        harness.routing_state.apply_configuration(configuration(5))
        harness.routing_state.apply_configuration(configuration(4, keys=("k-2",)))
        assert harness.routing_state.version == 5
        assert harness.routing_state.allows_key("k-1")


async def test_stopping_host_refuses_new_requests():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        harness.routing_state.is_stopping = True
        received = await harness.call("/pay/1", "POST", b"x")
    assert received.status == 503
    assert received.headers["connection"] == "close"
    assert float(received.headers["retry-after"]) >= 0
    assert upstream.seen == []


async def test_key_that_becomes_stale_while_connecting_is_not_used():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as harness:
        pool = harness.routing_state.upstreams.get("u0").pool
        take = pool.acquire

        async def take_slowly(max_idle_s):
            connection = await take(max_idle_s)
            harness.age_ms = 5_000.0  # The host was suspended meanwhile.
            return connection

        pool.acquire = take_slowly
        assert (await harness.call("/read/1")).status == 503
    assert upstream.seen == []

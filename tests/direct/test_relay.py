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
    async with open_relay(upstream) as path:
        answer = await path.call(
            "/pay/1?x=%2F",
            "POST",
            b"body",
            Poplarward_Tenant="forged",
            Poplarward_Model="m",
            X_Other="kept",
        )
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers["poplarward-server-stamp"] == "s.1"
    [seen] = upstream.seen
    assert (seen.method, seen.target, seen.body) == ("POST", "/pay/1?x=%2F", b"body")
    assert seen.headers["poplarward-tenant"] == "ateliers"
    assert seen.headers["poplarward-expect-instance"] == "u0"
    assert seen.headers["poplarward-model"] == "m"
    assert seen.headers["x-other"] == "kept"
    assert "authorization" not in seen.headers
    assert 0 < int(seen.headers["poplarward-deadline-ms"]) <= 1_000


async def test_unknown_routes_and_keys_are_denied():
    async with open_relay(ScriptedUpstream()) as path:
        assert (await path.call("/nowhere/1")).status == 404
        assert (await path.call("/read")).status == 404
        assert (await path.call("/read/1", key="other")).status == 401
        assert (await path.call("/read/1", key=None)).status == 401
        assert (await path.call("/open/1", key=None)).status == 200


async def test_without_or_with_an_old_configuration_nothing_is_denied():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as path:
        path.age_ms = 5_000.0
        assert (await path.call("/nowhere/1")).status == 503
        assert (await path.call("/read/1")).status == 503
        path.beliefs.routing_table = None
        assert (await path.call("/read/1")).status == 503
    assert upstream.seen == []


async def test_idempotent_request_is_repeated_after_a_failure():
    for behaviour in (failing, cut, not_run):
        first, second = ScriptedUpstream(behaviour, behaviour), ScriptedUpstream()
        async with open_relay(first, second) as path:
            path.beliefs.upstreams.get("u1").n_peer_in_flight = 1
            assert (await path.call("/read/1")).status == 200
        assert len(first.seen) == len(second.seen) == 1


async def test_last_failure_of_an_upstream_is_returned_as_it_is():
    async with open_relay(ScriptedUpstream(failing), ScriptedUpstream(failing)) as path:
        answer = await path.call("/read/1")
    assert (answer.status, answer.body) == (500, b"bad")
    assert answer.headers["poplarward-server-stamp"] == "s.1"


async def test_call_that_may_have_run_is_not_repeated_nor_called_not_run():
    first, second = ScriptedUpstream(cut), ScriptedUpstream(cut)
    async with open_relay(first, second) as path:
        answer = await path.call("/pay-twice/1", "POST", b"x")
    assert answer.status == 502
    assert "retry-after" not in answer.headers
    assert len(first.seen) + len(second.seen) == 1


async def test_call_that_did_not_run_may_go_elsewhere():
    first, second = ScriptedUpstream(not_run), ScriptedUpstream(not_run)
    async with open_relay(first, second) as path:
        answer = await path.call("/pay-twice/1", "POST", b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) >= 0
    assert len(first.seen) == len(second.seen) == 1


async def test_attempts_are_bounded_by_the_route():
    upstream = ScriptedUpstream(not_run, not_run, not_run)
    async with open_relay(upstream) as path:
        assert (await path.call("/pay/1", "POST", b"x")).status == 503
        assert len(upstream.seen) == 1


async def test_unknown_then_not_run_is_not_called_not_run():
    # Each upstream may be asked first; both cut the first request they get.
    seen = []

    async def first_cut_then_not_run(stream, request):
        seen.append(request)
        if len(seen) == 1:
            return False
        return await not_run(stream, request)

    upstreams = [ScriptedUpstream(*[first_cut_then_not_run] * 3) for _ in range(2)]
    async with open_relay(*upstreams) as path:
        answer = await path.call("/read/1")
    assert len(seen) == 2
    assert answer.status == 502


async def test_caller_who_has_come_back_is_known_by_the_time_left():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as path:
        slack_ms, max_wait_ms = [], []
        place = path.beliefs.admit

        async def note(service, what):
            slack_ms.append(what.latest_start_ms - now_ms())
            max_wait_ms.append(what.max_wait_ms)
            return await place(service, what)

        path.beliefs.admit = note
        await path.call("/read/1")  # Its route allows 1 s, the caller 2 s.
        await path.call("/read/1", Poplarward_Deadline_Ms="900")
        await path.call("/read/1", Poplarward_Deadline_Ms="400")
    first, hasty, returned = slack_ms
    # The first two have 135 ms from their arrival on, the last one asked 600 ms ago.
    assert min(first, hasty) > -200 > returned
    assert max_wait_ms[0] == max_wait_ms[1] != max_wait_ms[2]


async def test_callers_of_a_closed_rank_group_are_told_to_return_late():
    """A rank has crashed; the group is away for longer than callers keep trying."""

    async def group_waits(stream, request):
        await stream.send_all(
            b"HTTP/1.1 503 x\r\nContent-Length: 0\r\nPoplarward-Not-Run: 1\r\n"
            b"Poplarward-Request-Id: r-1\r\nAt-Server: u9\r\n\r\n"
        )

    upstream = ScriptedUpstream(group_waits)
    async with open_relay(upstream) as path:
        answers = [await path.call("/write/1", "POST", b"x") for _ in range(2)]
    assert [answer.status for answer in answers] == [503, 503]
    assert all(float(answer.headers["retry-after"]) >= 2.0 for answer in answers)
    assert len(upstream.seen) == 1


async def test_leaving_upstream_gets_nothing():
    leaving, staying = ScriptedUpstream(), ScriptedUpstream()
    async with open_relay(leaving, staying) as path:
        path.beliefs.upstreams.put(path.entry(0, leaving, is_draining=True))
        for _ in range(6):
            assert (await path.call("/read/1")).status == 200
        assert leaving.seen == []
        path.beliefs.upstreams.remove("u1", None)
        assert (await path.call("/read/1")).status == 503
        assert leaving.seen == []


async def test_misdirected_request_has_not_run():
    async def misdirected(stream, request):
        await stream.send_all(response(request, 421, b""))

    async with open_relay(ScriptedUpstream(misdirected)) as path:
        assert (await path.call("/pay/1", "POST", b"x")).status == 503


async def test_answer_to_another_request_is_read_past():
    async def late_and_own(stream, request):
        foreign = response(request, body=b"foreign", extra=STAMP, request_id="r-0")
        await stream.send_all(foreign)
        await trio.sleep(0.01)
        await stream.send_all(response(request, body=b"own", extra=STAMP))

    async with open_relay(ScriptedUpstream(late_and_own)) as path:
        answer = await path.call("/pay/1", "POST", b"x")
    assert (answer.status, answer.body) == (200, b"own")


async def test_connection_with_surplus_bytes_is_not_used_again():
    async def twice(stream, request):
        answer = response(request, body=b"own", extra=STAMP)
        await stream.send_all(answer + answer.replace(b"own", b"two"))

    upstream = ScriptedUpstream(twice)
    async with open_relay(upstream) as path:
        for _ in range(2):
            answer = await path.call("/pay/1", "POST", b"x")
            assert answer.status == 200
    assert answer.body == b"whole"
    assert upstream.n_connections == 2


async def test_call_that_may_not_be_repeated_avoids_a_connection_long_idle(
    monkeypatch,
):
    """An upstream may have dropped it without a word; what is sent is lost."""
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as path:
        monkeypatch.setattr(attempts, "SAFE_IDLE_S", 0.0)
        assert (await path.call("/read/1")).status == 200
        assert (await path.call("/pay/1", "POST", b"x")).status == 200
        assert upstream.n_connections == 2
        # A call that may be repeated takes any, and so does one that trusts it.
        assert (await path.call("/read/1")).status == 200
        monkeypatch.setattr(attempts, "SAFE_IDLE_S", 60.0)
        assert (await path.call("/pay/1", "POST", b"x")).status == 200
        assert upstream.n_connections == 2


async def test_dropped_idle_connection_is_no_fault_of_the_upstream():
    """An upstream drops connections without a word; what is sent next is lost."""

    async def lost_if_reused(stream, request):
        n_seen[stream] = n_seen.get(stream, 0) + 1
        if n_seen[stream] > 1:
            return False
        await good(stream, request)

    n_seen = {}
    upstream = ScriptedUpstream(*[lost_if_reused] * 9)
    async with open_relay(upstream) as path:
        for _ in range(3):
            assert (await path.call("/read/1")).status == 200
            await trio.sleep(SAFE_IDLE_S + 0.1)
        assert path.beliefs.upstreams.get("u0").failure_share == 0
        # The second one lost its connection, and was repeated; no other was.
        assert len(upstream.seen) == 4


async def test_success_without_the_upstreams_mark_is_no_success():
    async def unmarked(stream, request):
        await stream.send_all(response(request))

    async with open_relay(ScriptedUpstream(unmarked)) as path:
        assert (await path.call("/pay/1", "POST", b"x")).status == 502


async def test_short_body_is_no_success():
    async def short(stream, request):
        whole = response(request, body=b"0123456789", extra=STAMP)
        await stream.send_all(whole[:-4])
        return False

    async with open_relay(ScriptedUpstream(short)) as path:
        assert (await path.call("/pay/1", "POST", b"x")).status == 502


async def test_stream_is_passed_on_whole():
    async with open_relay(ScriptedUpstream(streaming(1, 5))) as path:
        answer = await path.call("/write/1", "POST", b"x")
    assert answer.is_whole
    assert answer.body == b"".join(map(event, range(1, 6)))


async def test_broken_stream_goes_on_elsewhere_without_loss_or_double():
    first = ScriptedUpstream(streaming(1, 3, is_cut=True, half_event=True))
    second = ScriptedUpstream(streaming(3, 6))
    async with open_relay(first, second) as path:
        path.beliefs.upstreams.get("u1").n_peer_in_flight = 1
        answer = await path.call("/write/1", "POST", b"x")
    assert answer.is_whole
    assert answer.body == b"".join(map(event, range(1, 7)))
    assert second.seen[0].headers["last-event-id"] == "3"


async def test_stream_that_can_not_go_on_looks_incomplete():
    broken = [
        ScriptedUpstream(streaming(1, 2, is_cut=True), cut, cut) for _ in range(2)
    ]
    async with open_relay(*broken) as path:
        answer = await path.call("/write/1", "POST", b"x")
    assert answer.status == 200
    assert not answer.is_whole


async def test_hanging_upstream_gets_a_final_answer_by_the_timeout():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as path:
        with trio.fail_after(5):
            answer = await path.call("/pay/1", "POST", b"x")
    assert answer.status == 504


async def test_callers_own_time_bounds_the_answer():
    async with open_relay(ScriptedUpstream(hanging)) as path:
        answer = await path.call("/pay/1", "POST", b"x", Poplarward_Deadline_Ms="100")
    assert answer.status == 504


async def test_work_stops_when_the_caller_leaves():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as path:
        stream = await path.connect()
        await stream.send_all(request_bytes("/pay/1", "POST", b"x"))
        while not upstream.seen:
            await trio.sleep(0.005)
        await stream.aclose()
        with trio.fail_after(5):
            while not upstream.n_left:
                await trio.sleep(0.005)


async def test_connection_serves_many_requests_and_closes_when_stopping():
    async with open_relay(ScriptedUpstream()) as path:
        stream = await path.connect()
        for _ in range(3):
            await stream.send_all(request_bytes("/read/1"))
            assert (await read_response(stream)).status == 200
        path.server.close_idle()
        with trio.fail_after(5):
            assert await stream.receive_some(10) == b""
        await stream.aclose()


async def test_request_in_progress_survives_a_stop():
    async def slow(stream, request):
        await trio.sleep(0.1)
        return await good(stream, request)

    upstream = ScriptedUpstream(slow)
    async with open_relay(upstream) as path:
        stream = await path.connect()
        await stream.send_all(request_bytes("/pay/1", "POST", b"x"))
        while not upstream.seen:
            await trio.sleep(0.005)
        path.server.close_idle()
        answer = await read_response(stream)
        assert (answer.status, answer.body) == (200, b"whole")
        await stream.aclose()


async def test_key_taken_away_while_waiting_is_not_used():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as path:
        path.beliefs.upstreams.get("u0").n_peer_in_flight = 8
        async with trio.open_nursery() as nursery:
            answers = []

            async def call():
                answers.append(await path.call("/read/1"))

            nursery.start_soon(call)
            while not path.beliefs._rooms:
                await trio.sleep(0.005)
            path.beliefs.apply_configuration(configuration(2, keys=("k-2",)))
            path.beliefs.upstreams.update_peer_loads({})
    assert answers[0].status == 503
    assert upstream.seen == []


async def test_no_newer_configuration_is_replaced_by_an_older_one():
    async with open_relay(ScriptedUpstream()) as path:
        path.beliefs.apply_configuration(configuration(5))
        path.beliefs.apply_configuration(configuration(4, keys=("k-2",)))
        assert path.beliefs.version == 5
        assert path.beliefs.allows_key("k-1")


async def test_host_that_is_stopping_refuses_what_it_could_not_finish():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as path:
        path.beliefs.is_stopping = True
        answer = await path.call("/pay/1", "POST", b"x")
    assert answer.status == 503
    assert answer.headers["connection"] == "close"
    assert float(answer.headers["retry-after"]) >= 0
    assert upstream.seen == []


async def test_key_that_gets_too_old_while_connecting_is_not_used():
    upstream = ScriptedUpstream()
    async with open_relay(upstream) as path:
        pool = path.beliefs.upstreams.get("u0").pool
        take = pool.take

        async def take_slowly(max_idle_s):
            connection = await take(max_idle_s)
            path.age_ms = 5_000.0  # The host was suspended meanwhile.
            return connection

        pool.take = take_slowly
        assert (await path.call("/read/1")).status == 503
    assert upstream.seen == []

"""Each request has one line and one count at its end, and both are true."""

from __future__ import annotations

import pytest
import trio
from structlog.testing import capture_logs

from poplarward.requests.suspects import request_digest
from tests.direct.framed_streams import (
    Break,
    Ending,
    Framing,
    Place,
    broken_stream,
    whole_stream,
)
from tests.direct.relay_harness import (
    STAMP,
    ScriptedUpstream,
    event,
    hanging,
    open_relay,
    read_response,
    request_bytes,
    response,
)


def ends(lines):
    return [line for line in lines if line["event"] == "request.ended"]


def counted(harness, outcome):
    """Return how many requests were counted with an outcome."""
    return sum(
        sample.value
        for metric in harness.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == "poplarward_requests_total"
        and sample.labels["outcome"] == outcome
    )


async def wait_until_served(harness):
    with trio.fail_after(5):
        while harness.server.n_in_progress:
            await trio.sleep(0.005)


def release_slowly(harness):
    """Have the connection of each answered request take its time to be given back."""
    pool = harness.routing_state.upstreams.get("u0").pool
    release = pool.release

    async def slow(connection):
        try:
            await trio.sleep(0.2)
        finally:
            await release(connection)

    pool.release = slow


@pytest.mark.parametrize("framing", Framing, ids=lambda framing: framing.value)
async def test_answered_request_is_logged_as_answered_though_its_caller_leaves(framing):
    async with open_relay(ScriptedUpstream(whole_stream(framing))) as harness:
        release_slowly(harness)
        with capture_logs() as lines:
            async with await harness.connect() as stream:
                await stream.send_all(request_bytes("/write/1", "POST", b"x"))
                assert (await read_response(stream)).is_whole
            await wait_until_served(harness)
        assert counted(harness, "answered") == 1
        assert counted(harness, "caller-left") == 0
    [end] = ends(lines)
    assert (end["result"], end["status"], end["outcome"]) == ("answered", 200, "ran")


async def test_answered_request_is_logged_though_its_deadline_passes_meanwhile():
    upstream = ScriptedUpstream(whole_stream(Framing.CHUNKS))
    async with open_relay(upstream) as harness:
        release_slowly(harness)
        with capture_logs() as lines:
            received = await harness.call(
                "/write/1", "POST", b"x", Poplarward_Deadline_Ms="150"
            )
            await wait_until_served(harness)
        assert received.is_whole
        assert counted(harness, "answered") == 1
    [end] = ends(lines)
    assert (end["result"], end["status"], end["outcome"]) == ("answered", 200, "ran")


async def test_request_whose_caller_leaves_while_it_runs_is_not_logged_as_not_run():
    upstream = ScriptedUpstream(hanging)
    async with open_relay(upstream) as harness:
        with capture_logs() as lines:
            async with await harness.connect() as stream:
                await stream.send_all(request_bytes("/pay/1", "POST", b"x"))
                while not upstream.seen:
                    await trio.sleep(0.005)
            await wait_until_served(harness)
    [end] = ends(lines)
    assert (end["result"], end["outcome"]) == ("caller-left", "unknown")


@pytest.mark.parametrize(
    ("broken", "connection", "place"),
    [
        (Break(Framing.NONE, Ending.FIN, Place.INSIDE_EVENT), "closed", "inside-event"),
        (Break(Framing.NONE, Ending.FIN, Place.BEFORE_FIRST), "closed", "before-first"),
        (
            Break(Framing.NONE, Ending.RESET, Place.BETWEEN_EVENTS),
            "reset",
            "between-events",
        ),
        (
            Break(Framing.CHUNKS, Ending.FIN, Place.INSIDE_EVENT),
            "closed",
            "inside-event",
        ),
        (
            Break(Framing.LENGTH, Ending.FRAMED, Place.INSIDE_EVENT),
            "none",
            "inside-event",
        ),
    ],
)
async def test_line_tells_how_and_where_a_stream_broke_off(broken, connection, place):
    upstream = ScriptedUpstream(broken_stream(broken))
    async with open_relay(upstream) as harness:
        with capture_logs() as lines:
            await harness.call("/write-once/1", "POST", b"x")
            await wait_until_served(harness)
    [line] = [line for line in lines if line["event"] == "attempt.disconnected"]
    assert (line["connection"], line["place"]) == (connection, place)
    assert line["framing"] == (
        "connection" if broken.framing is Framing.NONE else broken.framing.value
    )
    [end] = ends(lines)
    assert end["outcome"] == "unknown"
    assert end["result"].startswith("failed" if place == "before-first" else "cut")


async def test_line_tells_that_a_response_broke_off_before_its_head():
    async def close(stream, request):
        return False

    async with open_relay(ScriptedUpstream(close)) as harness:
        with capture_logs() as lines:
            await harness.call("/write-once/1", "POST", b"x")
    [line] = [line for line in lines if line["event"] == "attempt.disconnected"]
    assert (line["connection"], line["place"]) == ("closed", "before-head")


@pytest.mark.parametrize("status", (200, 500))
async def test_line_tells_that_a_plain_response_broke_off_in_its_body(status):
    async def cut_body(stream, request):
        whole = response(request, status, b"0123456789", STAMP)
        await stream.send_all(whole[:-4])
        return False

    async with open_relay(ScriptedUpstream(cut_body)) as harness:
        with capture_logs() as lines:
            await harness.call("/pay/1", "POST", b"x")
    [line] = [line for line in lines if line["event"] == "attempt.disconnected"]
    assert (line["connection"], line["place"]) == ("closed", "inside-body")
    assert line["framing"] == "length"


async def test_line_of_a_disconnect_tells_the_shared_parts_of_the_prompt():
    async def close(stream, request):
        return False

    first, second = ScriptedUpstream(close), ScriptedUpstream(close)
    async with open_relay(first, second) as harness:
        with capture_logs() as lines:
            await harness.call("/pay/1", Poplarward_Prompt_Prefix="a1:4,b2:5,c3:6")
            await harness.call("/pay/2")
    found = [line for line in lines if line["event"] == "attempt.disconnected"]
    assert [line["parts"] for line in found] == ["a1,b2", None]


async def test_line_tells_by_which_response_a_suspect_was_cleared():
    async with open_relay(ScriptedUpstream()) as harness:
        digest = request_digest("shop.example", "ateliers", "GET", "/read/1", b"")
        harness.suspects.record_crash(digest, 7)
        with capture_logs() as lines:
            await harness.call("/read/1")
            await harness.call("/read/1")
    [line] = [line for line in lines if line["event"] == "suspect.cleared"]
    assert (line["request"], line["status"]) == ("r-1", 200)


async def test_limit_of_an_upstream_is_logged_when_it_changes():
    def naming(*lines):
        async def answer(stream, request):
            await stream.send_all(response(request, extra=STAMP + b"".join(lines)))

        return answer

    limit, lower = b"Server-Limit: 300\r\n", b"Server-Limit: 100.5\r\n"
    behaviours = [naming(limit), naming(limit), naming(lower), naming()]
    async with open_relay(ScriptedUpstream(*behaviours)) as harness:
        with capture_logs() as lines:
            for number in range(4):
                await harness.call(f"/read/{number}")
    changes = [line for line in lines if line["event"] == "upstream.limit_changed"]
    assert [line["limit_per_s"] for line in changes] == [300.0, 100.5, None]


async def test_line_of_a_later_attempt_tells_its_own_place():
    broken = Break(Framing.NONE, Ending.FIN, Place.INSIDE_EVENT)

    async def close(stream, request):
        return False

    first, second = ScriptedUpstream(broken_stream(broken)), ScriptedUpstream(close)
    async with open_relay(first, second) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
        with capture_logs() as lines:
            await harness.call("/write/1", "POST", b"x")
    found = [line for line in lines if line["event"] == "attempt.disconnected"]
    assert [line["place"] for line in found] == ["inside-event", "before-head"]
    assert [line["framing"] for line in found] == ["connection", None]


async def test_line_tells_how_long_a_request_has_waited_for_a_slot():
    async with open_relay(ScriptedUpstream()) as harness:
        upstreams = harness.routing_state.upstreams
        upstreams.update_peer_loads({"u0": 8})
        with capture_logs() as lines:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.call, "/read/1")
                while not harness.routing_state.services_with_queue():
                    await trio.sleep(0.005)
                await trio.sleep(0.05)
                upstreams.update_peer_loads({"u0": 0})
            await harness.call("/read/2")
            await wait_until_served(harness)
    first, second = ends(lines)
    assert first["waited_ms"] >= 50
    assert second["waited_ms"] is None


async def test_whole_stream_leaves_no_line_of_a_disconnect():
    upstream = ScriptedUpstream(whole_stream(Framing.NONE))
    async with open_relay(upstream) as harness:
        with capture_logs() as lines:
            received = await harness.call("/write/1", "POST", b"x")
            await wait_until_served(harness)
    assert received.body.endswith(event(8))
    assert not [line for line in lines if line["event"] == "attempt.disconnected"]
    [end] = ends(lines)
    assert (end["result"], end["framing"], end["n_events"]) == (
        "answered",
        "connection",
        8,
    )

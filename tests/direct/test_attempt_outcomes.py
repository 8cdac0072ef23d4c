"""What is known of an attempt is kept when its request is cancelled."""

from __future__ import annotations

import pytest
import trio

from poplarward.direct import crash_watch
from poplarward.requests.suspects import request_digest
from tests.direct.relay_harness import ScriptedUpstream, not_run, open_relay


# Guards against REFUSED: a verdict that arrived while the upstream was probed made a
# request that had run end as not run.
@pytest.mark.parametrize("target", ("/pay/1", "/read/1", "/write-once/1"))
async def test_verdict_during_the_probe_does_not_lose_an_attempt_that_ran(
    monkeypatch, target
):
    monkeypatch.setattr(crash_watch, "PROBE_DELAY_MS", 300.0)
    async with trio.open_nursery() as nursery:

        async def quarantine_during_probe():
            while upstream.n_connections < 2:
                await trio.sleep(0.002)
            digest = request_digest("shop.example", "ateliers", "POST", target, b"x")
            harness.suspects.quarantine(digest)

        async def break_connection(stream, request):
            nursery.start_soon(quarantine_during_probe)
            return False

        upstream = ScriptedUpstream(break_connection)
        async with open_relay(upstream) as harness:
            received = await harness.call(target, "POST", b"x")
    assert received.status == 502
    assert "retry-after" not in received.headers
    assert len(upstream.seen) == 1


async def test_deadline_during_a_retry_does_not_lose_that_the_request_did_not_run(
    monkeypatch,
):
    first, second = ScriptedUpstream(not_run), ScriptedUpstream()
    async with open_relay(first, second) as harness:
        upstreams = harness.routing_state.upstreams
        upstreams.get("u1").n_peer_in_flight = 1

        async def connect_without_end(max_idle_s):
            await trio.sleep_forever()

        monkeypatch.setattr(upstreams.get("u1").pool, "acquire", connect_without_end)
        received = await harness.call(
            "/pay-twice/1", "POST", b"x", Poplarward_Deadline_Ms="300"
        )
    assert received.status == 503
    assert len(first.seen) == 1
    assert second.seen == []

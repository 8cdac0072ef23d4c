"""Commands to ranks and reads from them, over loopback."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager

import pytest
import trio

from poplarward.direct.model import UpstreamEntry
from poplarward.direct.rank_group import CommandResult
from poplarward.direct.upstreams import UpstreamTable
from poplarward.platform import rank_control
from poplarward.platform.headers import PlatformHeaders
from poplarward.platform.rank_control import PlatformRankControl
from poplarward.platform.upstream_calls import UpstreamCalls
from tests.direct.relay_harness import STAMP, ScriptedUpstream, response
from tests.platform.test_short_responses import REPORT

N_RANKS = 72
LAYERS = [tuple((rank, rank + 1, rank + 2) for rank in range(N_RANKS))] * 12


@asynccontextmanager
async def rank(upstream, link_mbps):
    """Run one rank; yields a control for it."""
    table = UpstreamTable()
    async with trio.open_nursery() as nursery:
        await nursery.start(upstream.serve)
        address = f"127.0.0.1:{upstream.port}"
        table.put(UpstreamEntry("u0", "llm", address, "a", 5, False, 1))
        yield PlatformRankControl(UpstreamCalls(table, PlatformHeaders()), link_mbps)
        await table.get("u0").pool.close()
        nursery.cancel_scope.cancel()


async def test_prepare_timeout_allows_for_sending_the_map_to_all_ranks():
    """72 ranks get 9 kB each over a slow link: longer than a command's timeout."""

    async def accept_after_queue(stream, request):
        await trio.sleep(2 * rank_control.COMMAND_TIMEOUT_S)
        await stream.send_all(response(request, 202, b""))

    upstream = ScriptedUpstream(accept_after_queue)
    async with rank(upstream, link_mbps=0.1) as control:
        result = await control.prepare("u0", 1, 7, LAYERS)
    assert result is CommandResult.ACCEPTED
    command = json.loads(upstream.seen[0].body)
    assert command["map"] == [[list(row) for row in layer] for layer in LAYERS]
    assert (command["operation"], command["version"], command["epoch"]) == (
        "prepare",
        7,
        1,
    )


async def test_read_on_a_dropped_connection_is_repeated(monkeypatch):
    """An upstream drops idle connections without notice."""
    monkeypatch.setattr(rank_control, "READ_TIMEOUT_S", 60.0)
    n_requests = {}

    async def lost_if_reused(stream, request):
        n_requests[stream] = n_requests.get(stream, 0) + 1
        if n_requests[stream] > 1:
            return False
        body = b'{"step": 3, "counts": [1]}'
        await stream.send_all(response(request, 200, body))

    upstream = ScriptedUpstream(*[lost_if_reused] * 3)
    async with rank(upstream, link_mbps=100.0) as control:
        assert await control.counts("u0") == (3, [1])
        assert await control.counts("u0") == (3, [1])
    assert len(upstream.seen) == 3


# Guards against MAP: the leader took a late answer to a caller's request for that of a
# rank which had refused to arm.
@pytest.mark.parametrize("status", (200, 409))
async def test_late_answer_to_a_request_is_no_answer_to_a_command(status):
    async def answer_late_then_refuse(stream, request):
        late = response(request, status, b"whole", STAMP, request_id="r-1")
        await stream.send_all(late)
        await stream.send_all(response(request, 409, b""))

    async def answer_late_then_accept(stream, request):
        late = response(request, status, b"whole", STAMP, request_id="r-1")
        await stream.send_all(late)
        await stream.send_all(response(request, 202, b""))

    upstream = ScriptedUpstream(answer_late_then_refuse, answer_late_then_accept)
    async with rank(upstream, link_mbps=1_000.0) as control:
        results = [await control.arm("u0", 1, 7, 20) for _ in range(2)]
    assert results == [CommandResult.REFUSED, CommandResult.ACCEPTED]


async def test_late_answer_to_a_request_is_no_report_of_a_rank():
    async def answer_late_then_report(stream, request):
        late = response(request, 200, b"whole", STAMP, request_id="r-1")
        await stream.send_all(late)
        await stream.send_all(response(request, 200, json.dumps(REPORT).encode()))

    upstream = ScriptedUpstream(answer_late_then_report)
    async with rank(upstream, link_mbps=1_000.0) as control:
        report = await control.report("u0")
    assert report is not None
    assert report.step == REPORT["step"]

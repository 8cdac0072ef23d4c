"""Answers of faulty upstreams on the agents' path: repeated, wrong or not whole."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    draft,
)
from poplarward.errors import UpstreamUnreachable
from poplarward.protocol import RequestId
from poplarward.protocol.reports import UpstreamKind
from poplarward.protocol.requests import PriorityClass, Submit
from poplarward.requests import UpstreamSettings
from poplarward.requests.upstream import Upstream
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words
from tests.direct.relay_harness import ScriptedUpstream, response

HEADERS = [("poplarward-request-id", "r-1")]


def submit(number, repeatable=False):
    return Submit(
        RequestId("entry-1", 1, number),
        "ateliers",
        PriorityClass.URGENT,
        "POST",
        f"/payments/{number}",
        HEADERS,
        b"{}",
        5_000,
        repeatable,
    )


@asynccontextmanager
async def open_upstream(nursery, scripted):
    """Yield the agents' client of a scripted upstream."""
    await nursery.start(scripted.serve)
    url = f"http://127.0.0.1:{scripted.port}"
    upstream = Upstream(UpstreamSettings(UpstreamKind.PLAIN, "ledger", url, 4), None)
    yield upstream
    await upstream.close()
    nursery.cancel_scope.cancel()


async def forward(upstream, attempt):
    """Return status and body of the response to an attempt."""
    async with upstream.forward(attempt) as received:
        return received.status, b"".join([piece async for piece in received.pieces()])


def repeating(is_late):
    """Return behaviours that refuse one request, and do so again for the next one."""
    refusals = {}

    async def refuse(stream, request):
        refusals[stream] = refusal = response(request, 503, b"refused")
        await stream.send_all(refusal if is_late else refusal + refusal)

    async def run(stream, request):
        if stream in refusals and is_late:
            await stream.send_all(refusals[stream])
        await trio.sleep(0.02)
        await stream.send_all(response(request))

    return refuse, run


# Guards against MIXED: a refusal that came again on a kept connection was taken for the
# answer to the payment that ran meanwhile.
@pytest.mark.parametrize("is_late", (False, True))
@pytest.mark.parametrize("repeatable", (False, True))
async def test_refusal_that_comes_again_belongs_to_no_later_attempt(
    nursery, is_late, repeatable
):
    scripted = ScriptedUpstream(*repeating(is_late))
    async with open_upstream(nursery, scripted) as upstream:
        assert await forward(upstream, submit(1)) == (503, b"refused")
        received = await forward(upstream, submit(2, repeatable))
    assert received == (200, b"whole")
    assert len(scripted.seen) == 2


HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
)


# Guards against MIXED: a head that broke off was completed, with an empty body.
@pytest.mark.parametrize("head", HEADS)
async def test_head_that_breaks_off_is_no_response(nursery, head):
    cuts = [head[:n_bytes] for n_bytes in range(0, len(head), 5)]
    cuts += [head[:-1], head[:-2], head[:-3]]
    sent = iter(cuts)

    async def break_off(stream, request):
        await stream.send_all(next(sent))
        return False

    scripted = ScriptedUpstream(*[break_off] * len(cuts))
    async with open_upstream(nursery, scripted) as upstream:
        for cut in cuts:
            with pytest.raises(UpstreamUnreachable) as caught:
                await forward(upstream, submit(1))
            assert caught.value.sent, cut


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (500, [("content-type", "application/json")]),
        (404, [("content-type", "text/plain")]),
        (503, [("content-type", "text/event-stream")]),
        (200, [("content-type", "text/plain")]),
        (200, []),
        (204, []),
    ],
)
# Guards against ORDER and MIXED: the error of the next engine stood in the middle of a
# stream that had broken off, or ended it as if it were whole.
async def test_error_after_a_stream_has_begun_is_no_part_of_it(
    nursery, autojump_clock, status, headers
):
    async def respond_with_error(request, responder):
        await responder.start(status, headers)
        await responder.finish(b"the error" if status != 204 else b"")

    path = MemoryPath(nursery)
    engine = EngineStandin(EngineTiming(50.0, 8))
    nursery.start_soon(engine.run)
    clients = {}
    for number in (1, 2):
        clients[f"agent-{number}"] = client = MemoryUpstream(nursery, engine.handle)
        await path.start_agent(
            f"agent-{number}", f"10.2.0.{number}", "engine", "drafts", client, 8
        )
    entry = await path.start_entry()
    caller = RecordingResponder()
    nursery.start_soon(entry.run, draft(), caller)
    await caller.body_started.wait()
    [busy] = [name for name, agent in path.agents.items() if agent.n_attempts]
    [other] = clients.keys() - {busy}
    clients[other]._handler = respond_with_error
    clients[busy].crash()
    await trio.sleep(15)
    events = caller.body.split(b"\n\n")
    assert b"the error" not in caller.body
    assert b"[DONE]" not in caller.body
    assert events[-2].startswith(b"event: error\n")
    words = completion_words("A grey cat.", 20)
    assert caller.words() == words[: len(caller.words())]
    nursery.cancel_scope.cancel()


# Guards against MIXED: an answer whose status is no status of HTTP was passed on.
@pytest.mark.parametrize("status", (b"000", b"099", b"600", b"999"))
async def test_answer_with_no_valid_status_is_none(nursery, status):
    async def respond_with_status(stream, request):
        await stream.send_all(response(request).replace(b" 200 ", b" %s " % status))

    scripted = ScriptedUpstream(respond_with_status)
    async with open_upstream(nursery, scripted) as upstream:
        with pytest.raises(UpstreamUnreachable) as caught:
            await forward(upstream, submit(1))
    assert caught.value.sent

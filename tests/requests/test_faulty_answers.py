"""Answers of faulty upstreams on the agents' path: repeated, wrong or not whole."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from poplarward.errors import UpstreamUnreachable
from poplarward.protocol import RequestId
from poplarward.protocol.reports import UpstreamKind
from poplarward.protocol.requests import PriorityClass, Submit
from poplarward.requests import UpstreamSettings
from poplarward.requests.upstream import Upstream
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

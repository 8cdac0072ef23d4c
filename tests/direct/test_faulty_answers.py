"""Answers of faulty upstreams that belong to no request, or are not whole."""

from __future__ import annotations

import pytest
import trio

from tests.direct.relay_harness import (
    STAMP,
    ScriptedUpstream,
    event,
    good,
    not_run,
    open_relay,
    response,
    streaming,
)

REFUSAL = b"Poplarward-Not-Run: 1\r\n"
NEVER_RUN = (408, 421, 429, 503)


class RepeatingUpstream(ScriptedUpstream):
    """Refuses one request, and does so once more when the next one arrives.

    ``repeated`` changes the bytes of the refusal that comes again, on the connection of
    the first one; the request that arrived runs all the same. `ran` lists those.
    """

    def __init__(self, repeated=lambda refusal: refusal):
        super().__init__()
        self.ran = []
        self._repeated = repeated
        self._refusals = {}
        self.behaviours = [self._refuse, *[self._repeat_and_run] * 5]

    async def _refuse(self, stream, request):
        self._refusals[stream] = response(request, 503, b"", REFUSAL)
        await stream.send_all(self._refusals[stream])

    async def _repeat_and_run(self, stream, request):
        self.ran.append(request)
        if refusal := self._refusals.pop(stream, None):
            await stream.send_all(self._repeated(refusal))
        await trio.sleep(0.02)
        await good(stream, request)


def without_id(refusal):
    """Return a response without the request's id."""
    lines = refusal.split(b"\r\n")
    return b"\r\n".join(x for x in lines if not x.startswith(b"Poplarward-Request-Id"))


# Guards against REFUSED and TWICE: a refusal that came again on a kept connection was
# taken for the answer to the request that ran meanwhile.
@pytest.mark.parametrize("repeated", (lambda refusal: refusal, without_id))
@pytest.mark.parametrize("path", ("/pay/2", "/pay-twice/2", "/read/2", "/open/2"))
async def test_refusal_that_comes_again_belongs_to_no_later_request(path, repeated):
    upstream, other = RepeatingUpstream(repeated), ScriptedUpstream()
    async with open_relay(upstream, other) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 4
        refused = await harness.call("/pay/1", "POST", b"x")
        received = await harness.call(path, "POST", b"x", Poplarward_Request_Id="r-2")
    assert refused.status == 503
    assert [request.target for request in upstream.ran] == [path]
    assert (received.status, received.body) == (200, b"whole")
    assert other.seen == []


async def test_refusal_that_comes_again_for_a_retry_is_no_promise():
    """The retry goes to the same upstream, as there is no other."""
    upstream = RepeatingUpstream()
    async with open_relay(upstream) as harness:
        received = await harness.call("/pay-twice/1", "POST", b"x")
    assert len(upstream.ran) == 1
    assert received.status not in NEVER_RUN


ERRORS = {
    "500": lambda request: response(request, 500, b"error\n\n", STAMP),
    "404": lambda request: response(request, 404, b"error\n\n", STAMP),
    "not run": lambda request: response(request, 503, b"error\n\n", REFUSAL),
    "misdirected": lambda request: response(request, 421, b"error\n\n"),
    "event stream of an error": lambda request: response(
        request, 500, event(3), STAMP + b"Content-Type: text/event-stream\r\n"
    ),
    "document": lambda request: response(
        request, 200, b"error\n\n", STAMP + b"Content-Type: text/plain\r\n"
    ),
    "no content": lambda request: (
        b"HTTP/1.1 204 X\r\nPoplarward-Request-Id: r-1\r\n" + STAMP + b"\r\n"
    ),
    "no stamp": lambda request: response(request, 200, event(3)),
    "no head": lambda request: b"error\r\n\r\n",
}


# Guards against ORDER and MIXED: the error of the next upstream stood in the middle of
# a stream that had broken off, or ended it as if it were whole.
@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("path", ("/write/1", "/write-once/1"))
async def test_error_after_a_stream_has_begun_is_no_part_of_it(path, error):
    async def respond_with_error(stream, request):
        await stream.send_all(ERRORS[error](request))

    first = ScriptedUpstream(streaming(1, 2, is_cut=True, half_event=True))
    second = ScriptedUpstream(*[respond_with_error] * 3)
    async with open_relay(first, second) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
        received = await harness.call(path, "POST", b"x")
    assert received.status == 200
    assert received.body == event(1) + event(2)
    assert not received.is_whole


HEAD = b"HTTP/1.1 200 OK\r\nPoplarward-Request-Id: r-1\r\n" + STAMP
HEADS = (
    HEAD + b"\r\n",
    HEAD + b"Content-Length: 15\r\n\r\n",
    HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"\r\n",
)


# Guards against MIXED: a head that broke off was completed, with an empty body.
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("path", ("/pay/1", "/write/1", "/read/1"))
async def test_head_that_breaks_off_is_no_response(path, head):
    cuts = [head[:n_bytes] for n_bytes in range(0, len(head), 7)]
    cuts += [head[:-1], head[:-2], head[:-3]]
    sent = iter(())

    async def break_off(stream, request):
        await stream.send_all(next(sent))
        return False

    for cut in cuts:
        sent = iter([cut] * 3)
        async with open_relay(ScriptedUpstream(*[break_off] * 3)) as harness:
            received = await harness.call(path, "POST", b"x")
        assert (received.status, received.body) == (502, b""), cut


@pytest.mark.parametrize("path", ("/read/1", "/write/1"))
async def test_request_whose_head_broke_off_is_retried(path):
    async def break_off(stream, request):
        await stream.send_all(HEAD)
        return False

    whole = streaming(1, 2) if path == "/write/1" else good
    first, second = ScriptedUpstream(break_off), ScriptedUpstream(whole)
    async with open_relay(first, second) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
        received = await harness.call(path, "POST", b"x")
    assert received.status == 200
    assert received.is_whole
    assert len(first.seen) == len(second.seen) == 1


async def test_response_without_an_id_is_taken_on_a_new_connection():
    async def respond(stream, request):
        await stream.send_all(without_id(response(request, extra=STAMP)))

    async with open_relay(ScriptedUpstream(respond)) as harness:
        received = await harness.call("/pay/1", "POST")
    assert (received.status, received.body) == (200, b"whole")


async def test_upstream_that_refuses_both_attempts_is_believed():
    upstream = ScriptedUpstream(not_run, not_run)
    async with open_relay(upstream) as harness:
        received = await harness.call("/pay-twice/1", "POST", b"x")
    assert received.status == 503
    assert len(upstream.seen) == 2


# Guards against MIXED: an answer whose status is no status of HTTP (RFC 9110, section
# 15) was returned as an upstream's answer.
@pytest.mark.parametrize("status", ("000", "099", "600", "999"))
@pytest.mark.parametrize("path", ("/pay/1", "/read/1", "/write/1", "/write-once/1"))
async def test_answer_with_no_valid_status_is_none(path, status):
    async def respond_with_status(stream, request):
        good_response = response(request, 200, b"wrong", STAMP)
        await stream.send_all(
            good_response.replace(b" 200 ", b" %s " % status.encode())
        )

    first = ScriptedUpstream(respond_with_status)
    second = ScriptedUpstream(streaming(1, 2) if path == "/write/1" else good)
    async with open_relay(first, second) as harness:
        harness.routing_state.upstreams.get("u1").n_peer_in_flight = 1
        received = await harness.call(path, "POST", b"x")
    assert len(first.seen) == 1
    if path == "/read/1":
        assert (received.status, received.body) == (200, b"whole")
    elif path == "/write/1":
        assert (received.status, received.body) == (200, event(1) + event(2))
    else:
        assert (received.status, received.body) == (502, b"")

"""Callers that keep to no limit end no entry process of the product's own interface."""

from __future__ import annotations

import os
from functools import partial

import pytest
import trio

from benchmarks.deployment import Deployment, workspace
from poplarward.requests.request_parsing import MAX_BODY_BYTES
from poplarward.transport import HttpClient
from tests.crowds import (
    Crowd,
    peak_memory_mb,
    stop_short_after_small_chunks,
    stop_short_of,
)

MEMORY_MB = 128  # For control on a node; see docs/developers.md.
MAX_DESCRIPTORS = 500
KEY_HEADERS = [("authorization", "Bearer caller")]
CHUNKED = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer caller\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


CROWDS = {
    "large-chunks": (300, partial(stop_short_of, CHUNKED, MAX_BODY_BYTES)),
    "small-chunks": (80, partial(stop_short_after_small_chunks, CHUNKED)),
}


# Guards against LOST: what callers sent filled the memory, and the process ended.
@pytest.mark.parametrize("kind", CROWDS)
async def test_entry_host_survives_bodies_that_stop_short(kind):
    async with Deployment() as deployment:
        entry = await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        client = HttpClient(f"http://{entry.host}:8000")
        while (await client.call("POST", "/v1/keys", KEY_HEADERS)).status == 401:
            await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            crowd = Crowd(8000, *CROWDS[kind], host=entry.host)
            await nursery.start(crowd.run)
            while crowd.n_sending:
                await trio.sleep(0.05)
            assert (await client.call("GET", "/v1/addresses")).status == 200
            nursery.cancel_scope.cancel()
        await client.close()
        pid = entry.popen.pid
        assert entry.popen.poll() is None
        assert peak_memory_mb(pid) < MEMORY_MB
        assert len(os.listdir(f"/proc/{pid}/fd")) < MAX_DESCRIPTORS

"""Callers that keep to no limit end no entry process.

Each crowd is played to an entry process whose settings name less memory than the crowd
fills in a process without limits. The process has to live, to stay within its memory
and descriptors, and to serve an ordinary request while the crowd is still connected.
"""

from __future__ import annotations

import os
from functools import partial

import pytest
import trio

from tests.crowds import (
    CHUNK_BYTES,
    Crowd,
    chunk,
    peak_memory_mb,
    stop_short_after_small_chunks,
    stop_short_of,
)
from tests.direct.relay_harness import ScriptedUpstream
from tests.platform.documents import config_document
from tests.platform.store_standin import StoreStandin
from tests.platform.test_entry_process import running_entry

MEMORY_MB = 96  # `memoryMb` of the settings.
MAX_DESCRIPTORS = 700  # `maxFds` of the settings.
MAX_BODY_BYTES = 1_048_576  # `maxBodyBytes` of the configuration.
DEFAULT_MAX_BODY_BYTES = 4_194_304  # Before there is a configuration.
N_CALLERS = 150
N_CALLERS_WITH_SMALL_CHUNKS = 40  # Each costs the process much time.
HEAD = b"POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k-1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


async def announce_too_much(stream):
    await stream.send_all(HEAD + b"Content-Length: 10000000000\r\n\r\n")
    while True:
        await stream.send_all(b"x" * CHUNK_BYTES)


async def send_too_much(stream):
    await stream.send_all(CHUNKED)
    while True:
        await stream.send_all(chunk(CHUNK_BYTES))


async def send_ahead(stream):
    requests = 1_000 * b"GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    while True:
        await stream.send_all(requests)


CROWDS = {
    "announced": (N_CALLERS, announce_too_much),
    "sent": (N_CALLERS, send_too_much),
    "large-chunks": (N_CALLERS, partial(stop_short_of, CHUNKED, MAX_BODY_BYTES)),
    "small-chunks": (
        N_CALLERS_WITH_SMALL_CHUNKS,
        partial(stop_short_after_small_chunks, CHUNKED),
    ),
    "sent-ahead": (N_CALLERS, send_ahead),
}


async def play(tmp_path, nursery, crowd_of):
    """Play a crowd to an entry process, and check what has to hold."""
    store = StoreStandin()
    async with running_entry(tmp_path, store, ScriptedUpstream()) as entry:
        document = config_document(9, key="k-1")
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        store.put("config", "main", document)
        while "version=9" not in (tmp_path / "log").read_text(encoding="utf-8"):
            await trio.sleep(0.02)
        crowd = crowd_of(entry)
        await nursery.start(crowd.run)
        while crowd.n_sending:
            await trio.sleep(0.05)
        assert (await entry.call("/read/1")).status == 200
        pid = entry.process.pid
        assert entry.process.poll() is None
        assert peak_memory_mb(pid) < MEMORY_MB
        assert len(os.listdir(f"/proc/{pid}/fd")) < MAX_DESCRIPTORS
        nursery.cancel_scope.cancel()


# Guards against LOST: what callers sent filled the memory, and the process ended.
@pytest.mark.parametrize("kind", CROWDS)
async def test_entry_process_survives_callers_that_keep_to_no_limit(
    tmp_path, nursery, kind
):
    await play(tmp_path, nursery, lambda entry: Crowd(entry.front, *CROWDS[kind]))


# Guards against the same at the port for address look-ups, which has limits of its own.
async def test_entry_process_survives_long_bodies_of_look_ups(tmp_path, nursery):
    send = partial(stop_short_of, CHUNKED, DEFAULT_MAX_BODY_BYTES)
    await play(tmp_path, nursery, lambda entry: Crowd(entry.directory, N_CALLERS, send))

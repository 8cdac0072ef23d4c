"""A planned stop of an entry process leaves no request without an answer."""

from __future__ import annotations

import signal
from functools import partial

import trio

from tests.direct.relay_harness import (
    ScriptedUpstream,
    good,
    hanging,
    read_response,
    request_bytes,
)
from tests.platform.documents import config_document
from tests.platform.store_standin import StoreStandin
from tests.platform.test_entry_process import log_of, running_entry

LONG_MS = 20_000  # Longer than the 8 s that a stop may take.


def with_long_routes():
    """Return a configuration with routes whose requests outlast a stop."""
    document = config_document(9)
    route = {**document["routes"][0], "timeoutMs": LONG_MS, "maxAttempts": 1}
    for name, kind in (("pay", "unsafe"), ("look-up", "safe")):
        changes = {"name": name, "pathPrefix": f"/{name}/", "kind": kind}
        document["routes"].append({**route, **changes})
    return document


class Upstream(ScriptedUpstream):
    """Answers requests of ``/read/``, and never those of the long routes."""

    def __init__(self):
        super().__init__()
        self.behaviours = [self._answer] * 10

    async def _answer(self, stream, request):
        is_short = request.target.startswith("/read/")
        return await (good if is_short else hanging)(stream, request)


# Guards against LOST: requests that came late in a planned stop were passed on, and cut
# without an answer when its time was up.
async def test_every_request_during_a_planned_stop_gets_an_answer(tmp_path, nursery):
    store, upstream = StoreStandin(), Upstream()
    async with running_entry(tmp_path, store, upstream) as entry:
        store.put("config", "main", with_long_routes())
        while "version=9" not in log_of(tmp_path):
            await trio.sleep(0.02)
        received = {}

        async def call(target):
            stream = await trio.open_tcp_stream("127.0.0.1", entry.front)
            async with stream:
                deadline = str(LONG_MS)
                await stream.send_all(
                    request_bytes(target, "POST", Poplarward_Deadline_Ms=deadline)
                )
                received[target] = await read_response(stream)

        for number, target in enumerate(("/pay/1", "/look-up/1"), 1):
            nursery.start_soon(partial(call, target))
            while len(upstream.seen) < number:
                await trio.sleep(0.01)
        entry.process.send_signal(signal.SIGTERM)
        await entry.wait_ready(503)
        for target in ("/pay/2", "/read/2"):
            await call(target)
        assert received["/pay/2"].status == 503
        assert received["/pay/2"].headers["connection"] == "close"
        assert received["/read/2"].status == 200
        assert "/pay/2" not in [request.target for request in upstream.seen]
        while entry.process.poll() is None:
            await trio.sleep(0.02)
        assert entry.process.returncode == 0
        while len(received) < 4:
            await trio.sleep(0.01)
        for target in ("/pay/1", "/look-up/1"):
            # Whether they have run is unknown.
            assert (received[target].status, received[target].is_whole) == (502, True)
        nursery.cancel_scope.cancel()

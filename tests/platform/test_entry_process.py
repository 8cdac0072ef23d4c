"""The entry role as a separate process, with stand-ins for the platform."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import pytest
import trio

from tests.direct.relay_harness import (
    ScriptedUpstream,
    good,
    read_response,
    request_bytes,
)
from tests.platform.documents import config_document, server_document, settings_text
from tests.platform.entry_process import free_ports, http_get
from tests.platform.store_standin import StoreStandin

STABLE_WINDOW_S = 3.0  # `stableWindowMs` of the platform's settings.


class Entry:
    """An entry process, with methods to call it."""

    def __init__(self, ports, process, settings_path):
        self.front, self.ready, self.directory, _, self.metrics = ports
        self.process = process
        self.settings_path = settings_path

    async def get(self, port, path):
        return await http_get(f"127.0.0.1:{port}", path)

    async def wait_ready(self, status=200):
        while True:
            try:
                if (await self.get(self.ready, "/ready"))[0] == status:
                    return
            except Exception as error:
                if self.process.poll() is not None:
                    log = log_of(self.settings_path.parent)
                    raise AssertionError(f"the process has ended: {log}") from error
            await trio.sleep(0.02)

    async def call(self, target, **options):
        stream = await trio.open_tcp_stream("127.0.0.1", self.front)
        async with stream:
            await stream.send_all(request_bytes(target, **options))
            return await read_response(stream)


@asynccontextmanager
async def running_entry(tmp_path, store, *upstreams):
    """Start the store, the upstreams and the process, and kill the process at exit."""
    ports = free_ports(5)
    path = tmp_path / "settings.toml"
    log = (tmp_path / "log").open("wb")
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        for number, upstream in enumerate(upstreams):
            await nursery.start(upstream.serve)
            address = f"127.0.0.1:{upstream.port}"
            store.put("servers", f"i-{number}", server_document(address))
        store.put("config", "main", config_document())
        path.write_text(settings_text(ports[:4], store.address), encoding="utf-8")
        command = [sys.executable, "-m", "poplarward.platform", "entry"]
        command += ["--metrics-port", str(ports[4])]
        process = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env={**os.environ, "POPLARWARD_NODE_FILE": str(path)},
        )
        entry = Entry(ports, process, path)
        try:
            await entry.wait_ready()
            yield entry
        finally:
            process.kill()
            process.wait()
            log.close()
            nursery.cancel_scope.cancel()


def log_of(tmp_path):
    return (tmp_path / "log").read_text(encoding="utf-8")


async def test_request_end_to_end_with_its_log_and_metrics(tmp_path):
    store, upstream = StoreStandin(), ScriptedUpstream()
    async with running_entry(tmp_path, store, upstream) as entry:
        response = await entry.call("/read/1")
        assert (response.status, response.body) == (200, b"whole")
        assert (await entry.call("/read/1", key="k-0")).status == 401
        status, body = await entry.get(entry.directory, "/resolve?name=x&zone=y")
        found = json.loads(body)
        assert status == 200
        assert found["addresses"] == [f"127.0.0.1:{entry.front}"]
        assert 0 < found["ttlS"] <= 5
        status, body = await entry.get(entry.metrics, "/metrics")
        assert b'outcome="answered",priority_class="1",workspace="ateliers"' in body
    log = log_of(tmp_path)
    assert "event=request.ended" in log and "result=answered" in log
    assert "event=request.denied" in log and 'reason="unknown key"' in log
    assert "event=process.start" in log


async def test_configuration_and_registry_are_followed(tmp_path):
    store = StoreStandin()
    first, second = ScriptedUpstream(), ScriptedUpstream()
    async with running_entry(tmp_path, store, first, second) as entry:
        store.put("config", "main", config_document(9, key="k-9"))
        while (await entry.call("/read/1", key="k-9")).status != 200:
            await trio.sleep(0.02)
        assert (await entry.call("/read/1")).status == 401
        # An older version, as in a stale response, is ignored.
        store.put("config", "main", config_document(8))
        address = f"127.0.0.1:{first.port}"
        store.put("servers", "i-0", server_document(address, state="draining"))
        while "leaving=true" not in log_of(tmp_path):
            await trio.sleep(0.02)
        n_before = len(first.seen)
        for _ in range(10):
            assert (await entry.call("/read/1", key="k-9")).status == 200
        assert len(first.seen) == n_before
        # Invalid entries, written by other programs, are ignored.
        store.put("servers", "i-8", {"service": "app-1", "state": 4})
        store.put("servers", "i-9", "nonsense")
        store.forget_history()
        store.put("servers", "i-1", {}, deleted=True)
        while (await entry.call("/read/1", key="k-9")).status != 503:
            await trio.sleep(0.02)
    assert "event=store.undecodable" in log_of(tmp_path)


# Guards against CONFIG: a lost response was noticed later than the time for which the
# disruption excuses an old configuration.
async def test_lost_change_of_the_configuration_is_applied_within_the_calm(tmp_path):
    store, upstream = StoreStandin(), ScriptedUpstream()
    async with running_entry(tmp_path, store, upstream) as entry:
        assert (await entry.call("/read/1")).status == 200
        store.watched_at.clear()
        while "config" not in store.watched_at:
            await trio.sleep(0.005)
        store.n_lost_changes = 1
        store.put("config", "main", config_document(9, key="k-9"))
        changed_at = trio.current_time()
        while (await entry.call("/read/1", key="k-9")).status != 200:
            await trio.sleep(0.02)
        assert trio.current_time() - changed_at < STABLE_WINDOW_S
        assert store.n_lost_changes == 0


async def test_key_is_refused_after_a_long_outage_of_the_store(tmp_path):
    store, upstream = StoreStandin(), ScriptedUpstream()
    async with running_entry(tmp_path, store, upstream) as entry:
        store.mode = "silent"
        await entry.wait_ready(503)
        n_before = len(upstream.seen)
        response = await entry.call("/read/1")
        assert response.status == 503 and "retry-after" in response.headers
        assert len(upstream.seen) == n_before
        store.mode = "up"
        await entry.wait_ready(200)
        assert (await entry.call("/read/1")).status == 200
    log = log_of(tmp_path)
    assert "event=feed.unavailable" in log and "event=feed.recovered" in log


async def test_running_requests_end_before_a_stop_and_settings_are_reloaded(tmp_path):
    released = trio.Event()

    async def slow(stream, request):
        await released.wait()
        return await good(stream, request)

    store, upstream = StoreStandin(), ScriptedUpstream(slow)
    async with running_entry(tmp_path, store, upstream) as entry:
        entry.process.send_signal(signal.SIGHUP)
        while "event=settings.reloaded" not in log_of(tmp_path):
            await trio.sleep(0.02)
        stream = await trio.open_tcp_stream("127.0.0.1", entry.front)
        await stream.send_all(request_bytes("/read/1"))
        while not upstream.seen:
            await trio.sleep(0.01)
        entry.process.send_signal(signal.SIGTERM)
        await entry.wait_ready(503)
        released.set()
        response = await read_response(stream)
        assert (response.status, response.body) == (200, b"whole")
        await stream.aclose()
        while entry.process.poll() is None:
            await trio.sleep(0.02)
        assert entry.process.returncode == 0
    assert "event=process.stop" in log_of(tmp_path)


@pytest.mark.parametrize("mode", ["lost", "busy"])
async def test_start_while_the_store_misbehaves(tmp_path, mode):
    store, upstream = StoreStandin(), ScriptedUpstream()
    store.mode = mode

    async def recover():
        await trio.sleep(0.5)
        store.mode = "up"

    async with trio.open_nursery() as nursery:
        nursery.start_soon(recover)
        async with running_entry(tmp_path, store, upstream) as entry:
            assert (await entry.call("/read/1")).status == 200


def test_entry_role_does_not_load_the_messages_of_other_paths():
    """They need pydantic, with 6 MB of memory and a third of the start's time."""
    check = (
        "import sys, poplarward.platform.entry_role; print('pydantic' in sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", check], capture_output=True, check=True, text=True
    )
    assert result.stdout.strip() == "False"

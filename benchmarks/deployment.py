"""Starts the processes of a small deployment on loopback addresses.

Used by the demonstration, the benchmarks and the tests with real processes. Each
process gets its own IP address in 127.0.0.0/8, so that port numbers never collide.
"""

from __future__ import annotations

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from poplarward.errors import UpstreamUnreachable
from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb
from poplarward.transport import HttpClient

__all__ = ["Deployment", "ManagedProcess"]

PEER_SECRET = "loopback"
OPERATOR_TOKEN = "operator-token"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


@dataclass
class ManagedProcess:
    """A process of the deployment.

    Attributes
    ----------
    name : str
    host : str
        The IP address it listens on.
    log : Path
        File that its standard error is written to.
    """

    name: str
    host: str
    log: Path
    popen: subprocess.Popen[bytes]

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.popen.send_signal(number)

    async def wait(self) -> int:
        """Return the exit status once the process has ended."""
        while self.popen.poll() is None:
            await trio.sleep(0.02)
        return self.popen.returncode

    async def stop(self) -> int:
        """Ask the process to stop and return its exit status."""
        self.signal(signal.SIGTERM)
        return await self.wait()


@dataclass
class Deployment:
    """Entry hosts, agents and stand-ins, as separate processes.

    Use it as an asynchronous context manager: on exit, every process is killed.

    Attributes
    ----------
    profile_directory : str
        Where processes that shut down gracefully write their profiles; none if empty.
    """

    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    host_list_lag_ms: int = 200
    tls_sections: dict[str, dict[str, Any]] = field(default_factory=dict)
    profile_directory: str = ""

    async def __aenter__(self) -> Deployment:
        self._directory = tempfile.TemporaryDirectory(prefix="poplarward-")
        self._prefix = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
        self._n_hosts = 0
        platform = await self.start_standin(
            "platform", "platform", ["--host-list-lag-ms", str(self.host_list_lag_ms)]
        )
        self.platform_url = f"http://{platform.host}:7000"
        self.platform = HttpClient(self.platform_url)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                process.popen.wait()
        await self.platform.close()
        self._directory.cleanup()

    def new_host(self) -> str:
        """Return an unused IP address of the loopback range."""
        self._n_hosts += 1
        return f"{self._prefix}.{self._n_hosts}"

    def start_process(self, name: str, host: str, command: list[str]) -> ManagedProcess:
        """Start a program; its standard error is appended to its log file."""
        log = Path(self._directory.name) / f"{name}.log"
        with log.open("ab") as file:
            popen = subprocess.Popen(
                [sys.executable, *self._profiler(name), "-m", *command],
                stdout=subprocess.DEVNULL,
                stderr=file,
                stdin=subprocess.DEVNULL,
            )
        process = self.processes[name] = ManagedProcess(name, host, log, popen)
        return process

    def _profiler(self, name: str) -> list[str]:
        if not self.profile_directory:
            return []
        return ["-m", "cProfile", "-o", f"{self.profile_directory}/{name}.prof"]

    async def start_standin(
        self, name: str, kind: str, options: list[str], host: str | None = None
    ) -> ManagedProcess:
        """Start a stand-in and wait until it listens."""
        host = host or self.new_host()
        command = ["poplarward.standins.program", kind, "--listen", f"{host}:7000"]
        return await self._start_and_wait(
            name, host, [*command, *options], "standin.started"
        )

    async def _start_and_wait(
        self, name: str, host: str, command: list[str], event: str
    ) -> ManagedProcess:
        # The log file also holds the events of earlier starts.
        n_before = _count_logged(Path(self._directory.name) / f"{name}.log", event)
        process = self.start_process(name, host, command)
        await self.wait_for_event(process, event, n_before + 1)
        return process

    async def start_entry(
        self, name: str, data_centre: str, **more_settings: Any
    ) -> ManagedProcess:
        """Start an entry host, list it on the platform, and wait until it serves."""
        host = self.new_host()
        self.settings[name] = {
            "name": name,
            "data_centre": data_centre,
            "callers_listen": f"{host}:8000",
            "operators_listen": f"{host}:8100",
            "peers_listen": f"{host}:9000",
            "metrics_listen": f"{host}:9100",
            "platform_url": self.platform_url,
            "peer_secret": PEER_SECRET,
            "operator_tokens": {"demo": OPERATOR_TOKEN},
            **self.tls_sections.get("entry", {}),
            **more_settings,
        }
        await self.list_host(name)
        return await self.restart(name)

    async def start_agent(
        self,
        name: str,
        data_centre: str,
        kind: str,
        upstream: str,
        url: str,
        n_slots: int = 32,
        ranks: list[int] | None = None,
        **more_settings: Any,
    ) -> ManagedProcess:
        """Start an agent, list it on the platform, and wait until it serves.

        With `ranks` it participates in changes of its group's expert map.
        """
        host = self.new_host()
        self.settings[name] = {
            "name": name,
            "data_centre": data_centre,
            "peers_listen": f"{host}:9000",
            "metrics_listen": f"{host}:9100",
            "platform_url": self.platform_url,
            "peer_secret": PEER_SECRET,
            "upstream": {
                "kind": kind,
                "name": upstream,
                "url": url,
                "n_slots": n_slots,
            },
            **self.tls_sections.get("agent", {}),
            **more_settings,
        }
        if ranks is not None:
            self.settings[name]["upstream"]["ranks"] = ranks
        await self.list_host(name)
        return await self.restart(name)

    async def restart(self, name: str) -> ManagedProcess:
        """Start an entry host or agent again with its earlier settings."""
        settings = self.settings[name]
        role = "entry" if "callers_listen" in settings else "agent"
        path = Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        host = settings["peers_listen"].partition(":")[0]
        command = [f"poplarward.programs.{role}", str(path)]
        return await self._start_and_wait(name, host, command, f"{role}.started")

    async def list_host(self, name: str, state: str = "live") -> None:
        """Add a host to the platform's list, or update its state."""
        settings = self.settings[name]
        document = {
            "role": "entry" if "callers_listen" in settings else "agent",
            "data_centre": settings["data_centre"],
            "state": state,
            "peers_address": settings["peers_listen"],
            "callers_address": settings.get("callers_listen", ""),
            "upstream": settings.get("upstream", {}).get("name", ""),
        }
        await self.platform.call(
            "PUT", f"/hosts/{name}", body=json.dumps(document).encode()
        )

    async def set_store_faults(self, **faults: Any) -> None:
        """Set the faults injected into the object API; see `StoreFaults`."""
        await self.platform.call("PUT", "/faults", body=json.dumps(faults).encode())

    async def wait_for_event(
        self, process: ManagedProcess, event: str, n_times: int = 1
    ) -> None:
        """Wait until the process has logged an event; raises if it exits first."""
        with trio.fail_after(START_TIMEOUT_S):
            while _count_logged(process.log, event) < n_times:
                if process.popen.poll() is not None:
                    raise RuntimeError(f"{process.name}:\n{process.log.read_text()}")
                await trio.sleep(0.02)

    async def operate(self, entry: str, method: str, request: Any, reply: Any) -> Any:
        """Call the operations API of an entry host, as Connect with protobuf."""
        address = self.settings[entry]["operators_listen"]
        client = HttpClient(f"http://{address}")
        try:
            response = await client.call(
                "POST",
                f"/poplarward.v1.Operations/{method}",
                [
                    ("content-type", "application/proto"),
                    ("authorization", f"Bearer {OPERATOR_TOKEN}"),
                ],
                request.SerializeToString(),
            )
        finally:
            await client.close()
        if response.status != 200:
            raise UpstreamUnreachable(response.body.decode(), sent=True)
        return reply.FromString(response.body)

    async def apply(
        self, entry: str, resource: pb.Resource, expected_version: int = 0
    ) -> pb.Resource:
        """Apply a resource through an entry host."""
        request = pb.ApplyRequest(resource=resource, expected_version=expected_version)
        return (await self.operate(entry, "Apply", request, pb.ApplyResponse)).resource


def _count_logged(log: Path, event: str) -> int:
    return log.read_text().count(f"event={event} ") if log.exists() else 0


def workspace(name: str, token: str, share: float = 1.0) -> pb.Resource:
    """Return a workspace whose callers authenticate with one token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    spec = pb.Workspace(
        share=share, requests_per_s=1000, tokens_per_s=1e6, token_sha256=[digest]
    )
    return pb.Resource(name=name, workspace=spec)


def model_group(name: str, model: str, n_ranks: int = 4) -> pb.Resource:
    """Return a small model group."""
    spec = pb.ModelGroup(
        model=model, n_ranks=n_ranks, n_experts=64, n_layers=2, expert_bytes=1 << 20
    )
    return pb.Resource(name=name, model_group=spec)


def ledger_service(name: str) -> pb.Resource:
    """Return the plain service that the ledger stand-in provides."""
    calls = [
        pb.Call(method="GET", path_prefix="/bookings", repeatable=True),
        pb.Call(method="GET", path_prefix="/balances", repeatable=True),
        pb.Call(method="POST", path_prefix="/deposits", repeatable=False),
        pb.Call(method="POST", path_prefix="/payments", repeatable=False),
    ]
    return pb.Resource(name=name, plain_service=pb.PlainService(calls=calls))

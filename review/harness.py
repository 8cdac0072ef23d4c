"""Stand-ins and process control that the cases of this review share.

Everything runs on loopback addresses and the real clock, and needs only the standard
library. The stand-ins follow the pages in PROTOCOL.md; a case adds its disruption by
hooks. The entry role runs as separate processes, with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-1"
TENANT = "ateliers"
LIMIT_S = 115.0  # Of a whole run; the review allows 120 s.
START_LIMIT_S = 15.0

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Message(NamedTuple):
    """The start line, headers (names in lower case) and body of one message."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the connection has ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(start, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Server:
    """Accepts connections and hands each request to a handler."""

    def __init__(self, ip: str = "127.0.0.1"):
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"{self.ip}:{self.port}"

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def listen(self) -> None:
        """Listen, on the port that it had before."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a process that is killed: reset all connections, refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()


class Store(Server):
    """The platform's metadata store; it takes 4 ms for an answer.

    Attributes
    ----------
    loses_answer : callable
        Whether the answer to a call is lost, given the caller's port, the target and
        the answer. A connection on which an answer is lost returns nothing further.
    on_watch : callable
        Called with the caller's port and the kind when a watch begins to wait.
    on_changes : callable
        Called with the same when a watch is answered with changes.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.loses_answer: Callable[[int, str, Any], bool] = lambda *_: False
        self.on_watch: Callable[[int, str], None] = lambda *_: None
        self.on_changes: Callable[[int, str], None] = lambda *_: None
        self._waiting: dict[asyncio.StreamWriter, str] = {}
        self._record = record
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a worker does."""
        self._change(kind, name, spec, is_deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._change(kind, name, None, is_deleted=True)

    def cut_watches(self, kind: str) -> None:
        """Cut off the watches of a kind that are waiting."""
        for writer, waiting_for in self._waiting.items():
            if waiting_for == kind:
                self._record.write(f"store: cuts off a waiting watch of {kind}")
                reset(writer)

    def _change(self, kind: str, name: str, spec: Any, is_deleted: bool) -> dict:
        self._revision += 1
        known = self._objects.get((kind, name))
        created = known["metadata"]["createdRev"] if known else self._revision
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": known["spec"] if known and is_deleted else spec,
            "status": None,
        }
        if is_deleted:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = item
        event = {"object": item, "deleted": is_deleted}
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def handle(self, request, reader, writer):
        """Answer one call."""
        url = urlsplit(request.target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        kind, *rest = url.path.removeprefix("/objects/").split("/")
        peer = writer.get_extra_info("peername")[1]
        await asyncio.sleep(0.004)
        match request.method:
            case "GET" if "watch" in query:
                self._waiting[writer] = kind
                try:
                    status, answer = await self._watch(peer, kind, query)
                finally:
                    del self._waiting[writer]
                if answer["events"]:
                    self.on_changes(peer, kind)
            case "GET" if rest:
                item = self._objects.get((kind, unquote(rest[0])))
                status, answer = (200, item) if item else (404, {})
            case "GET":
                status, answer = 200, self._list(kind, query.get("after", ""))
            case _:
                status, answer = self._write(request, kind, rest)
        if self.loses_answer(peer, request.target, answer):
            self._record.write(f"store: the answer to {request.target} is lost")
            await reader.read()
            return
        headers = {"Content-Type": "application/json"}
        body = json.dumps(answer).encode()
        writer.write(encode_response(status, headers, body))
        await writer.drain()

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        return {
            "items": [self._objects[kind, name] for name in names[:500]],
            "hasMore": len(names) > 500,
            "storeRevision": self._revision,
        }

    async def _watch(
        self, peer: int, kind: str, query: dict[str, str]
    ) -> tuple[int, dict]:
        after = int(query["watch"])
        self.on_watch(peer, kind)
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for r, k, e in self._history if r > after and k == kind]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _write(self, request: Message, kind: str, rest: list[str]) -> tuple[int, dict]:
        document = json.loads(request.body)
        name = unquote(rest[0]) if rest else document["metadata"]["name"]
        known = self._objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method == "PUT" and not known:
            return 404, {}
        return 200, self._change(kind, name, document["spec"], is_deleted=False)


Answer = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[bool]]


class Arrival(NamedTuple):
    """A request that a worker began to run."""

    at: float
    request_id: str
    target: str


class Worker(Server):
    """A worker of a plain service.

    Attributes
    ----------
    work_s : float
        How long a request runs.
    answer : callable or None
        Answers a request instead of the usual answer; returns whether it did.
    ran : list of Arrival
        The requests that it has run.
    """

    _starts = itertools.count(1)

    def __init__(self, store: Store, record: Record, name: str, service: str = "app"):
        super().__init__()
        self.name = name
        self.id = ""
        self.service = service
        self.work_s = 0.02
        self.answer: Answer | None = None
        self.ran: list[Arrival] = []
        self._store = store
        self._record = record
        self._born = 0

    async def start(self) -> None:
        """Start with a new id, and register."""
        await self.listen()
        self.id = f"{self.name}-{next(self._starts)}"
        self._born = int(time.time() * 1000)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        self._store.put("servers", self.id, self.entry(state))

    def entry(self, state: str = "ready") -> dict:
        """Return the entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self._born,
        }

    async def crash(self, down_s: float) -> None:
        """End as a process that crashes, and start again after a time."""
        gone = self.id
        self.stop()
        await asyncio.sleep(down_s)
        await self.start()
        self._store.delete("servers", gone)

    def begin(self, request: Message) -> str:
        """Record that a request begins to run; returns its id."""
        request_id = request.headers.get("poplarward-request-id", "")
        self.ran.append(Arrival(self._record.now(), request_id, request.target))
        self._record.write(f"{self.name}: runs {request_id} {request.target}")
        return request_id

    async def handle(self, request, reader, writer):
        """Answer one request."""
        if request.target == "/health":
            headers = {"Poplarward-Instance-Id": self.id}
            writer.write(encode_response(200, headers))
            return
        request_id = request.headers.get("poplarward-request-id", "")
        echo = {"Poplarward-Request-Id": request_id}
        if request.headers.get("poplarward-expect-instance", self.id) != self.id:
            writer.write(encode_response(421, {**echo, "Poplarward-Not-Run": "1"}))
            return
        if self.answer is not None and await self.answer(self, request, writer):
            return
        self.begin(request)
        await asyncio.sleep(self.work_s)
        headers = {**echo, "Poplarward-Server-Stamp": f"s.{self.id}"}
        writer.write(encode_response(200, headers, f"done {request_id}".encode()))
        await writer.drain()


class Entry:
    """A process of the entry role."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        number: int,
        store_address: str,
        exchange_port: int,
    ):
        self.name = f"front-{number}"
        self.ip = f"127.0.1.{number}"
        front, self._ready, directory, self._metrics, control = free_ports(5, self.ip)
        self.front = front
        self._record = record
        self._settings = folder / f"{self.name}.toml"
        self.log_path = folder / f"{self.name}.log"
        self._process: subprocess.Popen | None = None
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                front=front,
                ready=self._ready,
                directory=directory,
                control=control,
                port=exchange_port,
                last_port=exchange_port + 15,
                store=store_address,
            ),
            encoding="utf-8",
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["POPLARWARD_NODE_FILE"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [*command, "--metrics-port", str(self._metrics)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._record.write(f"{self.name}: started")

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends_at:
            if await self.is_ready():
                self._record.write(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_path.read_text()}")

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self._ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            response = await asyncio.wait_for(read_message(reader), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return response is not None and response.status == 200

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.write(f"{self.name}: {signal.Signals(number).name}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._record.write(f"{self.name}: killed")
            self._process.kill()
            self._process.wait()


class Result(NamedTuple):
    """How a client's request ended; status 0 if its connection ended first."""

    request_id: str
    sent_at: float
    status: int
    body: bytes
    headers: dict[str, str]


class Channel:
    """A client's connection, which it keeps for further requests."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, entry: Entry):
        self._record = record
        self._entry = entry
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        method: str,
        path: str,
        deadline_ms: int = 2_500,
        key: str = KEY,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Send one request and return its answer."""
        request_id = f"req-{next(self._numbers)}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Poplarward-Request-Id: {request_id}",
            f"Poplarward-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        response = None
        sent_at = self._record.now()
        try:
            if self._streams is None:
                self._streams = await asyncio.wait_for(
                    asyncio.open_connection(self._entry.ip, self._entry.front), 1.0
                )
            reader, writer = self._streams
            sent_at = self._record.now()
            self._record.write(
                f"client: sends {request_id} {method} {path} to {self._entry.name}"
            )
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            response = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000 + 0.5
            )
        except (OSError, TimeoutError) as error:
            self._record.write(f"client: {request_id}: {error!r}")
        if response is None:
            self.close()
            self._record.write(f"client: {request_id} ended without an answer")
            return Result(request_id, sent_at, 0, b"", {})
        self._record.write(f"client: {request_id} answered {response.status}")
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        return Result(
            request_id, sent_at, response.status, response.body, response.headers
        )

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def free_ports(n_ports: int, ip: str) -> list[int]:
    """Return ports of an address that nothing listens on."""
    socks = [socket.socket() for _ in range(n_ports)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def route(name: str, kind: str, service: str = "app", **changes: Any) -> dict:
    """Return a route of the configuration; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2_500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        **changes,
    }


def configuration(
    version: int, routes: list[dict], keys: tuple[str, ...] = (KEY,)
) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "healthPath": "/health", "maxConns": 208}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}],
    }


class Deployment:
    """A store, workers and entry processes, all ended at the end of a case."""

    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.store = Store(record)
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self._folder = folder

    async def start(
        self, routes: list[dict], n_workers: int, n_entries: int, version: int = 10
    ) -> None:
        """Start everything, and wait until it has been calm for `stableWindowMs`."""
        await self.store.listen()
        for number in range(n_workers):
            worker = Worker(self.store, self.record, f"worker-{number}")
            await worker.start()
            self.workers.append(worker)
        await self.start_entries(configuration(version, routes), n_entries)

    async def start_entries(self, document: dict, n_entries: int) -> None:
        """Start the entry processes with a configuration."""
        self.store.put("config", "main", document)
        exchange_port = free_ports(1, "127.0.1.1")[0]
        for number in range(1, n_entries + 1):
            self.entries.append(
                Entry(
                    self.record,
                    self._folder,
                    number,
                    self.store.address,
                    exchange_port,
                )
            )
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
        await asyncio.sleep(3.5)

    def channel(self, number: int = 0) -> Channel:
        """Return a new connection of a client to an entry process."""
        return Channel(self.record, self.entries[number])

    def close(self) -> None:
        """End everything."""
        for entry in self.entries:
            entry.kill()
        for server in (self.store, *self.workers):
            server.stop()


Case = Callable[[Deployment], Awaitable[bool]]


def main(case: Case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    A case returns whether the rule held. The script's argument is the record's path.
    """
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(Path(sys.argv[1]))
    record.write(f"disruption: {'yes' if HAS_TROUBLE else 'no'}")
    status = 2
    # The processes of the case are ended even if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(_run(case, record, folder))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.write(f"exit {status}")
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)


async def _run(case: Case, record: Record, folder: Path) -> int:
    deployment = Deployment(record, folder)
    try:
        is_held = await asyncio.wait_for(case(deployment), LIMIT_S)
    finally:
        deployment.close()
    return 0 if is_held else 1


SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","directory","control"]
ip = "{ip}"
zone = "zone-a"
region = "area-a"
portRange = [{port},{last_port}]
seeds = ["127.0.1.1:{control}"]
bootstrap = true
beatIntervalMs = 1200
contracts = ["base","drain","config","retry","recover","stream","tenants","platform"]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.731
cores = 1
memoryMb = 222
maxFds = 1570
linkMbps = 350.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 191
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
fenceRequired = false
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

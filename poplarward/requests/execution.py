"""Runs attempts at the upstream behind an agent.

The executor is the only way in to its upstream, so what it has not started has not
run: an attempt that was barred before its start never starts.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import NamedTuple

import trio

from ..errors import PeerUnreachable, UpstreamUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.reports import AgentReport, UpstreamKind, UpstreamState
from ..protocol.requests import (
    Bar,
    Barred,
    Cancel,
    End,
    Head,
    Outcome,
    PriorityClass,
    Submit,
)
from ..telemetry import get_logger
from ..transport import HttpClient
from .packing import PiecePacker

__all__ = ["Executor", "UpstreamSettings"]

MAX_REMEMBERED_ATTEMPTS = 100_000
REPORT_INTERVAL_MS = 100.0
UPSTREAM_TIMEOUT_MS = 30_000.0
EVENT_SEPARATOR = b"\n\n"

log = get_logger("executor")


class UpstreamSettings(NamedTuple):
    """What an agent stands before.

    Attributes
    ----------
    kind : UpstreamKind
    name : str
        Model group or plain service that the upstream belongs to.
    url : str
        Where the upstream listens, by IP number.
    n_slots : int
        Requests that it runs at once.
    """

    kind: UpstreamKind
    name: str
    url: str
    n_slots: int


class _Attempt:
    """An attempt in hand."""

    def __init__(self, submit: Submit):
        self.submit = submit
        self.scope = trio.CancelScope()
        self.started = False


class Executor:
    """Admits, runs, bars and reports the attempts of one upstream.

    Parameters
    ----------
    peers : Peers
        Connections of entry hosts.
    settings : UpstreamSettings
        What the agent stands before.
    """

    def __init__(self, peers: Peers, settings: UpstreamSettings):
        self.state = UpstreamState.LIVE
        self._peers = peers
        self._settings = settings
        self._client = HttpClient(settings.url, n_connections=settings.n_slots * 2)
        self._slots = trio.Semaphore(settings.n_slots)
        self._attempts: dict[RequestId, _Attempt] = {}
        self._outcomes: OrderedDict[RequestId, Outcome] = OrderedDict()
        self._packers: dict[Connection, PiecePacker] = {}
        self._n_reports = 0
        self._n_running = 0
        self._nursery: trio.Nursery | None = None
        peers.register(Submit, self._on_submit)
        peers.register(Cancel, self._on_cancel)
        peers.register(Bar, self._on_bar)
        peers.on_lost.append(self._on_lost)

    @property
    def n_attempts(self) -> int:
        """Attempts running or waiting."""
        return len(self._attempts)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to run attempts and report load."""
        self._nursery = nursery
        nursery.start_soon(self._report)

    async def close(self) -> None:
        """Close the connections to the upstream."""
        await self._client.close()

    async def drain(self) -> None:
        """Take no new attempts and return when those in hand have ended."""
        self.state = UpstreamState.LEAVING
        while self._attempts:
            await trio.sleep(0.05)

    async def _on_submit(self, connection: Connection, submit: Submit) -> None:
        assert self._nursery is not None
        request_id = submit.request_id
        packer = self._packer(connection)
        if request_id in self._outcomes or request_id in self._attempts:
            # A doubled message; the first one is answered for.
            return
        if self.state is not UpstreamState.LIVE:
            packer.end(End(request_id, Outcome.NOT_RUN, 0, f"agent is {self.state}"))
            return
        attempt = self._attempts[request_id] = _Attempt(submit)
        self._nursery.start_soon(self._run, connection, packer, attempt)

    async def _on_cancel(self, connection: Connection, cancel: Cancel) -> None:
        attempt = self._attempts.get(cancel.request_id)
        if attempt is not None and attempt.submit.repeatable:
            attempt.scope.cancel()

    async def _on_bar(self, connection: Connection, bar: Bar) -> Barred:
        request_id = bar.request_id
        attempt = self._attempts.get(request_id)
        if attempt is not None and not attempt.started:
            attempt.scope.cancel()
            self._remember(request_id, Outcome.NOT_RUN)
        elif attempt is not None:
            return Barred(request_id, Outcome.UNKNOWN)
        elif request_id not in self._outcomes:
            self._remember(request_id, Outcome.NOT_RUN)
        return Barred(request_id, self._outcomes[request_id])

    def _on_lost(self, connection: Connection) -> None:
        self._packers.pop(connection, None)

    def _packer(self, connection: Connection) -> PiecePacker:
        packer = self._packers.get(connection)
        if packer is None:
            assert self._nursery is not None
            packer = self._packers[connection] = PiecePacker(connection)
            self._nursery.start_soon(packer.run)
        return packer

    def _remember(self, request_id: RequestId, outcome: Outcome) -> None:
        self._outcomes[request_id] = outcome
        if len(self._outcomes) > MAX_REMEMBERED_ATTEMPTS:
            self._outcomes.popitem(last=False)

    async def _run(
        self, connection: Connection, packer: PiecePacker, attempt: _Attempt
    ) -> None:
        submit = attempt.submit
        end = End(submit.request_id, Outcome.NOT_RUN, 0, "cancelled before its start")
        try:
            with attempt.scope:
                with trio.move_on_after(submit.deadline_ms / 1000):
                    await self._slots.acquire()
                    try:
                        attempt.started = True
                        end = await self._run_upstream(connection, packer, submit)
                    finally:
                        self._slots.release()
            if attempt.started and end.outcome is Outcome.NOT_RUN and not end.error:
                end = end._replace(outcome=Outcome.UNKNOWN)
        finally:
            self._attempts.pop(submit.request_id, None)
        self._remember(submit.request_id, end.outcome)
        packer.end(end)

    async def _run_upstream(
        self, connection: Connection, packer: PiecePacker, submit: Submit
    ) -> End:
        """Forward one attempt; returns its end."""
        request_id = submit.request_id
        n_pieces = submit.n_pieces_received
        self._n_running += 1
        try:
            async with self._client.stream(
                submit.method,
                submit.path,
                submit.headers,
                self._body(submit),
                UPSTREAM_TIMEOUT_MS,
            ) as response:
                head = Head(request_id, response.status, response.headers)
                await connection.notify(head)
                async for piece in self._pieces(response.chunks()):
                    packer.add(request_id, n_pieces, piece)
                    n_pieces += 1
            return End(request_id, Outcome.RAN, n_pieces)
        except UpstreamUnreachable as error:
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            return End(request_id, outcome, n_pieces, f"upstream: {error}")
        except PeerUnreachable as error:
            return End(request_id, Outcome.UNKNOWN, n_pieces, f"entry host: {error}")
        finally:
            self._n_running -= 1

    def _body(self, submit: Submit) -> bytes:
        if self._settings.kind is UpstreamKind.PLAIN:
            return submit.body
        document = json.loads(submit.body)
        document["priority"] = 0 if submit.priority_class is PriorityClass.URGENT else 1
        document["resume_after"] = submit.n_pieces_received
        return json.dumps(document).encode()

    async def _pieces(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield an engine's events one by one, a plain service's chunks as they are."""
        if self._settings.kind is UpstreamKind.PLAIN:
            async for chunk in chunks:
                yield chunk
            return
        rest = b""
        async for chunk in chunks:
            *events, rest = (rest + chunk).split(EVENT_SEPARATOR)
            for event in events:
                yield event + EVENT_SEPARATOR
        if rest:
            yield rest

    async def _report(self) -> None:
        while True:
            report = self._make_report()
            for connection in list(self._peers.accepted):
                try:
                    await connection.notify(report)
                except PeerUnreachable as error:
                    log.info("report.failed", reason=str(error))
            await trio.sleep(REPORT_INTERVAL_MS / 1000)

    def _make_report(self) -> AgentReport:
        self._n_reports += 1
        return AgentReport(
            upstream_kind=self._settings.kind,
            upstream=self._settings.name,
            state=self.state,
            n_running=self._n_running,
            n_waiting=len(self._attempts) - self._n_running,
            n_tokens_outstanding=0,
            n_slots=self._settings.n_slots,
            kv_bytes_used=0,
            kv_bytes_limit=0,
            report_number=self._n_reports,
        )

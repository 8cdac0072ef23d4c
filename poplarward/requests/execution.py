"""Runs attempts at the upstream behind an agent.

The executor is the only way in to its upstream, so what it has not started has not
run: an attempt that was barred before its start never starts.
"""

from __future__ import annotations

import dataclasses

import trio

from ..errors import Refused, UpstreamUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.attempts import AttemptQuery, AttemptState
from ..protocol.reports import AgentReport, UpstreamState
from ..protocol.requests import (
    Bar,
    Barred,
    Cancel,
    End,
    Head,
    Outcome,
    Refusal,
    Submit,
)
from ..telemetry import get_logger
from .health import UpstreamHealth
from .kv_admission import KvMemory, KvShare
from .outcomes import OutcomeRecord
from .packing import PiecePacker
from .payments import Declined, Payments, Record, Recorded
from .reporting import LoadReporter
from .slots import Demand, FairSlots
from .upstream import Upstream, UpstreamClient, UpstreamSettings

__all__ = ["Executor"]

DRAIN_POLL_MS = 50.0
FLUSH_TIMEOUT_MS = 5_000.0

log = get_logger("executor")


class _Attempt:
    """An attempt in hand.

    Attributes
    ----------
    started : bool
        Whether the upstream may have received it.
    barred : bool
        Whether it was promised that it never starts.
    """

    def __init__(self, submit: Submit, connection: Connection, packer: PiecePacker):
        self.submit = submit
        self.connection = connection
        self.packer = packer
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.started = False
        self.barred = False
        self.n_pieces = submit.n_pieces_received
        self.head: Head | None = None
        self.body: list[bytes] = []

    @property
    def is_keyed(self) -> bool:
        """Whether its key decides if it may run."""
        return bool(self.submit.idempotency_key) and not self.submit.repeatable

    @property
    def has_piece(self) -> bool:
        """Whether the upstream has begun its answer."""
        return self.n_pieces > self.submit.n_pieces_received

    def stop(self) -> None:
        """Stop it, unless it is running and may not be repeated."""
        if not self.started:
            self.barred = True
            self.scope.cancel()
        elif self.submit.repeatable:
            self.scope.cancel()


class Executor:
    """Admits, runs, bars and reports the attempts of one upstream.

    Parameters
    ----------
    peers : Peers
        Connections of entry hosts.
    settings : UpstreamSettings
        What the agent stands before.
    client : UpstreamClient, optional
        Replaces the HTTP client in tests.
    payments : Payments, optional
        Lets the calls of each idempotency key run at most once.
    """

    def __init__(
        self,
        peers: Peers,
        settings: UpstreamSettings,
        client: UpstreamClient | None = None,
        payments: Payments | None = None,
    ):
        self._is_leaving = False
        self._health = UpstreamHealth()
        self._peers = peers
        self._settings = settings
        self._upstream = Upstream(settings, client)
        self._payments = payments
        memory = KvMemory(settings.kv_limit_tokens)
        self._slots = FairSlots(settings.n_slots, memory)
        self._attempts: dict[RequestId, _Attempt] = {}
        self._outcomes = OutcomeRecord()
        self._packers: dict[Connection, PiecePacker] = {}
        self._nursery: trio.Nursery | None = None
        self._reporter = LoadReporter(peers, self._read_load)
        peers.register(Submit, self._on_submit)
        peers.register(Cancel, self._on_cancel)
        peers.register(Bar, self._on_bar)
        peers.register(AttemptQuery, self._on_query)
        peers.on_lost.append(self._on_lost)
        if payments is not None:
            payments.register(peers)

    @property
    def state(self) -> UpstreamState:
        """Whether new attempts are taken."""
        if self._is_leaving:
            return UpstreamState.LEAVING
        is_down = self._health.is_down(trio.current_time() * 1000)
        return UpstreamState.DOWN if is_down else UpstreamState.LIVE

    @property
    def n_attempts(self) -> int:
        """Attempts running or waiting."""
        return len(self._attempts)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to run attempts and report load."""
        self._nursery = nursery
        if self._payments is not None:
            await self._payments.start(nursery)
        nursery.start_soon(self._reporter.run)

    async def close(self) -> None:
        """Close the connections to the upstream."""
        await self._upstream.close()

    async def drain(self) -> None:
        """Take no new attempts and return when those in hand have ended."""
        self._is_leaving = True
        await self._reporter.report_now()
        while self._attempts:
            await trio.sleep(DRAIN_POLL_MS / 1000)
        if self._payments and not await self._payments.flush(FLUSH_TIMEOUT_MS):
            log.warning("drain.unflushed", upstream=self._settings.name)

    async def _on_submit(self, connection: Connection, submit: Submit) -> None:
        assert self._nursery is not None
        request_id = submit.request_id
        sender = (connection.identity.name, connection.identity.start_id)
        if (request_id.entry, request_id.start_id) != sender:
            log.warning("submit.foreign", request=str(request_id), sender=sender[0])
            return
        self._reporter.note_received(connection, request_id)
        if request_id in self._attempts:
            # A doubled message; the first one is answered for.
            return
        packer = self._packer(connection)
        if not self._outcomes.may_start(request_id):
            reason = "the attempt was barred or has ended"
            outcome = self._outcomes.get(request_id)
            packer.end(End(request_id, outcome, submit.n_pieces_received, reason))
            return
        if self.state is not UpstreamState.LIVE:
            packer.end(self._refuse(submit))
            return
        attempt = _Attempt(submit, connection, packer)
        self._attempts[request_id] = attempt
        self._nursery.start_soon(self._run, attempt)

    def _refuse(self, submit: Submit) -> End:
        self._outcomes.put(submit.request_id, Outcome.NOT_RUN)
        return End(
            submit.request_id,
            Outcome.NOT_RUN,
            submit.n_pieces_received,
            f"agent is {self.state}",
            refusal=Refusal.LEAVING,
        )

    async def _on_cancel(self, connection: Connection, cancel: Cancel) -> None:
        attempt = self._attempts.get(cancel.request_id)
        if attempt is not None:
            attempt.stop()

    async def _on_bar(self, connection: Connection, bar: Bar) -> Barred:
        attempt = self._attempts.get(bar.request_id)
        if attempt is None:
            return Barred(bar.request_id, self._outcomes.bar(bar.request_id))
        attempt.stop()
        if attempt.barred:
            return Barred(bar.request_id, Outcome.NOT_RUN)
        with trio.move_on_after(bar.wait_ms / 1000):
            await attempt.ended.wait()
        return Barred(bar.request_id, self._outcomes.get(bar.request_id))

    async def _on_query(
        self, connection: Connection, query: AttemptQuery
    ) -> AttemptState:
        is_held = query.request_id in self._attempts
        return AttemptState(query.request_id, is_held)

    def _on_lost(self, connection: Connection) -> None:
        packer = self._packers.pop(connection, None)
        if packer is not None:
            packer.close()
        for attempt in self._attempts.values():
            if attempt.connection is connection:
                attempt.stop()

    def _packer(self, connection: Connection) -> PiecePacker:
        packer = self._packers.get(connection)
        if packer is None:
            assert self._nursery is not None
            packer = self._packers[connection] = PiecePacker(
                connection, self._reporter.due_report
            )
            self._nursery.start_soon(packer.run)
        return packer

    async def _run(self, attempt: _Attempt) -> None:
        submit = attempt.submit
        attempt.scope.deadline = trio.current_time() + submit.deadline_ms / 1000
        end = None
        with attempt.scope:
            if self._payments is not None and attempt.is_keyed:
                end = await self._run_once(attempt, self._payments)
            else:
                end = await self._run_in_slot(attempt)
        if end is None:
            end = _cut_short(attempt)
        self._outcomes.put(submit.request_id, end.outcome)
        del self._attempts[submit.request_id]
        attempt.ended.set()
        attempt.packer.end(end)

    async def _run_once(self, attempt: _Attempt, payments: Payments) -> End | None:
        """Run an attempt unless its key has been used; returns its end."""
        submit = attempt.submit
        match await payments.begin(submit):
            case Recorded(record):
                return _replay(attempt, record)
            case Declined(refusal, outcome, reason, retry_after_ms):
                return End(
                    submit.request_id, outcome, 0, reason, retry_after_ms, refusal
                )
        end = None
        try:
            end = await self._run_in_slot(attempt)
            return end
        finally:
            if not attempt.started or (end and end.outcome is Outcome.NOT_RUN):
                payments.release(submit)
            elif end and end.outcome is Outcome.RAN and attempt.head:
                content_type = dict(attempt.head.headers).get("content-type", "")
                body = b"".join(attempt.body)
                payments.finish(submit, attempt.head.status, content_type, body)
            else:
                payments.lose(submit)

    async def _run_in_slot(self, attempt: _Attempt) -> End | None:
        try:
            return await self._run_with_slot(attempt)
        except Refused as error:
            return _overloaded(attempt, error)

    async def _run_with_slot(self, attempt: _Attempt) -> End | None:
        async with self._slots.hold(_demand(attempt.submit)) as share:
            # A slot may be handed over in the same step as the bar was answered.
            if attempt.barred:
                return None
            attempt.started = True
            if not attempt.submit.repeatable:
                # Its outcome is worth more than the deadline.
                attempt.scope.deadline = trio.current_time() + 1e9
            return await self._forward(attempt, share)

    async def _forward(self, attempt: _Attempt, share: KvShare) -> End:
        """Forward one attempt; returns its end."""
        submit = attempt.submit
        try:
            async with self._upstream.forward(submit) as answer:
                self._health.succeeded()
                head = Head(submit.request_id, answer.status, answer.headers)
                attempt.packer.head(head)
                attempt.head = head
                async for piece in answer.pieces():
                    attempt.packer.add(
                        submit.request_id, attempt.n_pieces, piece, answer.has_events
                    )
                    attempt.n_pieces += 1
                    share.grow()
                    if attempt.is_keyed:
                        attempt.body.append(piece)
            return End(submit.request_id, Outcome.RAN, attempt.n_pieces)
        except UpstreamUnreachable as error:
            if not error.sent:
                await self._note_refusal()
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            reason = f"upstream: {error}"
            return End(submit.request_id, outcome, attempt.n_pieces, reason)

    async def _note_refusal(self) -> None:
        was_live = self.state is UpstreamState.LIVE
        self._health.failed(trio.current_time() * 1000)
        if was_live:
            await self._reporter.report_now()

    def _read_load(self) -> AgentReport:
        n_running = sum(attempt.has_piece for attempt in self._attempts.values())
        return AgentReport(
            upstream_kind=self._settings.kind,
            upstream=self._settings.name,
            state=self.state,
            n_running=n_running,
            n_waiting=len(self._attempts) - n_running,
            n_tokens_outstanding=0,
            n_slots=self._settings.n_slots,
            kv_bytes_used=0,
            kv_bytes_limit=0,
            report_number=0,
        )


def _demand(submit: Submit) -> Demand:
    return Demand(
        submit.priority_class,
        submit.workspace,
        submit.share,
        max(1, submit.n_tokens),
        submit.deadline_ms,
        # A resumed answer is in the engine's memory as if it were prompt.
        submit.n_prompt_tokens + submit.n_pieces_received,
    )


def _overloaded(attempt: _Attempt, error: Refused) -> End:
    """Return the end of an attempt that got no slot."""
    return End(
        attempt.submit.request_id,
        Outcome.NOT_RUN,
        attempt.n_pieces,
        str(error),
        int(error.retry_after_ms),
        Refusal.OVERLOADED,
    )


def _cut_short(attempt: _Attempt) -> End:
    """Return the end of an attempt that was stopped or ran out of time."""
    end = End(
        attempt.submit.request_id,
        Outcome.NOT_RUN,
        attempt.n_pieces,
        "stopped before its start",
        refusal=Refusal.NONE if attempt.barred else Refusal.DEADLINE,
    )
    if attempt.started:
        reason = "stopped while it ran"
        return dataclasses.replace(end, outcome=Outcome.UNKNOWN, error=reason)
    return end


def _replay(attempt: _Attempt, record: Record) -> End:
    """Answer an attempt from the record of its key; returns its end."""
    request_id = attempt.submit.request_id
    if record.is_cut:
        reason = f"it ran before with status {record.status}; its answer was not kept"
        return End(request_id, Outcome.RAN, 0, reason)
    headers = [("content-type", record.content_type)]
    attempt.packer.head(Head(request_id, record.status, headers))
    if record.body:
        attempt.packer.add(request_id, 0, record.body, is_stream=False)
        attempt.n_pieces = 1
    return End(request_id, Outcome.RAN, attempt.n_pieces)

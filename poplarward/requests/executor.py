"""Runs attempts at the upstream behind an agent.

All requests to the upstream pass through the executor, so an attempt that it has not
started has not run, and an attempt that was barred before its start never starts.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from ..protocol import Connection, Peers, RequestId
from ..protocol.attempts import AttemptQuery, AttemptState
from ..protocol.reports import AgentReport, UpstreamState
from ..protocol.requests import (
    AttemptBlocked,
    BlockAttempt,
    Cancel,
    End,
    Outcome,
    Submit,
)
from ..telemetry import get_logger
from .attempt_ends import stopped_end, unavailable_end
from .attempt_runner import AttemptRunner
from .batching import ResponseBatcher
from .health import UpstreamHealth
from .in_flight import InFlightAttempt
from .outcomes import OutcomeHistory
from .payments import IdempotencyGuard
from .reporting import LoadReporter
from .suspects import SuspectGossip, SuspectTable
from .upstream import Upstream, UpstreamClient, UpstreamSettings

__all__ = ["Executor"]

DRAIN_POLL_MS = 50.0
DRAINING_CHECK_MS = 100.0
FLUSH_TIMEOUT_MS = 5_000.0

log = get_logger("executor")


class Executor:
    """Admits, runs, bars and reports the attempts of one upstream.

    Attributes
    ----------
    on_attempt_ended : list of callable
        Called with each attempt that had a slot, when it ends.

    Parameters
    ----------
    peers : Peers
        Connections of entry hosts.
    settings : UpstreamSettings
        The upstream behind the agent.
    client : UpstreamClient, optional
        Replaces the HTTP client in tests.
    payments : IdempotencyGuard, optional
        Lets the calls of each idempotency key run at most once.
    suspects : SuspectTable, optional
        Verdicts on requests that were running at an upstream when it crashed.
    standing : callable, optional
        Returns the state of the agent's host as known outside of the executor, such
        as draining or not ready.
    """

    def __init__(
        self,
        peers: Peers,
        settings: UpstreamSettings,
        client: UpstreamClient | None = None,
        payments: IdempotencyGuard | None = None,
        suspects: SuspectTable | None = None,
        standing: Callable[[], UpstreamState] = lambda: UpstreamState.LIVE,
    ):
        self.suspects = suspects or SuspectTable()
        self._gossip = SuspectGossip(peers, self.suspects)
        self._is_draining = False
        self._host_state = standing
        self._health = UpstreamHealth()
        self._peers = peers
        self._settings = settings
        self._upstream = Upstream(settings, client)
        self._payments = payments
        self._runner = AttemptRunner(
            self._upstream,
            settings.n_slots,
            self._health,
            self._record_refused_connection,
            self.suspects,
            lambda: self.state is UpstreamState.LEAVING,
            payments,
        )
        self.on_attempt_ended: list[Callable[[InFlightAttempt], None]] = []
        self._attempts: dict[RequestId, InFlightAttempt] = {}
        self._outcomes = OutcomeHistory()
        self._batchers: dict[Connection, ResponseBatcher] = {}
        self._nursery: trio.Nursery | None = None
        self._reporter = LoadReporter(peers, self.read_load)
        peers.register(Submit, self._on_submit)
        peers.register(Cancel, self._on_cancel)
        peers.register(BlockAttempt, self._on_bar)
        peers.register(AttemptQuery, self._on_query)
        peers.on_lost.append(self._on_lost)
        if payments is not None:
            payments.register(peers)

    @property
    def state(self) -> UpstreamState:
        """Whether new attempts are accepted."""
        if self._is_draining:
            return UpstreamState.LEAVING
        host_state = self._host_state()
        if host_state is not UpstreamState.LIVE:
            return host_state
        is_down = self._health.is_down(trio.current_time() * 1000)
        return UpstreamState.DOWN if is_down else UpstreamState.LIVE

    @property
    def n_attempts(self) -> int:
        """Attempts in flight, running or waiting."""
        return len(self._attempts)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to run attempts and report load."""
        self._nursery = nursery
        if self._payments is not None:
            await self._payments.start(nursery)
        nursery.start_soon(self._reporter.run)
        nursery.start_soon(self._gossip.run)
        nursery.start_soon(self._reroute_while_draining)

    async def close(self) -> None:
        """Close the connections to the upstream."""
        await self._upstream.close()

    async def drain(self, wait_ms: float = math.inf) -> None:
        """Accept no new attempts and return when those in flight have ended.

        Repeatable attempts that are still running after `wait_ms` are stopped, and
        their entry hosts resume them at other agents.
        """
        self._is_draining = True
        self._reroute_waiting()
        await self._reporter.report_now()
        resume_elsewhere_at = trio.current_time() + wait_ms / 1000
        while self._attempts:
            if trio.current_time() >= resume_elsewhere_at:
                for attempt in list(self._attempts.values()):
                    attempt.move()
            await trio.sleep(DRAIN_POLL_MS / 1000)
        await self._flush_responses()
        if self._payments and not await self._payments.flush(FLUSH_TIMEOUT_MS):
            log.warning("drain.unflushed", upstream=self._settings.name)

    async def _reroute_while_draining(self) -> None:
        while True:
            if self.state is UpstreamState.LEAVING:
                self._reroute_waiting()
            await trio.sleep(DRAINING_CHECK_MS / 1000)

    def _reroute_waiting(self) -> None:
        """Reroute the waiting attempts, except those that only this agent may run."""
        for attempt in list(self._attempts.values()):
            if not attempt.started and not attempt.is_keyed:
                attempt.reroute()

    async def _flush_responses(self) -> None:
        """Return when all responses are sent, or after a time-out."""
        with trio.move_on_after(FLUSH_TIMEOUT_MS / 1000):
            while not all(batcher.is_idle for batcher in self._batchers.values()):
                await trio.sleep(DRAIN_POLL_MS / 1000)

    async def _on_submit(self, connection: Connection, submit: Submit) -> None:
        assert self._nursery is not None
        request_id = submit.request_id
        sender = (connection.identity.name, connection.identity.start_id)
        if (request_id.entry, request_id.start_id) != sender:
            log.warning("submit.rejected", request=str(request_id), sender=sender[0])
            return
        self._reporter.record_arrival(connection, request_id)
        if request_id in self._attempts:
            # A duplicate message: the first one has started the attempt.
            return
        batcher = self._batcher(connection)
        if not self._outcomes.may_start(request_id):
            reason = "the attempt was barred or has ended"
            outcome = self._outcomes.get(request_id)
            batcher.add_end(End(request_id, outcome, submit.n_pieces_received, reason))
            return
        if self.state is not UpstreamState.LIVE:
            self._outcomes.put(request_id, Outcome.NOT_RUN)
            batcher.add_end(unavailable_end(submit, self.state))
            return
        attempt = InFlightAttempt(submit, connection, batcher)
        attempt.arrived_at = trio.current_time()
        self._attempts[request_id] = attempt
        self._nursery.start_soon(self._run, attempt)

    async def _on_cancel(self, connection: Connection, cancel: Cancel) -> None:
        attempt = self._attempts.get(cancel.request_id)
        if attempt is not None:
            attempt.stop()

    async def _on_bar(
        self, connection: Connection, bar: BlockAttempt
    ) -> AttemptBlocked:
        attempt = self._attempts.get(bar.request_id)
        if attempt is None:
            return AttemptBlocked(bar.request_id, self._outcomes.bar(bar.request_id))
        attempt.stop()
        if attempt.barred:
            return AttemptBlocked(bar.request_id, Outcome.NOT_RUN)
        with trio.move_on_after(bar.wait_ms / 1000):
            await attempt.ended.wait()
        return AttemptBlocked(bar.request_id, self._outcomes.get(bar.request_id))

    async def _on_query(
        self, connection: Connection, query: AttemptQuery
    ) -> AttemptState:
        is_in_flight = query.request_id in self._attempts
        return AttemptState(query.request_id, is_in_flight)

    def _on_lost(self, connection: Connection) -> None:
        batcher = self._batchers.pop(connection, None)
        if batcher is not None:
            batcher.close()
        for attempt in self._attempts.values():
            if attempt.connection is connection:
                attempt.stop()

    def _batcher(self, connection: Connection) -> ResponseBatcher:
        batcher = self._batchers.get(connection)
        if batcher is None:
            assert self._nursery is not None
            batcher = self._batchers[connection] = ResponseBatcher(
                connection, self._reporter.due_report
            )
            self._nursery.start_soon(batcher.run)
        return batcher

    async def _run(self, attempt: InFlightAttempt) -> None:
        submit = attempt.submit
        attempt.cancel_scope.deadline = trio.current_time() + submit.deadline_ms / 1000
        end = None
        with attempt.cancel_scope:
            end = await self._runner.run(attempt)
        if end is None:
            end = stopped_end(attempt)
        if attempt.upstream_crashed:
            # The entry host must receive the verdict before it makes the next attempt.
            await self._gossip.push(attempt.connection)
        self._outcomes.put(submit.request_id, end.outcome)
        del self._attempts[submit.request_id]
        attempt.ended.set()
        attempt.batcher.add_end(end)
        if attempt.started:
            for callback in self.on_attempt_ended:
                callback(attempt)

    async def _record_refused_connection(self) -> None:
        was_live = self.state is UpstreamState.LIVE
        self._health.record_failure(trio.current_time() * 1000)
        if was_live:
            await self._reporter.report_now()

    def read_load(self) -> AgentReport:
        """Return a report of the current load, with number 0."""
        n_running = sum(attempt.response_started for attempt in self._attempts.values())
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
            n_suspects=sum(a.is_suspect for a in self._attempts.values()),
        )

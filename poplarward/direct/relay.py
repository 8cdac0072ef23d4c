"""Forwards callers' requests to upstreams and returns their responses.

One task per request runs all steps in sequence: accept the request, wait for a slot,
send it, return the response, and after a failure retry if a retry is harmless.
"""

from __future__ import annotations

import random

import trio

from ..errors import CallerDisconnected
from ..protocol.outcomes import Outcome
from ..requests.retries import (
    Failure,
    GiveUp,
    Retry,
    RetryContext,
    decide_retry,
)
from ..telemetry.logs import get_logger
from ..transport.buffer_budget import BufferBudget, BufferShare
from ..transport.http1_exchange import Exchange
from .admission_queue import AdmissionRequest, Admitted, Refused
from .attempts import AttemptSender, Completed, FailedResponse, not_sent
from .clock import elapsed_ms, now_ms
from .crash_watch import CrashWatch
from .job import Job
from .model import CallerRequest, Route
from .ports import CallProtocol
from .request_log import RequestLog
from .routing_state import RoutingState
from .routing_table import Accepted, Denied, choose_service

__all__ = ["Relay"]

# Late already, and callers retry once. They abandon a stream without an event after
# 2 s, and its prefill takes some of that.
RETURNING_MAX_WAIT_MS = 1_700.0
RETURNING_TIME_LEFT_FRACTION = 0.8  # Of the route's timeout; callers' differ by 15%.
TIME_LEFT_WAIT_FRACTION = 0.4  # The response takes the rest of the time left.
OBJECTIVE_WAIT_FRACTION = 0.45  # Of the latency objective, for waiting in the queue.
MAX_BUFFERED_BYTES = 33_554_432  # A fifth of the memory of the smallest hosts.
TIMEOUT_MARGIN_MS = 30.0  # The final response has to be in transit by the timeout.
SLOW_RETRY_AFTER_MS = 2_500.0  # About the longest delay that callers accept.

log = get_logger("relay")


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    routing_state : RoutingState
        Applied configuration, upstreams and admission.
    protocol : CallProtocol
    request_log : RequestLog
    crash_watch : CrashWatch
    rng : random.Random
    """

    def __init__(
        self,
        routing_state: RoutingState,
        protocol: CallProtocol,
        request_log: RequestLog,
        crash_watch: CrashWatch,
        rng: random.Random,
    ):
        self._routing_state = routing_state
        self._protocol = protocol
        self._crash_watch = crash_watch
        self._sender = AttemptSender(routing_state, protocol, crash_watch, request_log)
        self._log = request_log
        self._rng = rng
        self._buffer_budget = BufferBudget(MAX_BUFFERED_BYTES)
        self._scopes: set[trio.CancelScope] = set()
        self._is_ended = False

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        arrived_at_ms = now_ms()
        request = self._protocol.read_request(exchange.head)
        job = await self._accept(exchange, request, arrived_at_ms)
        if job is None:
            return
        self._routing_state.retry_budget(job.service).record_request()
        left_s = max(0.0, job.left_ms()) / 1000
        scope = trio.move_on_after(left_s)
        self._scopes.add(scope)
        try:
            with scope:
                with self._crash_watch.guard(job) as guard:
                    await self._serve(job)
                if guard.cancelled_caught:
                    refusal = self._crash_watch.refuse(job)
                    await self._end_cancelled(
                        job, refusal.reason, refusal.retry_after_ms
                    )
            if scope.cancelled_caught:
                await self._end_cancelled(job, self._reason_to_end(job), 0.0)
        except trio.Cancelled:
            self._log_interrupted(job)
            raise
        except CallerDisconnected:
            self._log_interrupted(job)
            exchange.abort()
        finally:
            self._scopes.discard(scope)
            job.buffers.clear()

    def end_requests(self) -> None:
        """Send all requests in progress their final response, as the host shuts down.

        Those that an upstream may have run get a failure, which promises nothing. A
        response that has begun is visibly incomplete.
        """
        self._is_ended = True
        for scope in self._scopes:
            scope.cancel()

    def _reason_to_end(self, job: Job) -> str:
        if self._is_ended and job.left_ms() > 0:
            job.exchange.close_after = True
            return "the host is stopping"
        return "the deadline has passed"

    async def _accept(
        self, exchange: Exchange, request: CallerRequest, arrived_at_ms: float
    ) -> Job | None:
        """Return the job of a request that may be served; else refuse it."""
        routing_state = self._routing_state
        table = routing_state.routing_table
        if table is None:
            await self._refuse_unaccepted(exchange, request, "no configuration yet")
            return None
        if routing_state.is_stopping:
            await self._refuse_unaccepted(exchange, request, "the host is stopping")
            return None
        verdict = table.accept(request)
        if routing_state.is_configuration_stale():
            # Keys and routes may have changed meanwhile.
            await self._refuse_unaccepted(exchange, request, "configuration too old")
            return None
        match verdict:
            case Denied() if routing_state.is_behind():
                reason = "other hosts have a newer configuration"
                await self._refuse_unaccepted(exchange, request, reason)
                return None
            case Denied(status, reason):
                self._log.log_denied(request, status, reason)
                headers = self._protocol.refusal_headers(request, None)
                await exchange.respond(status, headers, b"")
                return None
            case Accepted(route, workspace, priority):
                pass
        timeout_ms = route.timeout_ms - TIMEOUT_MARGIN_MS
        if request.time_left_ms is not None:
            timeout_ms = min(timeout_ms, request.time_left_ms)
        stops_at_ms = routing_state.stops_at_ms
        if (
            stops_at_ms is not None
            and not route.may_run_again
            and arrived_at_ms + timeout_ms > stops_at_ms
        ):
            # What it did would remain unknown if it were still running then.
            await self._refuse_unaccepted(exchange, request, "the host is stopping")
            return None
        return Job(
            exchange,
            request,
            route,
            choose_service(route, self._rng),
            workspace.name if workspace is not None else None,
            priority,
            None if route.is_public else request.key,
            arrived_at_ms,
            arrived_at_ms - _since_first_asked_ms(request, route),
            arrived_at_ms + timeout_ms,
            BufferShare(self._buffer_budget),
        )

    async def _refuse_unaccepted(
        self, exchange: Exchange, request: CallerRequest, reason: str
    ) -> None:
        self._log.log_denied(request, 503, reason)
        # Another entry host may have what this one lacks: don't keep the caller here.
        exchange.close_after = True
        headers = self._protocol.refusal_headers(request, 0.0)
        await exchange.respond(503, headers, b"")

    async def _serve(self, job: Job) -> None:
        """Make attempts until the caller has its final response."""
        n_attempts = 0
        while True:
            if refusal := self._crash_watch.refusal(job):
                await self._give_up(job, refusal.reason, refusal.retry_after_ms, None)
                return
            admission = await self._admit(job)
            if isinstance(admission, Refused):
                await self._give_up(
                    job, admission.reason, admission.retry_after_ms, None
                )
                return
            result = await self._attempt_at(job, admission)
            if isinstance(result, Completed):
                self._log.log_end(job, "answered", result.status)
                return
            failed_response = result if isinstance(result, FailedResponse) else None
            failure = result.failure if isinstance(result, FailedResponse) else result
            n_attempts += not failure.is_planned
            context = RetryContext(
                job.route.may_run_again,
                n_attempts,
                job.left_ms(),
                job.route.max_attempts,
            )
            step = decide_retry(
                failure, context, self._routing_state.retry_budget(job.service)
            )
            match step:
                case Retry():
                    self._log.log_retry(job, failure)
                case GiveUp(reason):
                    await self._give_up(
                        job, reason, failure.retry_after_ms, failed_response
                    )
                    return

    async def _admit(self, job: Job) -> Admitted | Refused:
        """Wait for a slot at an upstream."""
        routing_state, tokens = self._routing_state, job.request.estimated_answer_tokens
        if job.stream is None and not routing_state.can_end_in_time(
            job.service, tokens, job.left_ms()
        ):
            return Refused("its answer can not end in time", SLOW_RETRY_AFTER_MS)
        objective_ms = job.route.latency_objective_ms
        latest_start_ms = job.first_asked_at_ms + OBJECTIVE_WAIT_FRACTION * objective_ms
        is_returning = job.arrived_at_ms - job.first_asked_at_ms > objective_ms
        wait_ms = (
            RETURNING_MAX_WAIT_MS
            if is_returning
            else OBJECTIVE_WAIT_FRACTION * objective_ms
        )
        max_wait_ms = min(wait_ms, TIME_LEFT_WAIT_FRACTION * job.left_ms())
        # A stream that has begun is useless unless it is resumed.
        pause_objective_ms = 0.0 if job.stream else job.route.pause_objective_ms
        request = AdmissionRequest(
            job.priority,
            latest_start_ms,
            max_wait_ms,
            pause_objective_ms,
            job.tried,
            # First attempts need the limits; a stream that has begun needs its end.
            bool(job.tried)
            and job.stream is None
            and routing_state.has_limit(job.service),
        )
        began_at_ms = now_ms()
        try:
            return await routing_state.admit(job.service, request)
        finally:
            job.waited_ms += elapsed_ms(began_at_ms)

    async def _attempt_at(
        self, job: Job, slot: Admitted
    ) -> Completed | FailedResponse | Failure:
        """Make one attempt and release its slot."""
        routing_state = self._routing_state
        upstream = routing_state.upstreams.get(slot.upstream_id)
        if upstream is None:
            routing_state.release(job.service, None)
            return not_sent("the upstream has gone")
        acquired_at_ms = now_ms()
        try:
            return await self._sender.send(job, upstream)
        finally:
            routing_state.release(job.service, upstream, elapsed_ms(acquired_at_ms))

    async def _end_cancelled(
        self, job: Job, reason: str, retry_after_ms: float
    ) -> None:
        """Send the final response to a request whose handling was cancelled."""
        if job.exchange.is_finished:
            self._log_interrupted(job)
            return
        await self._give_up(job, reason, retry_after_ms, None)

    def _log_interrupted(self, job: Job) -> None:
        """Log the end of a request whose task was cancelled or whose caller left."""
        if job.exchange.is_finished:
            self._log.log_end(job, "answered", job.exchange.status)
            return
        self._log.log_end(job, "caller-left", 0)

    async def _give_up(
        self,
        job: Job,
        reason: str,
        retry_after_ms: float,
        failed_response: FailedResponse | None,
    ) -> None:
        """Send the caller a failure as its final response."""
        exchange = job.exchange
        if exchange.is_started:
            self._log.log_end(job, f"cut: {reason}", 0)
            exchange.abort()
            return
        if failed_response is not None:
            self._log.log_end(
                job, f"upstream's failure: {reason}", failed_response.head.status
            )
            await self._sender.return_response(
                job, failed_response.head, failed_response.body
            )
            return
        if job.outcome is Outcome.NOT_RUN:
            self._log.log_end(job, f"refused: {reason}", 503)
            headers = self._protocol.refusal_headers(job.request, retry_after_ms)
            await exchange.respond(503, headers, b"")
            return
        status = 504 if job.left_ms() <= TIMEOUT_MARGIN_MS else 502
        self._log.log_end(job, f"failed: {reason}", status)
        headers = self._protocol.refusal_headers(job.request, None)
        await exchange.respond(status, headers, b"")


def _since_first_asked_ms(request: CallerRequest, route: Route) -> float:
    """Return the time since the caller of a request first asked.

    Callers' own timeouts differ, so only a caller with much less time left than the
    route allows is taken for a returning one.
    """
    left_ms = request.time_left_ms
    if left_ms is None or left_ms > RETURNING_TIME_LEFT_FRACTION * route.timeout_ms:
        return 0.0
    return route.timeout_ms - left_ms

"""Takes callers' requests to upstreams and their answers back.

One task a request, written straight down: accept it, wait for a place, send it,
return the answer, and after a failure do so again if that can do no harm.
"""

from __future__ import annotations

import random

import trio

from ..errors import CallerGone
from ..protocol.outcomes import Outcome
from ..requests.retries import Failure, GiveUp, Retry, RetryContext, combine_outcomes
from ..requests.retries import decide_retry as decide_next_step
from ..telemetry.logs import get_logger
from ..transport.http1_server import Exchange
from .admission_queue import AdmissionRequest, Admitted, Refused
from .attempts import AttemptSender, Completed, FailedResponse, not_sent
from .clock import now_ms
from .job import Job
from .model import CallerRequest, Route
from .ports import CallProtocol
from .request_log import RequestLog
from .routing_state import RoutingState
from .routing_table import Accepted, Denied, choose_service

__all__ = ["Relay"]

RETURNING_MAX_WAIT_MS = 1_000.0  # Late anyway, and callers return once; see worst_load.
RETURNING_TIME_LEFT_FRACTION = 0.8  # Of the route's time; callers' own differ by 15%.
TIME_LEFT_WAIT_FRACTION = 0.4  # Of the time left; the answer takes the rest.
OBJECTIVE_WAIT_FRACTION = (
    0.45  # Part of the latency objective that may be spent on waiting.
)
TIMEOUT_MARGIN_MS = 30.0  # The final answer has to be on its way by the timeout.
SLOW_RETRY_AFTER_MS = 2_500.0  # About the longest that callers wait to return.

log = get_logger("relay")


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    beliefs : RoutingState
        Configuration, upstreams and places in force.
    protocol : CallProtocol
    request_log : RequestLog
    rng : random.Random
    """

    def __init__(
        self,
        beliefs: RoutingState,
        protocol: CallProtocol,
        request_log: RequestLog,
        rng: random.Random,
    ):
        self._beliefs = beliefs
        self._protocol = protocol
        self._attempts = AttemptSender(beliefs, protocol)
        self._log = request_log
        self._rng = rng

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        arrived_at_ms = now_ms()
        request = self._protocol.read_request(exchange.head)
        job = await self._accept(exchange, request, arrived_at_ms)
        if job is None:
            return
        self._beliefs.retry_budget(job.service).record_request()
        left_s = max(0.0, job.left_ms()) / 1000
        try:
            with trio.move_on_after(left_s) as scope:
                await self._serve(job)
            if scope.cancelled_caught:
                await self._time_out(job)
        except trio.Cancelled:
            self._log.log_end(job, "caller-left", 0)
            raise
        except CallerGone:
            self._log.log_end(job, "caller-left", 0)
            exchange.abort()

    async def _accept(
        self, exchange: Exchange, request: CallerRequest, arrived_at_ms: float
    ) -> Job | None:
        """Return the job of a request that may be served; else answer it."""
        beliefs = self._beliefs
        table = beliefs.routing_table
        if table is None:
            await self._refuse_unaccepted(exchange, request, "no configuration yet")
            return None
        if beliefs.is_stopping:
            await self._refuse_unaccepted(exchange, request, "the host is stopping")
            return None
        verdict = table.accept(request)
        if beliefs.is_configuration_stale():
            # Keys and routes may have changed since.
            await self._refuse_unaccepted(exchange, request, "configuration too old")
            return None
        match verdict:
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
        return Job(
            exchange,
            request,
            route,
            choose_service(route, self._rng),
            workspace.name if workspace is not None else None,
            priority,
            None if route.is_public else request.key,
            arrived_at_ms,
            arrived_at_ms - _waited_before_ms(request, route),
            arrived_at_ms + timeout_ms,
        )

    async def _refuse_unaccepted(
        self, exchange: Exchange, request: CallerRequest, reason: str
    ) -> None:
        self._log.log_denied(request, 503, reason)
        # Another entry host may know more; this one is not to be asked again soon.
        exchange.close_after = True
        headers = self._protocol.refusal_headers(request, 0.0)
        await exchange.respond(503, headers, b"")

    async def _serve(self, job: Job) -> None:
        """Make attempts until the caller has its answer."""
        n_sent = 0
        while True:
            placement = await self._place(job)
            if isinstance(placement, Refused):
                await self._give_up(
                    job, placement.reason, placement.retry_after_ms, None
                )
                return
            result = await self._attempt_at(job, placement)
            if isinstance(result, Completed):
                self._log.log_end(job, "answered", result.status)
                return
            unusable = result if isinstance(result, FailedResponse) else None
            failure = result.failure if isinstance(result, FailedResponse) else result
            job.outcome = combine_outcomes(job.outcome, failure.outcome)
            n_sent += not failure.is_planned
            progress = RetryContext(
                job.route.may_run_again, n_sent, job.left_ms(), job.route.max_attempts
            )
            step = decide_next_step(
                failure, progress, self._beliefs.retry_budget(job.service)
            )
            match step:
                case Retry():
                    self._log.log_retry(job, failure.reason)
                case GiveUp(reason):
                    await self._give_up(job, reason, failure.retry_after_ms, unusable)
                    return

    async def _place(self, job: Job) -> Admitted | Refused:
        """Wait for a place at an upstream."""
        beliefs, tokens = self._beliefs, job.request.estimated_answer_tokens
        if job.splitter is None and not beliefs.can_end_in_time(
            job.service, tokens, job.left_ms()
        ):
            return Refused("its answer can not end in time", SLOW_RETRY_AFTER_MS)
        objective_ms = job.route.latency_objective_ms
        on_time_until_ms = (
            job.first_asked_at_ms + OBJECTIVE_WAIT_FRACTION * objective_ms
        )
        has_returned = job.arrived_at_ms - job.first_asked_at_ms > objective_ms
        wait_ms = (
            RETURNING_MAX_WAIT_MS
            if has_returned
            else OBJECTIVE_WAIT_FRACTION * objective_ms
        )
        max_wait_ms = min(wait_ms, TIME_LEFT_WAIT_FRACTION * job.left_ms())
        # A stream that has begun is only worth something if it goes on.
        pause_objective_ms = 0.0 if job.splitter else job.route.pause_objective_ms
        return await beliefs.admit(
            job.service,
            AdmissionRequest(
                job.priority,
                on_time_until_ms,
                max_wait_ms,
                pause_objective_ms,
                job.tried,
            ),
        )

    async def _attempt_at(
        self, job: Job, place: Admitted
    ) -> Completed | FailedResponse | Failure:
        """Make one attempt and free its place."""
        beliefs = self._beliefs
        upstream = beliefs.upstreams.get(place.upstream_id)
        if upstream is None:
            beliefs.release(job.service, None)
            return not_sent("the upstream has gone")
        try:
            return await self._attempts.send(job, upstream)
        finally:
            beliefs.release(job.service, upstream)

    async def _time_out(self, job: Job) -> None:
        """Give the final answer of a request whose time is over."""
        if job.exchange.is_finished:
            return
        if job.tried:
            job.outcome = combine_outcomes(job.outcome, Outcome.UNKNOWN)
        await self._give_up(job, "the deadline has passed", 0.0, None)

    async def _give_up(
        self,
        job: Job,
        reason: str,
        retry_after_ms: float,
        unusable: FailedResponse | None,
    ) -> None:
        """Give the caller a failure as its final answer."""
        exchange = job.exchange
        if exchange.is_started:
            self._log.log_end(job, f"cut: {reason}", 0)
            exchange.abort()
            return
        if unusable is not None:
            self._log.log_end(
                job, f"upstream's failure: {reason}", unusable.head.status
            )
            await self._attempts.return_response(job, unusable.head, unusable.body)
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


def _waited_before_ms(request: CallerRequest, route: Route) -> float:
    """Return for how long the caller of a request has asked before.

    How long callers will wait differs; only who has much less time left than the route
    allows has surely come back.
    """
    left_ms = request.time_left_ms
    if left_ms is None or left_ms > RETURNING_TIME_LEFT_FRACTION * route.timeout_ms:
        return 0.0
    return route.timeout_ms - left_ms

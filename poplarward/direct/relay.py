"""Takes callers' requests to upstreams and their answers back.

One task a request, written straight down: accept it, wait for a place, send it,
return the answer, and after a failure do so again if that can do no harm.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import h11
import trio

from ..errors import CallerGone, UpstreamUnreachable
from ..protocol.outcomes import Outcome
from ..requests.retries import Failure, GiveUp, Progress, Retry, combine_outcomes
from ..requests.retries import next_step as decide_next_step
from ..telemetry.logs import get_logger
from ..transport.http1_client import SAFE_IDLE_S, Http1Connection, ResponseHead
from ..transport.http1_server import Exchange
from .beliefs import Beliefs
from .clock import elapsed_ms, now_ms
from .model import CallerRequest, Repeatability, Route
from .ports import AnswerFacts, CallProtocol, Forwarding
from .request_log import RequestLog
from .routing_table import Accepted, Denied, choose_service
from .streams import EVENT_END, EventSplitter, StreamBroken
from .upstreams import Upstream
from .waiting import Placed, Refused, WantedPlace

__all__ = ["Relay"]

MAX_ANSWER_BYTES = 16_777_216  # Plain answers are held whole; far above usual ones.
WAIT_PART = 0.45  # Part of the latency objective that may be spent on waiting.
FIRST_TRY_PART = 0.5  # Part of the timeout after which a silent upstream is given up.
TIMEOUT_LEAD_MS = 30.0  # The final answer has to be on its way by the timeout.
SLOW_RETRY_AFTER_MS = 2_500.0  # About the longest that callers wait to return.
MAX_FOREIGN_ANSWERS = 3  # Late answers to earlier requests that are read past.

log = get_logger("relay")


@dataclass
class _Job:
    """A request on its way."""

    exchange: Exchange
    request: CallerRequest
    route: Route
    service: str
    workspace: str | None
    priority: int
    key: str | None
    arrived_at_ms: float
    deadline_ms: float
    outcome: Outcome = Outcome.NOT_RUN
    tried: list[str] = field(default_factory=list)
    splitter: EventSplitter | None = None
    first_sent_ms: float | None = None
    last_sent_at_ms: float = 0.0
    longest_pause_ms: float = 0.0
    n_events: int = 0

    def left_ms(self) -> float:
        """Return the time until the final answer is due."""
        return self.deadline_ms - now_ms()


@dataclass(frozen=True, slots=True)
class _Answered:
    """The caller has the whole answer."""

    status: int


@dataclass(frozen=True, slots=True)
class _Unusable:
    """The upstream gave an answer that is better tried elsewhere.

    ``head`` and ``body`` are what the caller gets if it is not.
    """

    failure: Failure
    head: ResponseHead
    body: bytes


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration, upstreams and places in force.
    protocol : CallProtocol
    request_log : RequestLog
    rng : random.Random
    """

    def __init__(
        self,
        beliefs: Beliefs,
        protocol: CallProtocol,
        request_log: RequestLog,
        rng: random.Random,
    ):
        self._beliefs = beliefs
        self._protocol = protocol
        self._log = request_log
        self._rng = rng

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        arrived_at_ms = now_ms()
        request = self._protocol.read_request(exchange.head)
        job = await self._accept(exchange, request, arrived_at_ms)
        if job is None:
            return
        self._beliefs.retries(job.service).note_request()
        left_s = max(0.0, job.left_ms()) / 1000
        try:
            with trio.move_on_after(left_s) as scope:
                await self._serve(job)
            if scope.cancelled_caught:
                await self._time_out(job)
        except trio.Cancelled:
            self._log.ended(job, "caller-left", 0)
            raise
        except CallerGone:
            self._log.ended(job, "caller-left", 0)
            exchange.abort()

    async def _accept(
        self, exchange: Exchange, request: CallerRequest, arrived_at_ms: float
    ) -> _Job | None:
        """Return the job of a request that may be served; else answer it."""
        beliefs = self._beliefs
        table = beliefs.table
        if table is None:
            await self._refuse_unknown(exchange, request, "no configuration yet")
            return None
        if beliefs.is_stopping:
            await self._refuse_unknown(exchange, request, "the host is stopping")
            return None
        verdict = table.accept(request)
        if beliefs.is_outdated():
            # Keys and routes may have changed since.
            await self._refuse_unknown(exchange, request, "configuration too old")
            return None
        match verdict:
            case Denied(status, reason):
                self._log.denied(request, status, reason, beliefs)
                headers = self._protocol.refusal_headers(request, None)
                await exchange.respond(status, headers, b"")
                return None
            case Accepted(route, workspace, priority):
                pass
        timeout_ms = route.timeout_ms - TIMEOUT_LEAD_MS
        if request.time_left_ms is not None:
            timeout_ms = min(timeout_ms, request.time_left_ms)
        return _Job(
            exchange,
            request,
            route,
            choose_service(route, self._rng),
            workspace.name if workspace is not None else None,
            priority,
            None if route.is_public else request.key,
            arrived_at_ms,
            arrived_at_ms + timeout_ms,
        )

    async def _refuse_unknown(
        self, exchange: Exchange, request: CallerRequest, reason: str
    ) -> None:
        self._log.denied(request, 503, reason, self._beliefs)
        # Another entry host may know more; this one is not to be asked again soon.
        exchange.close_after = True
        headers = self._protocol.refusal_headers(request, 0.0)
        await exchange.respond(503, headers, b"")

    async def _serve(self, job: _Job) -> None:
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
            if isinstance(result, _Answered):
                self._log.ended(job, "answered", result.status)
                return
            unusable = result if isinstance(result, _Unusable) else None
            failure = result.failure if isinstance(result, _Unusable) else result
            job.outcome = combine_outcomes(job.outcome, failure.outcome)
            n_sent += not failure.is_planned
            progress = Progress(
                job.route.may_run_again, n_sent, job.left_ms(), job.route.max_attempts
            )
            step = decide_next_step(
                failure, progress, self._beliefs.retries(job.service)
            )
            match step:
                case Retry():
                    self._log.retried(job, failure.reason)
                case GiveUp(reason):
                    await self._give_up(job, reason, failure.retry_after_ms, unusable)
                    return

    async def _place(self, job: _Job) -> Placed | Refused:
        """Wait for a place at an upstream."""
        beliefs, tokens = self._beliefs, job.request.likely_tokens
        if job.splitter is None and not beliefs.can_end_in_time(
            job.service, tokens, job.left_ms()
        ):
            return Refused("its answer can not end in time", SLOW_RETRY_AFTER_MS)
        objective_ms = job.route.latency_objective_ms
        on_time_until_ms = job.arrived_at_ms + WAIT_PART * objective_ms
        max_wait_ms = min(WAIT_PART * objective_ms, job.left_ms())
        # A stream that has begun is only worth something if it goes on.
        pause_objective_ms = 0.0 if job.splitter else job.route.pause_objective_ms
        return await beliefs.place(
            job.service,
            WantedPlace(
                job.priority,
                on_time_until_ms,
                max_wait_ms,
                pause_objective_ms,
                job.tried,
            ),
        )

    async def _attempt_at(
        self, job: _Job, place: Placed
    ) -> _Answered | _Unusable | Failure:
        """Make one attempt and free its place."""
        beliefs = self._beliefs
        upstream = beliefs.upstreams.get(place.upstream_id)
        if upstream is None:
            beliefs.free(job.service, None)
            return _not_sent("the upstream has gone")
        try:
            return await self._attempt(job, upstream)
        finally:
            beliefs.free(job.service, upstream)

    async def _attempt(
        self, job: _Job, upstream: Upstream
    ) -> _Answered | _Unusable | Failure:
        try:
            connection = await upstream.pool.take(self._max_idle_s(job))
        except UpstreamUnreachable as error:
            upstream.note_unreachable(now_ms())
            return _not_sent(str(error))
        # The caller may have left, or the host have been frozen, meanwhile.
        await trio.lowlevel.checkpoint()
        if reason := self._reason_not_to_send(job):
            await upstream.pool.give_back_unused(connection)
            return _not_sent(reason, is_final=True)
        job.tried.append(upstream.entry.id)
        started_at_ms = now_ms()
        is_whole = False
        try:
            with trio.move_on_after(self._silence_limit_s(job)) as patience:
                head, facts = await self._exchange_heads(job, upstream, connection)
            if patience.cancelled_caught:
                upstream.note_failure()
                return Failure(Outcome.UNKNOWN, "no answer in time", 504)
            result = await self._return_answer(job, upstream, connection, head, facts)
            is_whole = True
            if isinstance(result, _Answered):
                upstream.note_success(self._latency_ms(job, started_at_ms))
            return result
        except UpstreamUnreachable as error:
            if connection.rested_s > SAFE_IDLE_S and not connection.has_answered:
                self._beliefs.note_dropped_connection(job.service, connection.rested_s)
            else:
                self._note_break(job, upstream)
            return Failure(Outcome.UNKNOWN, str(error), 502)
        except (StreamBroken, h11.ProtocolError) as error:
            upstream.note_failure()
            return Failure(Outcome.UNKNOWN, f"bad answer: {error}", 502)
        finally:
            if is_whole:
                await upstream.pool.give_back(connection)
            else:
                # Closing it has the upstream stop its work.
                await connection.close()

    def _max_idle_s(self, job: _Job) -> float:
        """Return how long a connection may have been idle that a request is sent on.

        What is sent on one that the upstream has dropped is lost. A request that may
        not run again can't be sent elsewhere then.
        """
        if job.route.may_run_again:
            return self._beliefs.max_idle_s(job.service)
        return SAFE_IDLE_S

    def _reason_not_to_send(self, job: _Job) -> str:
        """Return why a request must not reach an upstream any more, empty if it may."""
        if job.left_ms() <= 0:
            return "the deadline has passed"
        if job.key is not None and not self._beliefs.allows_key(job.key):
            return "the key was taken away"
        return ""

    def _note_break(self, job: _Job, upstream: Upstream) -> None:
        if job.first_sent_ms is None:
            upstream.note_unreachable(now_ms())
        else:
            upstream.note_failure()

    def _silence_limit_s(self, job: _Job) -> float:
        """Return how long the answer's head is waited for."""
        left_ms = job.left_ms()
        can_repeat = len(job.tried) < job.route.max_attempts
        if job.route.repeatability is Repeatability.IDEMPOTENT and can_repeat:
            return FIRST_TRY_PART * left_ms / 1000
        return left_ms / 1000

    def _latency_ms(self, job: _Job, started_at_ms: float) -> float | None:
        if job.route.repeatability is Repeatability.STREAM:
            return None
        return elapsed_ms(started_at_ms)

    async def _exchange_heads(
        self, job: _Job, upstream: Upstream, connection: Http1Connection
    ) -> tuple[ResponseHead, AnswerFacts]:
        """Send the request and return the head of the answer that belongs to it."""
        exchange, request = job.exchange, job.request
        last_id = job.splitter.last_id if job.splitter else request.last_event_id
        headers = self._protocol.forwarded_headers(
            exchange.head,
            exchange.body,
            Forwarding(
                upstream.entry.id,
                job.left_ms(),
                job.workspace,
                job.priority,
                last_id,
            ),
        )
        head = exchange.head
        await connection.send(head.method, head.target, headers, exchange.body)
        for _ in range(MAX_FOREIGN_ANSWERS):
            answer = await connection.read_head()
            facts = self._protocol.read_answer(answer)
            if facts.request_id in (None, request.id):
                return answer, facts
            log.warning(
                "relay.foreign_answer",
                request=request.id,
                answer_to=facts.request_id,
                upstream=upstream.entry.id,
            )
            await connection.read_body(MAX_ANSWER_BYTES)
            if not connection.expect_another_answer():
                break
        raise UpstreamUnreachable("answers to other requests", sent=True)

    async def _return_answer(
        self,
        job: _Job,
        upstream: Upstream,
        connection: Http1Connection,
        head: ResponseHead,
        facts: AnswerFacts,
    ) -> _Answered | _Unusable | Failure:
        is_success = 200 <= head.status < 300
        if is_success and not facts.is_genuine:
            raise UpstreamUnreachable(
                "a success without the upstream's mark", sent=True
            )
        is_stream = job.route.repeatability is Repeatability.STREAM
        if is_success and is_stream:
            await self._return_stream(job, connection, head)
            return _Answered(head.status)
        body = await connection.read_body(MAX_ANSWER_BYTES)
        if facts.is_not_run or facts.is_misdirected:
            return self._note_not_run(job, upstream, head, facts)
        if is_success:
            await self._return_whole(job, head, body)
            return _Answered(head.status)
        if head.status >= 500:
            upstream.note_failure()
            failure = Failure(Outcome.RAN, f"status {head.status}", head.status)
            return _Unusable(failure, head, body)
        await self._return_whole(job, head, body)
        return _Answered(head.status)

    def _note_not_run(
        self, job: _Job, upstream: Upstream, head: ResponseHead, facts: AnswerFacts
    ) -> Failure:
        """Return the failure of a request that the upstream says has not run."""
        if facts.is_misdirected:
            upstream.note_unreachable(now_ms())
            return Failure(Outcome.NOT_RUN, "another upstream has the address", 503)
        if facts.at_fault is not None and facts.at_fault != upstream.entry.id:
            retry_after_ms = self._beliefs.note_group_fault(job.service, facts.at_fault)
            reason = f"its group waits for {facts.at_fault}"
            return Failure(Outcome.NOT_RUN, reason, 503, retry_after_ms, is_final=True)
        upstream.note_failure()
        return Failure(Outcome.NOT_RUN, f"refused by the upstream: {head.status}", 503)

    async def _return_whole(self, job: _Job, head: ResponseHead, body: bytes) -> None:
        if job.exchange.is_started:
            raise StreamBroken("a plain answer where a stream went on")
        headers = self._protocol.returned_headers(head)
        await job.exchange.respond(head.status, headers, body)

    async def _return_stream(
        self, job: _Job, connection: Http1Connection, head: ResponseHead
    ) -> None:
        """Pass whole events on as they arrive."""
        exchange = job.exchange
        headers = self._protocol.returned_headers(head)
        if job.splitter is None:
            job.splitter = EventSplitter(job.request.last_event_id)
        else:
            job.splitter.restart()
        while (chunk := await connection.read_chunk()) is not None:
            events = job.splitter.feed(chunk)
            if not events:
                continue
            if exchange.is_started:
                self._note_pause(job)
            else:
                job.first_sent_ms = elapsed_ms(job.arrived_at_ms)
                await exchange.start(head.status, headers)
            job.last_sent_at_ms = now_ms()
            job.n_events += events.count(EVENT_END)
            await exchange.write(events)
        if not exchange.is_started:
            await exchange.start(head.status, headers)
        rest = job.splitter.end()
        if rest:
            await exchange.write(rest)
        await exchange.finish()

    def _note_pause(self, job: _Job) -> None:
        pause_ms = elapsed_ms(job.last_sent_at_ms)
        job.longest_pause_ms = max(job.longest_pause_ms, pause_ms)
        self._beliefs.note_pause(job.service, pause_ms)

    async def _time_out(self, job: _Job) -> None:
        """Give the final answer of a request whose time is over."""
        if job.exchange.is_finished:
            return
        if job.tried:
            job.outcome = combine_outcomes(job.outcome, Outcome.UNKNOWN)
        await self._give_up(job, "the deadline has passed", 0.0, None)

    async def _give_up(
        self, job: _Job, reason: str, retry_after_ms: float, unusable: _Unusable | None
    ) -> None:
        """Give the caller a failure as its final answer."""
        exchange = job.exchange
        if exchange.is_started:
            self._log.ended(job, f"cut: {reason}", 0)
            exchange.abort()
            return
        if unusable is not None:
            self._log.ended(job, f"upstream's failure: {reason}", unusable.head.status)
            await self._return_whole(job, unusable.head, unusable.body)
            return
        if job.outcome is Outcome.NOT_RUN:
            self._log.ended(job, f"refused: {reason}", 503)
            headers = self._protocol.refusal_headers(job.request, retry_after_ms)
            await exchange.respond(503, headers, b"")
            return
        status = 504 if job.left_ms() <= TIMEOUT_LEAD_MS else 502
        self._log.ended(job, f"failed: {reason}", status)
        headers = self._protocol.refusal_headers(job.request, None)
        await exchange.respond(status, headers, b"")


def _not_sent(reason: str, is_final: bool = False) -> Failure:
    """Return the failure of an attempt that no upstream has seen."""
    return Failure(Outcome.NOT_RUN, reason, 503, 0.0, is_final, is_planned=True)

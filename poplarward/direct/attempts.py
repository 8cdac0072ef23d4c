"""One attempt of a request at an upstream.

It is sent on a connection of its own, and the answer that belongs to it is returned to
the caller, or what is known of its effect to the relay.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11
import trio

from ..errors import UpstreamUnreachable
from ..protocol.outcomes import Outcome
from ..requests.retries import Failure
from ..telemetry.logs import get_logger
from ..transport.http1_client import SAFE_IDLE_S, Http1Connection, ResponseHead
from .clock import elapsed_ms, now_ms
from .job import Job
from .model import Repeatability
from .ports import CallProtocol, ForwardingContext, ResponseMetadata
from .routing_state import RoutingState
from .streams import EVENT_END, EventSplitter, StreamError
from .upstreams import Upstream

__all__ = ["AttemptSender", "Completed", "FailedResponse", "not_sent"]

MAX_RESPONSE_BYTES = 16_777_216  # Plain answers are held whole; far above usual ones.
FIRST_ATTEMPT_TIMEOUT_FRACTION = (
    0.5  # Part of the timeout after which a silent upstream is given up.
)
MAX_SKIPPED_RESPONSES = 3  # Late answers to earlier requests that are read past.

log = get_logger("attempts")


@dataclass(frozen=True, slots=True)
class Completed:
    """The caller has the whole answer."""

    status: int


@dataclass(frozen=True, slots=True)
class FailedResponse:
    """The upstream gave an answer that is better tried elsewhere.

    ``head`` and ``body`` are what the caller gets if it is not.
    """

    failure: Failure
    head: ResponseHead
    body: bytes


class AttemptSender:
    """Makes attempts.

    Parameters
    ----------
    beliefs : RoutingState
        Takes note of what each attempt says of its upstream.
    protocol : CallProtocol
    """

    def __init__(self, beliefs: RoutingState, protocol: CallProtocol):
        self._beliefs = beliefs
        self._protocol = protocol

    async def send(
        self, job: Job, upstream: Upstream
    ) -> Completed | FailedResponse | Failure:
        """Make one attempt at an upstream."""
        try:
            connection = await upstream.pool.take(self._max_idle_s(job))
        except UpstreamUnreachable as error:
            upstream.record_unreachable(now_ms())
            return not_sent(str(error))
        # The caller may have left, or the host have been frozen, meanwhile.
        await trio.lowlevel.checkpoint()
        if reason := self._reason_not_to_send(job):
            await upstream.pool.give_back_unused(connection)
            return not_sent(reason, is_final=True)
        job.tried.append(upstream.entry.id)
        started_at_ms = now_ms()
        is_whole = False
        try:
            with trio.move_on_after(self._silence_limit_s(job)) as patience:
                head, facts = await self._exchange_heads(job, upstream, connection)
            if patience.cancelled_caught:
                upstream.record_failure()
                return Failure(Outcome.UNKNOWN, "no answer in time", 504)
            result = await self._return_answer(job, upstream, connection, head, facts)
            is_whole = True
            if isinstance(result, Completed):
                upstream.record_success(self._latency_ms(job, started_at_ms))
            return result
        except UpstreamUnreachable as error:
            if connection.rested_s > SAFE_IDLE_S and not connection.has_answered:
                self._beliefs.record_dropped_connection(
                    job.service, connection.rested_s
                )
            else:
                self._note_break(job, upstream)
            return Failure(Outcome.UNKNOWN, str(error), 502)
        except (StreamError, h11.ProtocolError) as error:
            upstream.record_failure()
            return Failure(Outcome.UNKNOWN, f"bad answer: {error}", 502)
        finally:
            if is_whole:
                await upstream.pool.give_back(connection)
            else:
                # Closing it has the upstream stop its work.
                await connection.close()

    def _max_idle_s(self, job: Job) -> float:
        """Return how long a connection may have been idle that a request is sent on.

        What is sent on one that the upstream has dropped is lost. A request that may
        not run again can't be sent elsewhere then.
        """
        if job.route.may_run_again:
            return self._beliefs.max_idle_s(job.service)
        return SAFE_IDLE_S

    def _reason_not_to_send(self, job: Job) -> str:
        """Return why a request must not reach an upstream any more, empty if it may."""
        if job.left_ms() <= 0:
            return "the deadline has passed"
        if job.key is not None and not self._beliefs.allows_key(job.key):
            return "the key was taken away"
        return ""

    def _note_break(self, job: Job, upstream: Upstream) -> None:
        if job.first_sent_ms is None:
            upstream.record_unreachable(now_ms())
        else:
            upstream.record_failure()

    def _silence_limit_s(self, job: Job) -> float:
        """Return how long the answer's head is waited for."""
        left_ms = job.left_ms()
        can_repeat = len(job.tried) < job.route.max_attempts
        if job.route.repeatability is Repeatability.IDEMPOTENT and can_repeat:
            return FIRST_ATTEMPT_TIMEOUT_FRACTION * left_ms / 1000
        return left_ms / 1000

    def _latency_ms(self, job: Job, started_at_ms: float) -> float | None:
        if job.route.repeatability is Repeatability.STREAM:
            return None
        return elapsed_ms(started_at_ms)

    async def _exchange_heads(
        self, job: Job, upstream: Upstream, connection: Http1Connection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Send the request and return the head of the answer that belongs to it."""
        exchange, request = job.exchange, job.request
        last_id = job.splitter.last_id if job.splitter else request.last_event_id
        headers = self._protocol.forwarded_headers(
            exchange.head,
            exchange.body,
            ForwardingContext(
                upstream.entry.id,
                job.left_ms(),
                job.workspace,
                job.priority,
                last_id,
            ),
        )
        head = exchange.head
        await connection.send(head.method, head.target, headers, exchange.body)
        for _ in range(MAX_SKIPPED_RESPONSES):
            answer = await connection.read_head()
            facts = self._protocol.read_response(answer)
            if facts.request_id in (None, request.id):
                return answer, facts
            log.warning(
                "relay.foreign_answer",
                request=request.id,
                answer_to=facts.request_id,
                upstream=upstream.entry.id,
            )
            await connection.read_body(MAX_RESPONSE_BYTES)
            if not connection.expect_another_answer():
                break
        raise UpstreamUnreachable("answers to other requests", sent=True)

    async def _return_answer(
        self,
        job: Job,
        upstream: Upstream,
        connection: Http1Connection,
        head: ResponseHead,
        facts: ResponseMetadata,
    ) -> Completed | FailedResponse | Failure:
        is_success = 200 <= head.status < 300
        if is_success and not facts.is_stamped:
            raise UpstreamUnreachable(
                "a success without the upstream's mark", sent=True
            )
        is_stream = job.route.repeatability is Repeatability.STREAM
        if is_success and is_stream:
            await self._return_stream(job, connection, head)
            return Completed(head.status)
        body = await connection.read_body(MAX_RESPONSE_BYTES)
        if facts.is_not_run or facts.is_misdirected:
            return self._note_not_run(job, upstream, head, facts)
        if is_success:
            await self.return_response(job, head, body)
            return Completed(head.status)
        if head.status >= 500:
            upstream.record_failure()
            failure = Failure(Outcome.RAN, f"status {head.status}", head.status)
            return FailedResponse(failure, head, body)
        await self.return_response(job, head, body)
        return Completed(head.status)

    def _note_not_run(
        self, job: Job, upstream: Upstream, head: ResponseHead, facts: ResponseMetadata
    ) -> Failure:
        """Return the failure of a request that the upstream says has not run."""
        if facts.is_misdirected:
            upstream.record_unreachable(now_ms())
            return Failure(Outcome.NOT_RUN, "another upstream has the address", 503)
        if (
            facts.faulty_upstream_id is not None
            and facts.faulty_upstream_id != upstream.entry.id
        ):
            retry_after_ms = self._beliefs.record_group_fault(
                job.service, facts.faulty_upstream_id
            )
            reason = f"its group waits for {facts.faulty_upstream_id}"
            return Failure(Outcome.NOT_RUN, reason, 503, retry_after_ms, is_final=True)
        upstream.record_failure()
        return Failure(Outcome.NOT_RUN, f"refused by the upstream: {head.status}", 503)

    async def return_response(self, job: Job, head: ResponseHead, body: bytes) -> None:
        """Return an upstream's plain answer as it is."""
        if job.exchange.is_started:
            raise StreamError("a plain answer where a stream went on")
        headers = self._protocol.returned_headers(head)
        await job.exchange.respond(head.status, headers, body)

    async def _return_stream(
        self, job: Job, connection: Http1Connection, head: ResponseHead
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

    def _note_pause(self, job: Job) -> None:
        pause_ms = elapsed_ms(job.last_sent_at_ms)
        job.longest_pause_ms = max(job.longest_pause_ms, pause_ms)
        self._beliefs.record_pause(job.service, pause_ms)


def not_sent(reason: str, is_final: bool = False) -> Failure:
    """Return the failure of an attempt that no upstream has seen."""
    return Failure(Outcome.NOT_RUN, reason, 503, 0.0, is_final, is_planned=True)

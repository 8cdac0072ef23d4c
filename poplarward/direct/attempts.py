"""Sends one attempt of a request to an upstream.

Each attempt has a connection to itself. The matching response is returned to the
caller; otherwise what is known of the attempt's effect is returned to the relay.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11
import trio

from ..errors import BufferFull, StreamError, UpstreamUnreachable
from ..protocol.outcomes import Outcome
from ..requests.retries import Failure
from ..transport.event_streams import is_event_stream
from ..transport.http1_client import (
    SAFE_IDLE_S,
    BodyFraming,
    Http1Connection,
    ResponseHead,
)
from .clock import elapsed_ms, now_ms
from .crash_watch import CrashWatch
from .job import Job, ResponsePart
from .model import Repeatability
from .own_responses import MAX_RESPONSE_BYTES, read_own_head
from .ports import CallProtocol, ForwardingContext, ResponseMetadata
from .request_log import RequestLog
from .routing_state import RoutingState
from .streams import ResumableStream
from .upstreams import Upstream

__all__ = ["AttemptSender", "Completed", "FailedResponse", "not_sent"]

# Fraction of the time left after which an attempt without a response is given up, if
# the request can be retried.
FIRST_ATTEMPT_TIMEOUT_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class Completed:
    """The caller has the whole response."""

    status: int

    @property
    def outcome(self) -> Outcome:
        """What is known of the attempt's effect."""
        return Outcome.RAN


@dataclass(frozen=True, slots=True)
class FailedResponse:
    """The upstream responded with an error that another upstream may not have.

    ``head`` and ``body`` are returned to the caller if no other attempt is made.
    """

    failure: Failure
    head: ResponseHead
    body: bytes

    @property
    def outcome(self) -> Outcome:
        """What is known of the attempt's effect."""
        return self.failure.outcome


class AttemptSender:
    """Sends attempts to upstreams and returns their responses to callers.

    Parameters
    ----------
    routing_state : RoutingState
        Is told what each attempt reveals about its upstream.
    protocol : CallProtocol
    crash_watch : CrashWatch
        Recognises requests that crash upstreams.
    request_log : RequestLog
    """

    def __init__(
        self,
        routing_state: RoutingState,
        protocol: CallProtocol,
        crash_watch: CrashWatch,
        request_log: RequestLog,
    ):
        self._routing_state = routing_state
        self._protocol = protocol
        self._crash_watch = crash_watch
        self._log = request_log

    async def send(
        self, job: Job, upstream: Upstream
    ) -> Completed | FailedResponse | Failure:
        """Make one attempt at an upstream."""
        try:
            connection = await upstream.pool.acquire(self._max_idle_s(job, upstream))
        except UpstreamUnreachable as error:
            upstream.record_unreachable(now_ms())
            return not_sent(str(error))
        try:
            # The caller may have left, or the host have been suspended, meanwhile.
            await trio.lowlevel.checkpoint()
        except trio.Cancelled:
            await connection.close()
            raise
        if failure := self._reason_not_to_send(job, upstream):
            await upstream.pool.release_unused(connection)
            return failure
        job.begin_attempt(upstream.entry.id)
        result = await self._make_attempt(job, upstream, connection)
        job.end_attempt(result.outcome)
        return result

    async def _make_attempt(
        self, job: Job, upstream: Upstream, connection: Http1Connection
    ) -> Completed | FailedResponse | Failure:
        """Send the request, return the response and give the connection back."""
        is_complete = False
        try:
            with trio.move_on_after(self._head_timeout_s(job)) as timeout:
                head, metadata = await self._send_and_read_head(
                    job, upstream, connection
                )
            if timeout.cancelled_caught:
                upstream.record_failure()
                return Failure(Outcome.UNKNOWN, "no response in time", 504)
            job.reading, job.framing = ResponsePart.BODY, connection.framing
            result = await self._handle_response(
                job, upstream, connection, head, metadata
            )
            is_complete = True
            if not isinstance(result, Failure):
                self._crash_watch.record_end(job, head.status)
            if isinstance(result, Completed):
                upstream.record_success(self._latency_ms(job))
            return result
        except UpstreamUnreachable as error:
            self._log.log_disconnect(job, upstream.entry.id, connection, str(error))
            is_final = False
            if await self._crash_watch.record_disconnect(job, upstream):
                upstream.record_unreachable(now_ms())
                # Another upstream may crash, before it is known whether a part is the
                # cause. A stream that has begun would be cut, so it is resumed.
                is_final = not job.exchange.is_started and (
                    self._crash_watch.has_unproven_part(job)
                )
            elif (
                connection.idle_before_use_s > SAFE_IDLE_S
                and not connection.has_received_bytes
            ):
                self._routing_state.record_dropped_connection(
                    job.service, connection.idle_before_use_s
                )
            else:
                self._record_connection_failure(job, upstream)
            return Failure(Outcome.UNKNOWN, str(error), 502, is_final=is_final)
        except BufferFull as error:
            return Failure(Outcome.UNKNOWN, str(error), 502)
        except (StreamError, h11.ProtocolError) as error:
            upstream.record_failure()
            return Failure(Outcome.UNKNOWN, f"invalid response: {error}", 502)
        finally:
            if is_complete:
                await upstream.pool.release(connection)
            else:
                # Closing the connection makes the upstream stop its work.
                await connection.close()

    def _max_idle_s(self, job: Job, upstream: Upstream) -> float:
        """Return how long a connection may have been idle to carry the request.

        A request sent on a connection that the upstream has dropped is lost. If it may
        not run again, it can't be sent elsewhere then. A request that the upstream has
        refused needs a new connection: on the old one, that refusal may come again.
        """
        if upstream.entry.id in job.tried:
            return 0.0
        if job.route.may_run_again:
            return self._routing_state.max_idle_s(job.service)
        return SAFE_IDLE_S

    def _reason_not_to_send(self, job: Job, upstream: Upstream) -> Failure | None:
        """Return why a request must no longer be sent, None if it may."""
        if not upstream.is_available(now_ms()):
            return not_sent("the upstream wants no requests now")
        if job.left_ms() <= 0:
            return not_sent("the deadline has passed", is_final=True)
        if job.key is not None and not self._routing_state.allows_key(job.key):
            return not_sent("the key was taken away", is_final=True)
        return self._crash_watch.refusal_before_send(job)

    def _record_connection_failure(self, job: Job, upstream: Upstream) -> None:
        if job.first_sent_ms is None:
            upstream.record_unreachable(now_ms())
        else:
            upstream.record_failure()

    def _head_timeout_s(self, job: Job) -> float:
        """Return how long to wait for the head of the response."""
        left_ms = job.left_ms()
        can_retry = len(job.tried) < job.route.max_attempts
        if job.route.repeatability is Repeatability.IDEMPOTENT and can_retry:
            return FIRST_ATTEMPT_TIMEOUT_FRACTION * left_ms / 1000
        return left_ms / 1000

    def _latency_ms(self, job: Job) -> float | None:
        if job.route.repeatability is Repeatability.STREAM:
            return None
        return elapsed_ms(job.sent_at_ms)

    async def _send_and_read_head(
        self, job: Job, upstream: Upstream, connection: Http1Connection
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Send the request and return the head of the response that matches it."""
        exchange, request = job.exchange, job.request
        last_id = job.stream.last_id if job.stream else request.last_event_id
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
        response, metadata = await read_own_head(
            connection, self._protocol, upstream, request.id, job.sent_at_ms
        )
        if not metadata.is_misdirected:
            self._routing_state.upstream_limits.record_response(
                upstream.limited, metadata.limit_per_s, job.sent_at_ms, now_ms()
            )
        return response, metadata

    async def _handle_response(
        self,
        job: Job,
        upstream: Upstream,
        connection: Http1Connection,
        head: ResponseHead,
        metadata: ResponseMetadata,
    ) -> Completed | FailedResponse | Failure:
        is_success = 200 <= head.status < 300
        if is_success and not metadata.is_stamped:
            raise UpstreamUnreachable(
                "successful response of an upstream without server stamp", sent=True
            )
        if is_success and _is_stream(job, head):
            await self._return_stream(job, connection, head)
            return Completed(head.status)
        body = await connection.read_body(MAX_RESPONSE_BYTES, job.buffers)
        if metadata.is_not_run or metadata.is_misdirected:
            return self._record_not_run(job, upstream, head, metadata)
        if is_success:
            await self.return_response(job, head, body)
            return Completed(head.status)
        if head.status >= 500:
            upstream.record_failure()
            failure = Failure(Outcome.RAN, f"status {head.status}", head.status)
            return FailedResponse(failure, head, body)
        await self.return_response(job, head, body)
        return Completed(head.status)

    def _record_not_run(
        self,
        job: Job,
        upstream: Upstream,
        head: ResponseHead,
        metadata: ResponseMetadata,
    ) -> Failure:
        """Return the failure of a request that the upstream reports as not run."""
        if metadata.is_misdirected:
            upstream.record_unreachable(now_ms())
            return Failure(Outcome.NOT_RUN, "another upstream has the address", 503)
        if (
            metadata.faulty_upstream_id is not None
            and metadata.faulty_upstream_id != upstream.entry.id
        ):
            retry_after_ms = self._routing_state.record_group_fault(
                job.service, metadata.faulty_upstream_id
            )
            reason = f"its group waits for {metadata.faulty_upstream_id}"
            return Failure(Outcome.NOT_RUN, reason, 503, retry_after_ms, is_final=True)
        upstream.record_failure()
        return Failure(Outcome.NOT_RUN, f"refused by the upstream: {head.status}", 503)

    async def return_response(self, job: Job, head: ResponseHead, body: bytes) -> None:
        """Return an upstream's plain response unchanged."""
        if job.exchange.is_started:
            raise StreamError("plain response on a resumed stream")
        headers = self._protocol.returned_headers(head)
        await job.exchange.respond(head.status, headers, body)

    async def _return_stream(
        self, job: Job, connection: Http1Connection, head: ResponseHead
    ) -> None:
        """Forward whole events as they arrive.

        Raises `UpstreamUnreachable` if the stream was broken off.
        """
        exchange = job.exchange
        if exchange.is_started and head.status != exchange.status:
            raise StreamError(f"status {head.status} on a resumed stream")
        headers = self._protocol.returned_headers(head)
        if job.stream is None:
            job.stream = ResumableStream(job.request.last_event_id)
        else:
            job.stream.begin_attempt()
        job.reading = ResponsePart.EVENTS
        while (chunk := await connection.read_chunk()) is not None:
            events = job.stream.feed(chunk)
            if not events:
                continue
            if exchange.is_started:
                self._record_pause(job)
            else:
                job.first_sent_ms = elapsed_ms(job.arrived_at_ms)
                await exchange.start(head.status, headers)
            job.last_sent_at_ms = now_ms()
            await exchange.write(events)
        if not job.stream.is_whole(job.framing is not BodyFraming.CONNECTION):
            reason = f"the stream broke off, {job.stream.place.value}"
            raise UpstreamUnreachable(reason, sent=True)
        if not exchange.is_started:
            await exchange.start(head.status, headers)
        if rest := job.stream.rest:
            await exchange.write(rest)
        await exchange.finish()

    def _record_pause(self, job: Job) -> None:
        pause_ms = elapsed_ms(job.last_sent_at_ms)
        job.longest_pause_ms = max(job.longest_pause_ms, pause_ms)
        self._routing_state.record_pause(job.service, pause_ms)


def _is_stream(job: Job, head: ResponseHead) -> bool:
    """Whether a successful response is an event stream."""
    content_type = head.get(b"content-type")
    return job.route.repeatability is Repeatability.STREAM and (
        content_type is None or is_event_stream(content_type.decode("latin-1"))
    )


def not_sent(reason: str, is_final: bool = False) -> Failure:
    """Return the failure of an attempt that was not sent to any upstream."""
    return Failure(Outcome.NOT_RUN, reason, 503, 0.0, is_final, is_planned=True)

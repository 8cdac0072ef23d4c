"""Runs one attempt at a time in a slot of the upstream and forwards its answer."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

import trio

from ..errors import Refused, UpstreamUnreachable
from ..protocol.requests import End, Head, Outcome, Refusal, Submit
from ..protocol.suspects import Verdict
from .attempt_ends import (
    QUARANTINE_REASON,
    overloaded_end,
    quarantined_end,
    replay_recorded_response,
)
from .fair_queue import Demand, FairQueue
from .health import UpstreamHealth
from .in_flight import InFlightAttempt
from .kv_admission import KvMemory, KvReservation
from .payments import IdempotencyGuard, Reject, Replay
from .suspects import CrashDetector, SuspectSlot, SuspectTable
from .upstream import Upstream

__all__ = ["AttemptRunner"]


class AttemptRunner:
    """Brings attempts to the upstream, each in a slot and its key's turn.

    Parameters
    ----------
    upstream : Upstream
    n_slots : int
        Requests that the upstream runs at once.
    health : UpstreamHealth
        Is told whether the upstream takes connections.
    refused : callable
        Called when the upstream has refused a connection.
    suspects : SuspectTable
        Verdicts on requests that were on an upstream when it crashed.
    is_planned : callable
        Returns whether the upstream is being stopped on purpose.
    payments : IdempotencyGuard, optional
        Lets the calls of each idempotency key run at most once.
    """

    def __init__(
        self,
        upstream: Upstream,
        n_slots: int,
        health: UpstreamHealth,
        refused: Callable[[], Awaitable[None]],
        suspects: SuspectTable,
        is_planned: Callable[[], bool],
        payments: IdempotencyGuard | None = None,
    ):
        self._upstream = upstream
        settings = upstream.settings
        memory = KvMemory(settings.kv_limit_tokens, settings.kv_headroom_share)
        self._slots = FairQueue(n_slots, memory)
        self._health = health
        self._refused = refused
        self._suspects = suspects
        self._lane = SuspectSlot()
        self._watch = CrashDetector(suspects, is_planned)
        self._payments = payments

    async def run(self, attempt: InFlightAttempt) -> End | None:
        """Run an attempt; returns its end, None if it was stopped."""
        if self._suspects.is_empty and not attempt.submit.is_suspect:
            return await self._run_by_key(attempt)
        digest = attempt.digest()
        verdict = self._suspects.verdict(digest)
        if verdict is None and attempt.submit.is_suspect:
            # The entry host was told, and this agent not yet.
            self._suspects.suspect([digest])
            verdict = Verdict.SUSPECT
        match verdict:
            case Verdict.QUARANTINED:
                return quarantined_end(
                    attempt.submit, self._suspects.remaining_ms(digest)
                )
            case Verdict.SUSPECT:
                return await self._run_in_turn(attempt, digest)
        return await self._run_by_key(attempt)

    async def _run_in_turn(self, attempt: InFlightAttempt, digest: int) -> End | None:
        """Run a suspect when no other one does; returns its end."""
        attempt.is_suspect = True
        is_strict = self._suspects.n_crashes(digest) > 1
        async with self._lane.acquire(is_strict, attempt.cancel_scope.deadline) as turn:
            if self._suspects.verdict(digest) is Verdict.QUARANTINED:
                return quarantined_end(
                    attempt.submit, self._suspects.remaining_ms(digest)
                )
            attempt.turn = turn
            return await self._run_by_key(attempt)

    async def _run_by_key(self, attempt: InFlightAttempt) -> End | None:
        if self._payments is not None and attempt.is_keyed:
            return await self._run_once(attempt, self._payments)
        return await self._run_in_slot(attempt)

    async def _run_once(
        self, attempt: InFlightAttempt, payments: IdempotencyGuard
    ) -> End | None:
        """Run an attempt unless its key has been used; returns its end."""
        submit = attempt.submit
        match await payments.begin(submit):
            case Replay(record):
                return replay_recorded_response(attempt, record)
            case Reject(refusal, outcome, reason, retry_after_ms):
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
                payments.mark_unknown(submit)

    async def _run_in_slot(self, attempt: InFlightAttempt) -> End | None:
        try:
            return await self._run_with_slot(attempt)
        except Refused as error:
            return overloaded_end(attempt, error)

    async def _run_with_slot(self, attempt: InFlightAttempt) -> End | None:
        async with self._slots.hold(_demand(attempt.submit)) as share:
            # A slot may be handed over in the same step as the bar was answered.
            if attempt.barred:
                return None
            attempt.started = True
            attempt.started_at = trio.current_time()
            if not attempt.submit.repeatable:
                # Its outcome is worth more than the deadline.
                attempt.cancel_scope.deadline = trio.current_time() + 1e9
            return await self._forward(attempt, share)

    async def _forward(self, attempt: InFlightAttempt, share: KvReservation) -> End:
        """Forward one attempt; returns its end."""
        with self._watch.track() as number:
            try:
                end = await self._pass_on(attempt, share)
                self._watch.report_end(number)
                return end
            except UpstreamUnreachable as error:
                return await self._broke_off(attempt, number, error)

    async def _pass_on(self, attempt: InFlightAttempt, share: KvReservation) -> End:
        submit = attempt.submit
        async with self._upstream.forward(submit) as answer:
            self._health.record_success()
            head = Head(submit.request_id, answer.status, answer.headers)
            attempt.packer.head(head)
            attempt.head = head
            async for piece in answer.pieces():
                await attempt.packer.wait_for_room()
                attempt.packer.add(
                    submit.request_id, attempt.n_pieces, piece, answer.is_event_stream
                )
                attempt.n_pieces += 1
                share.grow()
                if attempt.is_keyed:
                    attempt.body.append(piece)
                if attempt.turn is not None:
                    attempt.turn.record_piece()
        if not self._suspects.is_empty:
            self._suspects.clear(attempt.digest())
        return End(submit.request_id, Outcome.RAN, attempt.n_pieces)

    async def _broke_off(
        self, attempt: InFlightAttempt, number: int, error: UpstreamUnreachable
    ) -> End:
        submit = attempt.submit
        if not error.sent:
            await self._refused()
        outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
        end = End(submit.request_id, outcome, attempt.n_pieces, f"upstream: {error}")
        if not error.broke_off:
            return end
        digest = attempt.digest()
        attempt.upstream_crashed = await self._watch.report_disconnect(number, digest)
        if not attempt.upstream_crashed:
            return end
        if self._suspects.verdict(digest) is not Verdict.QUARANTINED:
            return end
        return dataclasses.replace(
            end,
            error=QUARANTINE_REASON,
            retry_after_ms=self._suspects.remaining_ms(digest),
            refusal=Refusal.CRASHES_UPSTREAMS,
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

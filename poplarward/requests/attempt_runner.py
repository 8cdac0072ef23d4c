"""Runs each attempt in a slot of the upstream and forwards the response."""

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
    """Runs attempts at the upstream, each in a slot and after a check of its key.

    Parameters
    ----------
    upstream : Upstream
    n_slots : int
        Requests that the upstream runs at once.
    health : UpstreamHealth
        Records whether the upstream accepts connections.
    refused : callable
        Called when the upstream has refused a connection.
    suspects : SuspectTable
        Verdicts on requests that were running at an upstream when it crashed.
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
        self._on_refused_connection = refused
        self._suspects = suspects
        self._suspect_slot = SuspectSlot()
        self._crash_detector = CrashDetector(suspects, is_planned)
        self._payments = payments

    async def run(self, attempt: InFlightAttempt) -> End | None:
        """Run an attempt; returns its end, or None if it was stopped."""
        if self._suspects.is_empty and not attempt.submit.is_suspect:
            return await self._run_checking_key(attempt)
        for part in attempt.part_digests():
            if not self._may_run_part(part):
                return quarantined_end(
                    attempt.submit, self._suspects.remaining_ms(part)
                )
        digest = attempt.digest()
        verdict = self._suspects.verdict(digest)
        if verdict is None and attempt.submit.is_suspect:
            # The entry host has received the verdict before this agent.
            self._suspects.suspect([digest])
            verdict = Verdict.SUSPECT
        match verdict:
            case Verdict.QUARANTINED:
                return quarantined_end(
                    attempt.submit, self._suspects.remaining_ms(digest)
                )
            case Verdict.SUSPECT:
                return await self._run_suspect(attempt, digest)
        return await self._run_checking_key(attempt)

    def _may_run_part(self, part: int) -> bool:
        """Whether a request with a part of a prompt may run, perhaps as a trial."""
        suspects = self._suspects
        suspects.quarantine_causes(only_parts=True)
        if suspects.verdict(part) is not Verdict.QUARANTINED:
            return True
        if suspects.trial_due_s(part) is None:
            return False
        suspects.record_trial(part)
        return True

    async def _run_suspect(self, attempt: InFlightAttempt, digest: int) -> End | None:
        """Run a suspect in the slot that suspects share; returns its end."""
        attempt.is_suspect = True
        is_strict = self._suspects.n_crashes(digest) > 1
        async with self._suspect_slot.acquire(
            is_strict, attempt.cancel_scope.deadline
        ) as hold:
            if self._suspects.verdict(digest) is Verdict.QUARANTINED:
                return quarantined_end(
                    attempt.submit, self._suspects.remaining_ms(digest)
                )
            attempt.suspect_slot = hold
            return await self._run_checking_key(attempt)

    async def _run_checking_key(self, attempt: InFlightAttempt) -> End | None:
        if self._payments is not None and attempt.is_keyed:
            return await self._run_once(attempt, self._payments)
        return await self._run_or_refuse(attempt)

    async def _run_once(
        self, attempt: InFlightAttempt, payments: IdempotencyGuard
    ) -> End | None:
        """Run an attempt unless its idempotency key was used; returns its end."""
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
            end = await self._run_or_refuse(attempt)
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

    async def _run_or_refuse(self, attempt: InFlightAttempt) -> End | None:
        try:
            return await self._run_in_slot(attempt)
        except Refused as error:
            return overloaded_end(attempt, error)

    async def _run_in_slot(self, attempt: InFlightAttempt) -> End | None:
        async with self._slots.hold(_to_demand(attempt.submit)) as reservation:
            # The slot may be granted in the same scheduler step as the reply to
            # `BlockAttempt`.
            if attempt.barred:
                return None
            attempt.started = True
            attempt.started_at = trio.current_time()
            if not attempt.submit.repeatable:
                # Its outcome matters more than its deadline, so it runs to its end.
                attempt.cancel_scope.deadline = trio.current_time() + 1e9
            return await self._forward(attempt, reservation)

    async def _forward(
        self, attempt: InFlightAttempt, reservation: KvReservation
    ) -> End:
        """Run an attempt at the upstream; returns its end."""
        with self._crash_detector.track() as run_number:
            try:
                end = await self._relay_response(attempt, reservation)
                self._crash_detector.report_end(run_number)
                return end
            except UpstreamUnreachable as error:
                return await self._handle_unreachable(attempt, run_number, error)

    async def _relay_response(
        self, attempt: InFlightAttempt, reservation: KvReservation
    ) -> End:
        submit = attempt.submit
        self._suspects.history.record_send(attempt.part_digests())
        async with self._upstream.forward(submit) as response:
            self._health.record_success()
            head = Head(submit.request_id, response.status, response.headers)
            attempt.batcher.add_head(head)
            attempt.head = head
            async for piece in response.pieces():
                await attempt.batcher.wait_for_room()
                attempt.batcher.add_piece(
                    submit.request_id, attempt.n_pieces, piece, response.is_event_stream
                )
                attempt.n_pieces += 1
                reservation.grow()
                if attempt.is_keyed:
                    attempt.body.append(piece)
                if attempt.suspect_slot is not None:
                    attempt.suspect_slot.record_piece()
        if 200 <= attempt.head.status < 300:
            self._clear(attempt)
        return End(submit.request_id, Outcome.RAN, attempt.n_pieces)

    def _clear(self, attempt: InFlightAttempt) -> None:
        """Clear a request that was answered, and the parts of its prompt."""
        suspects, parts = self._suspects, attempt.part_digests()
        suspects.history.record_run(parts)
        if not suspects.is_empty:
            for digest in (attempt.digest(), *parts):
                suspects.clear(digest)

    async def _handle_unreachable(
        self, attempt: InFlightAttempt, run_number: int, error: UpstreamUnreachable
    ) -> End:
        submit = attempt.submit
        if not error.sent:
            await self._on_refused_connection()
        outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
        end = End(submit.request_id, outcome, attempt.n_pieces, f"upstream: {error}")
        if not error.broke_off:
            return end
        digest = attempt.digest()
        attempt.upstream_crashed = await self._crash_detector.report_disconnect(
            run_number, digest, attempt.part_digests()
        )
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


def _to_demand(submit: Submit) -> Demand:
    return Demand(
        submit.priority_class,
        submit.workspace,
        submit.share,
        max(1, submit.n_tokens),
        submit.deadline_ms,
        # The received part of a resumed response occupies the KV cache like a prompt.
        submit.n_prompt_tokens + submit.n_pieces_received,
    )

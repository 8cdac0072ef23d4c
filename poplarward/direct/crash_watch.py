"""Recognises requests and parts of prompts that crash upstreams.

A connection that breaks under a request does not tell whether the upstream has crashed
or only this connection was lost, so the host connects again: only an upstream that
refuses has crashed. Each host sees its own requests alone and sends what it saw to the
others; see `poplarward.requests.suspects`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import trio

from ..errors import UpstreamUnreachable
from ..protocol.outcomes import Outcome
from ..protocol.verdicts import Verdict
from ..requests.retries import Failure
from ..requests.suspects import SuspectTable, crash_id
from ..telemetry.logs import get_logger
from .clock import now_ms
from .job import Job
from .upstreams import Upstream

__all__ = ["CrashWatch"]

# A process that ends closes its connections and its listener within this time.
PROBE_DELAY_MS = 20.0
PROBE_TIMEOUT_MS = 100.0
# Hosts take turns with a trial, as requests for it may not reach all of them.
TRIAL_TURN_S = 2.0
TRIAL_TURN_MARGIN_S = 0.5  # Heartbeats arrive within this time.

log = get_logger("suspects")


class CrashWatch:
    """Records under which requests upstreams crash, and which of them to refuse.

    A request is held to account as a whole and by each shared part of its prompt.

    Parameters
    ----------
    suspects : SuspectTable
        Verdicts, shared with the other entry hosts.
    is_chosen : callable
        Returns whether this host, of all entry hosts, is chosen for a key.
    """

    def __init__(
        self,
        suspects: SuspectTable,
        is_chosen: Callable[[str], bool] = lambda key: True,
    ):
        self._suspects = suspects
        self._is_chosen = is_chosen
        self._scopes: dict[int, tuple[Job, trio.CancelScope]] = {}
        suspects.on_quarantine = self._cancel_quarantined

    @contextmanager
    def guard(self, job: Job) -> Iterator[trio.CancelScope]:
        """Cancel the block if the request is quarantined before its response starts."""
        with trio.CancelScope() as scope:
            self._scopes[id(job)] = job, scope
            try:
                yield scope
            finally:
                del self._scopes[id(job)]

    def refusal(self, job: Job) -> Failure | None:
        """Return the refusal of a quarantined request; None if it may be sent."""
        causes = self._causes(job)
        if not causes or self._may_try(job, causes):
            return None
        return self.refuse(job, causes)

    def refusal_before_send(self, job: Job) -> Failure | None:
        """Return the same right before a request is sent, which may begin a trial."""
        causes = self._causes(job)
        if causes and not self._may_try(job, causes):
            return self.refuse(job, causes)
        self._suspects.history.record_send(job.part_digests)
        if causes:
            self._begin_trial(job, causes)
        return None

    def refuse(self, job: Job, causes: Sequence[int] = ()) -> Failure:
        """Return the refusal of a request that is quarantined, or was just now."""
        cause = next(iter(causes or self._causes(job)), job.digest)
        left_ms = self._suspects.remaining_ms(cause)
        log.info(
            "suspect.refused",
            request=job.request.id,
            digest=f"{cause:016x}",
            part=job.part_digests.get(cause),
            path=job.request.path,
            workspace=job.workspace,
            n_crashes=self._suspects.n_crashes(cause),
            left_ms=left_ms,
        )
        reason = "it crashes upstreams"
        return Failure(Outcome.NOT_RUN, reason, 503, left_ms, is_final=True)

    def record_end(self, job: Job, status: int) -> None:
        """Record that an upstream has answered a request in order.

        An error proves nothing, as an upstream may crash only once it begins to write
        the answer that was asked for.
        """
        if not 200 <= status < 300:
            return
        suspects = self._suspects
        suspects.history.record_run(job.part_digests)
        if suspects.is_empty:
            return
        for digest in (job.digest, *job.part_digests):
            if suspects.verdict(digest) in (None, Verdict.CLEARED):
                continue
            log.info(
                "suspect.cleared",
                request=job.request.id,
                digest=f"{digest:016x}",
                part=job.part_digests.get(digest),
                status=status,
            )
            suspects.clear(digest)

    async def record_disconnect(self, job: Job, upstream: Upstream) -> bool:
        """Record a connection that broke under a request; returns whether it crashed.

        On return, the verdict that follows is in the table.
        """
        # An upstream that is leaving ends without a fault.
        if not upstream.accepts_requests(now_ms()):
            return False
        with trio.CancelScope(shield=True):
            if not await _refuses_connections(upstream):
                return False
        crash = crash_id(upstream.entry.id, upstream.entry.started_at_ms)
        log.warning(
            "upstream.crashed",
            upstream=upstream.entry.id,
            crash=f"{crash:08x}",
            request=job.request.id,
            digest=f"{job.digest:016x}",
            parts=",".join(job.request.shared_parts) or None,
        )
        self._suspects.record_crash(job.digest, crash)
        for digest in job.part_digests:
            self._suspects.record_crash(digest, crash, is_part=True)
        return True

    def has_unproven_part(self, job: Job) -> bool:
        """Whether a part of a request's prompt was at a crash and has never run."""
        return any(map(self._suspects.is_unproven, job.part_digests))

    def _causes(self, job: Job) -> list[int]:
        """Return what of a request is quarantined, parts of its prompt first."""
        suspects = self._suspects
        if suspects.is_empty:
            return []
        suspects.quarantine_causes()
        return [
            digest
            for digest in (*job.part_digests, job.digest)
            if suspects.verdict(digest) is Verdict.QUARANTINED
        ]

    def _may_try(self, job: Job, causes: list[int]) -> bool:
        """Whether a quarantined request may be sent as a trial, by this host."""
        suspects = self._suspects
        if self.has_unproven_part(job) or suspects.is_unproven(job.digest):
            return False  # If it crashed, that would not tell what the cause is.
        for cause in causes:
            due_s = suspects.trial_due_s(cause)
            if due_s is None:
                return False
            turn, since_s = divmod(due_s, TRIAL_TURN_S)
            if since_s < TRIAL_TURN_MARGIN_S:
                return False  # Of another host's turn, as it may see it.
            key = f"{cause:016x}/{suspects.n_trials(cause)}/{int(turn)}"
            if not self._is_chosen(key):
                return False
        return True

    def _begin_trial(self, job: Job, causes: Sequence[int]) -> None:
        job.is_trial = True
        for cause in causes:
            self._suspects.record_trial(cause)
        log.info(
            "suspect.tried",
            request=job.request.id,
            digest=f"{causes[0]:016x}",
            part=job.part_digests.get(causes[0]),
            n_trials=self._suspects.n_trials(causes[0]),
        )

    def _cancel_quarantined(self, digest: int) -> None:
        for job, scope in self._scopes.values():
            is_quarantined = digest in job.part_digests or digest == job.digest
            if is_quarantined and not job.exchange.is_started and not job.is_trial:
                scope.cancel()


async def _refuses_connections(upstream: Upstream) -> bool:
    """Whether an upstream refuses connections; False if it can't be told in time."""
    for _ in range(2):
        try:
            with trio.fail_after(PROBE_TIMEOUT_MS / 1000):
                connection = await upstream.pool.acquire()
        except trio.TooSlowError:
            return False
        except UpstreamUnreachable as error:
            match error.__cause__:
                case ConnectionRefusedError():
                    return True
                case ConnectionResetError():
                    # The listener was closed meanwhile, or is short of connections.
                    await trio.sleep(PROBE_DELAY_MS / 1000)
                    continue
                case _:
                    return False
        await trio.sleep(PROBE_DELAY_MS / 1000)
        if connection.is_open():
            await upstream.pool.release_unused(connection)
            return False
        await connection.close()
    return False

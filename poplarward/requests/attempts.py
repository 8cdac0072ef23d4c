"""Runs a caller's request at upstreams, retried while safe, and relays the response."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import trio

from ..errors import PeerUnreachable
from ..protocol import Connection, Peers, RequestId
from ..protocol.reports import UpstreamKind
from ..protocol.requests import Outcome, Submit
from ..protocol.suspects import Verdict
from ..telemetry import get_logger
from ..transport import Responder
from .attempt_ends import QUARANTINE_REASON
from .caller import CallerRequest
from .key_client import KeyClient
from .payments import parse_issued_key, rank_owners
from .progress import RequestProgress
from .relay import Relay
from .responses import ResponseWriter
from .retries import (
    RETRY_AFTER_MS,
    Failure,
    GiveUp,
    RequestRetryBudget,
    combine_outcomes,
    decide_retry,
)
from .routing import AgentView, Router
from .supervision import AttemptSupervisor
from .suspects import SuspectGossip, SuspectTable

__all__ = ["AttemptLoop"]

RESUME_TIMEOUT_MS = 10_000.0
RESUME_POLL_MS = 100.0
SPARE_CAPACITY_TIMEOUT_MS = 10_000.0
SPARE_CAPACITY_POLL_MS = 100.0

ISSUER_UNREACHABLE = Failure(
    Outcome.UNKNOWN,
    "the agent that issued the key is not reachable; an earlier request with the key "
    "may have run",
    409,
    RETRY_AFTER_MS,
    is_final=True,
)

log = get_logger("attempts")


class AttemptLoop:
    """Runs the attempts of requests, from the choice of an agent to the response's end.

    Attributes
    ----------
    n_attempts : int
        Attempts made since the start.
    keys : KeyClient
        Requests idempotency keys for callers.
    suspects : SuspectTable
        Verdicts on requests that were running at an upstream when it crashed.

    Parameters
    ----------
    peers, relay, router
        The entry host's connections, its attempts in flight and its choice of agents.
    new_budget : callable, optional
        Returns the retry budget of one model group or plain service.
    suspects : SuspectTable, optional
        Initial value of the attribute; a new table by default.
    """

    def __init__(
        self,
        peers: Peers,
        relay: Relay,
        router: Router,
        new_budget: Callable[[], RequestRetryBudget] = RequestRetryBudget,
        suspects: SuspectTable | None = None,
    ):
        self.n_attempts = 0
        self.keys = KeyClient(peers, router)
        self.suspects = suspects or SuspectTable()
        self._gossip = SuspectGossip(peers, self.suspects)
        self._peers = peers
        self._relay = relay
        self._supervisor = AttemptSupervisor(relay)
        self._router = router
        self._budgets: defaultdict[str, RequestRetryBudget] = defaultdict(new_budget)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to exchange suspects with other processes."""
        nursery.start_soon(self._gossip.run)

    async def run(self, request: CallerRequest, responder: Responder) -> None:
        """Run a request and send its response, also if all attempts fail."""
        budget = self._budgets[request.upstream]
        budget.record_request()
        progress = RequestProgress(request, ResponseWriter(responder))
        last = Failure(
            Outcome.NOT_RUN,
            f"no upstream of {request.upstream} is live",
            503,
            RETRY_AFTER_MS,
        )
        while True:
            verdict = await self._wait_for_verdict(progress)
            if verdict is Verdict.QUARANTINED:
                last = self._refuse_quarantined(progress)
                break
            agent = await self._next_agent(progress, verdict is Verdict.SUSPECT, last)
            if agent is None:
                last = self._failure_without_agent(progress, last)
                break
            failure = await self._attempt(agent, progress)
            if failure is None:
                return
            last = failure
            progress.outcome = combine_outcomes(progress.outcome, failure.outcome)
            progress.n_planned += failure.is_planned
            step = decide_retry(failure, progress.retry_context(), budget)
            log.info(
                "attempt.failed",
                agent=agent.identity.name,
                outcome=failure.outcome.value,
                reason=failure.reason,
                step=type(step).__name__,
            )
            if isinstance(step, GiveUp):
                last = failure._replace(reason=step.reason)
                break
            if failure.outcome is not Outcome.RAN:
                progress.excluded.add(agent.identity)
        await self._report_failure(progress, last)

    async def _wait_for_verdict(self, progress: RequestProgress) -> Verdict | None:
        """Return the verdict on a request, for a suspect after a wait for capacity."""
        if self._verdict(progress) is Verdict.SUSPECT:
            await self._wait_for_spare_capacity(progress)
        return self._verdict(progress)

    async def _next_agent(
        self, progress: RequestProgress, is_suspect: bool, last: Failure
    ) -> AgentView | None:
        agent = self._choose_agent(progress, is_suspect)
        if agent is None and last.is_planned:
            agent = await self._wait_for_resuming_agent(progress, is_suspect)
        return agent

    def _failure_without_agent(
        self, progress: RequestProgress, last: Failure
    ) -> Failure:
        """Return the failure to report when there is no agent to send to."""
        request = progress.request
        if request.is_keyed and parse_issued_key(request.idempotency_key):
            progress.outcome = Outcome.UNKNOWN
            return ISSUER_UNREACHABLE
        return last

    async def _wait_for_resuming_agent(
        self, progress: RequestProgress, is_suspect: bool
    ) -> AgentView | None:
        """Wait for an agent that can resume a partly delivered response."""
        agent = None
        with trio.move_on_after(min(RESUME_TIMEOUT_MS, progress.remaining_ms) / 1000):
            while agent is None and progress.response.is_started:
                await trio.sleep(RESUME_POLL_MS / 1000)
                agent = self._choose_agent(progress, is_suspect)
        return agent

    def _verdict(self, progress: RequestProgress) -> Verdict | None:
        """Return the verdict on a request, or on a quarantined part of its prompt."""
        if self.suspects.is_empty:
            return None
        part = self._quarantined_part(progress)
        if part is None:
            return self.suspects.verdict(progress.digest)
        # The agent that all entry hosts choose for it decides on the trial.
        is_due = self.suspects.trial_due_s(part) is not None
        return Verdict.SUSPECT if is_due else Verdict.QUARANTINED

    def _quarantined_part(self, progress: RequestProgress) -> int | None:
        for part in progress.part_digests:
            if self.suspects.verdict(part) is Verdict.QUARANTINED:
                return part
        return None

    async def _wait_for_spare_capacity(self, progress: RequestProgress) -> None:
        """Wait, with a time-out, until the pool tolerates the loss of an agent."""
        timeout_at = min(
            progress.expires_at, trio.current_time() + SPARE_CAPACITY_TIMEOUT_MS / 1000
        )
        while trio.current_time() < timeout_at:
            if self._router.tolerates_agent_loss(progress.request.upstream):
                return
            await trio.sleep(SPARE_CAPACITY_POLL_MS / 1000)

    def _refuse_quarantined(self, progress: RequestProgress) -> Failure:
        """Return the failure of a quarantined request, which crashes upstreams."""
        cause = self._quarantined_part(progress) or progress.digest
        log.info("request.refused", digest=f"{cause:016x}")
        # An earlier attempt of a request that is not repeatable may have run before
        # the upstream crashed.
        outcome = Outcome.NOT_RUN if progress.request.repeatable else Outcome.UNKNOWN
        progress.outcome = combine_outcomes(progress.outcome, outcome)
        retry_after_ms = self.suspects.remaining_ms(cause)
        return Failure(outcome, QUARANTINE_REASON, 422, retry_after_ms, is_final=True)

    def _choose_agent(
        self, progress: RequestProgress, is_suspect: bool
    ) -> AgentView | None:
        """Return the agent for the next attempt, or None."""
        request = progress.request
        excluded = progress.excluded.names(self._router, request.upstream)
        if not request.is_keyed:
            if is_suspect:
                digest = self._quarantined_part(progress) or progress.digest
                return self._router.choose_for_suspect(
                    request.upstream, digest, excluded
                )
            return self._router.choose(request, excluded)
        live = {
            view.identity.name: view
            for view in self._router.live_agents(request.upstream, excluded)
        }
        owners = rank_owners(
            request.upstream,
            request.workspace,
            request.idempotency_key,
            [view.identity for view in live.values()],
        )
        return live[owners[0]] if owners else None

    async def _report_failure(self, progress: RequestProgress, last: Failure) -> None:
        """Report the failure with the outcome of all attempts and the retry time."""
        outcome = progress.outcome
        may_retry = progress.request.repeatable or outcome is Outcome.NOT_RUN
        retry_after_ms = last.retry_after_ms
        if may_retry and not last.is_final:
            retry_after_ms = retry_after_ms or RETRY_AFTER_MS
        await progress.response.fail(
            last._replace(outcome=outcome, retry_after_ms=retry_after_ms)
        )

    async def _attempt(
        self, agent: AgentView, progress: RequestProgress
    ) -> Failure | None:
        """Make one attempt; returns its failure, or None if it succeeded."""
        progress.n_attempts += 1
        self.n_attempts += 1
        progress.response.begin_attempt(
            agent.report.upstream_kind is UpstreamKind.ENGINE
        )
        request_id = self._relay.new_request_id()
        self._router.begin(agent, request_id)
        try:
            connection = await self._connect(agent, progress)
            submit = self._build_submit(progress, request_id)
            stream = await self._relay.submit(connection, submit)
            return await self._supervisor.supervise(connection, stream, progress)
        except PeerUnreachable as error:
            reason = f"agent: {error}"
            return Failure(Outcome.NOT_RUN, reason, 503, RETRY_AFTER_MS)
        finally:
            self._router.end(agent, request_id)

    async def _connect(self, agent: AgentView, progress: RequestProgress) -> Connection:
        name = agent.identity.name
        with trio.move_on_at(progress.expires_at):
            connection = await self._peers.connection(agent.address)
            if connection.identity.name != name:
                raise PeerUnreachable(f"{name} is not at {agent.address} any more")
            return connection
        raise PeerUnreachable(f"no connection to {name} before the deadline")

    def _build_submit(self, progress: RequestProgress, request_id: RequestId) -> Submit:
        request = progress.request
        return Submit(
            request_id=request_id,
            workspace=request.workspace,
            priority_class=request.priority_class,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=int(progress.remaining_ms),
            repeatable=request.repeatable,
            idempotency_key=request.idempotency_key,
            n_pieces_received=progress.response.n_pieces,
            share=request.share,
            n_tokens=request.n_tokens,
            n_prompt_tokens=request.n_prompt_tokens,
            is_suspect=self._verdict(progress) is Verdict.SUSPECT,
            pool=request.upstream,
            prompt_prefix=request.prefix_digest,
        )

"""Tracks the progress of a caller's request over all of its attempts."""

from __future__ import annotations

from functools import cached_property

import trio

from ..protocol import ProcessIdentity
from ..protocol.requests import Outcome
from .caller import CallerRequest
from .responses import ResponseWriter
from .retries import RetryContext
from .routing import Router
from .suspects import part_digest, request_digest

__all__ = ["ExcludedAgents", "RequestProgress"]


class ExcludedAgents:
    """Agents that a request is not sent to again unless they have restarted."""

    def __init__(self) -> None:
        self._start_ids: dict[str, int] = {}

    def add(self, agent: ProcessIdentity) -> None:
        """Exclude an agent until it restarts."""
        self._start_ids[agent.name] = agent.start_id

    def names(self, router: Router, upstream: str) -> frozenset[str]:
        """Return the names of the excluded agents that have not restarted since."""
        if not self._start_ids:
            return frozenset()
        live = router.live_agents(upstream)
        current = {view.identity.name: view.identity.start_id for view in live}
        return frozenset(
            name
            for name, start_id in self._start_ids.items()
            if current.get(name, start_id) == start_id
        )


class RequestProgress:
    """A request in flight, over all of its attempts."""

    def __init__(self, request: CallerRequest, response: ResponseWriter):
        self.request = request
        self.response = response
        self.expires_at = trio.current_time() + request.deadline_ms / 1000
        self.n_attempts = 0
        self.n_planned = 0
        self.outcome = Outcome.NOT_RUN
        self.excluded = ExcludedAgents()
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Digest that is the same in all attempts and through all entry hosts."""
        if self._digest is None:
            request = self.request
            self._digest = request_digest(
                request.upstream,
                request.workspace,
                request.method,
                request.path,
                request.body,
            )
        return self._digest

    @cached_property
    def part_digests(self) -> tuple[int, ...]:
        """Digests of the parts of the prompt that other requests may share."""
        request = self.request
        if not request.prefix_digest:
            return ()
        return (part_digest(request.workspace, request.prefix_digest),)

    @property
    def remaining_ms(self) -> float:
        """Time left until the request's deadline."""
        return max(0.0, (self.expires_at - trio.current_time()) * 1000)

    def retry_context(self) -> RetryContext:
        """Return what the decision on another attempt depends on."""
        may_repeat = self.request.repeatable or self.request.is_keyed
        n_unplanned = self.n_attempts - self.n_planned
        return RetryContext(may_repeat, n_unplanned, self.remaining_ms)

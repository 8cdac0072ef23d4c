"""A caller's request on its way, over all of its attempts."""

from __future__ import annotations

import trio

from ..protocol.requests import Outcome
from .answers import Answer
from .caller import CallerRequest
from .retries import Progress
from .suspects import request_digest

__all__ = ["RequestProgress"]


class RequestProgress:
    """A request on its way, over all of its attempts."""

    def __init__(self, request: CallerRequest, answer: Answer):
        self.request = request
        self.answer = answer
        self.expires_at = trio.current_time() + request.deadline_ms / 1000
        self.n_attempts = 0
        self.outcome = Outcome.NOT_RUN
        self.excluded: set[str] = set()
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """Names the request in all of its attempts, also through other entry hosts."""
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

    @property
    def left_ms(self) -> float:
        """Time until the request's deadline."""
        return max(0.0, (self.expires_at - trio.current_time()) * 1000)

    def seen(self) -> Progress:
        """Return what decides on another attempt."""
        may_repeat = self.request.repeatable or self.request.is_keyed
        return Progress(may_repeat, self.n_attempts, self.left_ms)

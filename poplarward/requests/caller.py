"""A caller's validated request."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import PoplarwardError
from ..protocol.requests import PriorityClass

__all__ = ["CallerError", "CallerRequest"]


class CallerError(PoplarwardError):
    """A request that can not be served as sent; carries the HTTP status to send."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class CallerRequest(NamedTuple):
    """A caller's validated request with its target and priority class.

    Attributes
    ----------
    upstream : str
        Pool of the upstreams that may serve it.
    """

    workspace: str
    upstream: str
    priority_class: PriorityClass
    deadline_ms: int
    repeatable: bool
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotency_key: str
    prefix_digest: str = ""
    share: float = 1.0
    n_tokens: int = 1
    n_prompt_tokens: int = 0

    @property
    def is_keyed(self) -> bool:
        """Whether an idempotency key decides if it may run."""
        return bool(self.idempotency_key) and not self.repeatable

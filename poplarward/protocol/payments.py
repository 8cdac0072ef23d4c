"""Messages for issuing idempotency keys."""

from __future__ import annotations

from .codec import message

__all__ = ["IssueKey", "KeyIssued"]


@message(302)
class IssueKey:
    """Asks an agent of a plain service for a new idempotency key."""


@message(303)
class KeyIssued:
    """Reply to `IssueKey`; only this start of the agent may run the key's call."""

    key: str

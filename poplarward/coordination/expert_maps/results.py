"""Results of attempts to change a map."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ...protocol.expert_maps import Decision, MapId
from ...transport import Address

__all__ = [
    "OUTCOME_BY_DECISION",
    "ChangeOutcome",
    "ChangeResult",
    "GroupHost",
    "not_started",
]


class GroupHost(NamedTuple):
    """A host of the group, as known from membership."""

    name: str
    address: Address


class ChangeOutcome(StrEnum):
    """Outcome of an attempt to change a map."""

    COMMITTED = "committed"
    ABORTED = "aborted"
    NOT_STARTED = "not-started"
    UNSETTLED = "unsettled"


OUTCOME_BY_DECISION = {
    Decision.COMMIT: ChangeOutcome.COMMITTED,
    Decision.ABORT: ChangeOutcome.ABORTED,
}


class ChangeResult(NamedTuple):
    """Outcome of an attempt, with its reason if it was not committed."""

    outcome: ChangeOutcome
    map_id: MapId | None = None
    reason: str = ""


def not_started(reason: str) -> ChangeResult:
    """Return the result of an attempt that sent no request to any host."""
    return ChangeResult(ChangeOutcome.NOT_STARTED, None, reason)

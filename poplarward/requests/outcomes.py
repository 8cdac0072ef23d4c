"""Remembers the outcome of each attempt at an agent, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from ..protocol import RequestId
from ..protocol.requests import Outcome

__all__ = ["OutcomeHistory"]

MAX_OUTCOMES = 100_000


class OutcomeHistory:
    """Outcomes of attempts that have ended or were barred.

    The oldest outcomes are forgotten. For each start of an entry host the greatest
    sequence number forgotten is kept, and an attempt at or below it never starts,
    so a promise that an attempt never starts outlives its outcome.

    Parameters
    ----------
    n_outcomes : int
        Outcomes that are remembered.

    Examples
    --------
    >>> record = OutcomeHistory()
    >>> late = RequestId("entry-1", 11, 7)
    >>> record.bar(late)
    <Outcome.NOT_RUN: 'not-run'>
    >>> record.may_start(late)
    False
    """

    def __init__(self, n_outcomes: int = MAX_OUTCOMES):
        self._n_outcomes = n_outcomes
        self._outcomes: OrderedDict[RequestId, Outcome] = OrderedDict()
        self._forgotten: dict[tuple[str, int], int] = {}

    def may_start(self, request_id: RequestId) -> bool:
        """Tell whether an attempt has neither ended nor been barred."""
        return request_id not in self._outcomes and not self._is_forgotten(request_id)

    def get(self, request_id: RequestId) -> Outcome:
        """Return an outcome; ``UNKNOWN`` if it is not remembered."""
        return self._outcomes.get(request_id, Outcome.UNKNOWN)

    def put(self, request_id: RequestId, outcome: Outcome) -> None:
        """Remember how an attempt ended."""
        self._outcomes[request_id] = outcome
        if len(self._outcomes) > self._n_outcomes:
            oldest, _ = self._outcomes.popitem(last=False)
            start = (oldest.entry, oldest.start_id)
            self._forgotten[start] = max(
                oldest.sequence, self._forgotten.get(start, oldest.sequence)
            )

    def bar(self, request_id: RequestId) -> Outcome:
        """Return an attempt's outcome; one never seen can not start from now on."""
        if self.may_start(request_id):
            self.put(request_id, Outcome.NOT_RUN)
            return Outcome.NOT_RUN
        return self.get(request_id)

    def _is_forgotten(self, request_id: RequestId) -> bool:
        floor = self._forgotten.get((request_id.entry, request_id.start_id), -1)
        return request_id.sequence <= floor

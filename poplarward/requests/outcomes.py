"""Keeps the outcome of each attempt at an agent, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from ..protocol import RequestId
from ..protocol.requests import Outcome

__all__ = ["OutcomeHistory"]

MAX_OUTCOMES = 100_000


class OutcomeHistory:
    """Outcomes of attempts that have ended or were barred.

    The oldest outcomes are evicted. For each start of an entry host the greatest
    evicted sequence number is kept, and an attempt at or below it never starts. A
    barred attempt therefore never starts, also after its outcome was evicted.

    Parameters
    ----------
    n_outcomes : int
        Upper limit of the outcomes kept.

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
        self._evicted_sequences: dict[tuple[str, int], int] = {}

    def may_start(self, request_id: RequestId) -> bool:
        """Return whether an attempt has neither ended nor been barred."""
        return request_id not in self._outcomes and not self._is_evicted(request_id)

    def get(self, request_id: RequestId) -> Outcome:
        """Return the outcome of an attempt; ``UNKNOWN`` if it is not kept."""
        return self._outcomes.get(request_id, Outcome.UNKNOWN)

    def put(self, request_id: RequestId, outcome: Outcome) -> None:
        """Store the outcome of an attempt."""
        self._outcomes[request_id] = outcome
        if len(self._outcomes) > self._n_outcomes:
            oldest, _ = self._outcomes.popitem(last=False)
            start = (oldest.entry, oldest.start_id)
            self._evicted_sequences[start] = max(
                oldest.sequence, self._evicted_sequences.get(start, oldest.sequence)
            )

    def bar(self, request_id: RequestId) -> Outcome:
        """Return an attempt's outcome; an attempt not seen so far will never start."""
        if self.may_start(request_id):
            self.put(request_id, Outcome.NOT_RUN)
            return Outcome.NOT_RUN
        return self.get(request_id)

    def _is_evicted(self, request_id: RequestId) -> bool:
        evicted_sequence = self._evicted_sequences.get(
            (request_id.entry, request_id.start_id), -1
        )
        return request_id.sequence <= evicted_sequence

"""Remembers how often parts of prompts were sent and which of them ran in order."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import trio

__all__ = ["PartHistory"]

MAX_PARTS = 2_048
RUN_TTL_S = 600.0


class _PartRecord:
    """What is known of one part."""

    __slots__ = ("n_requests", "ran_at")

    def __init__(self) -> None:
        self.n_requests = 0
        self.ran_at = float("-inf")


class PartHistory:
    """The parts of prompts that this process has sent to upstreams.

    A part that a request ran with in order is unlikely to crash upstreams, and of two
    parts that may have caused a crash, the one with fewer requests is more likely.

    Parameters
    ----------
    n_parts : int
        Maximum number of parts; those that were not sent for longest are dropped.

    Examples
    --------
    >>> history = PartHistory()
    >>> history.record_send([1, 2])
    >>> history.n_requests(1), history.n_requests(3)
    (1, 0)
    """

    def __init__(self, n_parts: int = MAX_PARTS):
        self._n_parts = n_parts
        self._records: OrderedDict[int, _PartRecord] = OrderedDict()

    def record_send(self, digests: Iterable[int]) -> None:
        """Record that a request with these parts is sent to an upstream."""
        for digest in digests:
            record = self._records.get(digest)
            if record is None:
                record = self._records[digest] = _PartRecord()
            else:
                self._records.move_to_end(digest)
            record.n_requests += 1
        while len(self._records) > self._n_parts:
            self._records.popitem(last=False)

    def record_run(self, digests: Iterable[int]) -> None:
        """Record that a request with these parts ran to its end in order."""
        now = trio.current_time()
        for digest in digests:
            record = self._records.get(digest)
            if record is not None:
                record.ran_at = now

    def n_requests(self, digest: int) -> int:
        """Return how many requests with a part were sent."""
        record = self._records.get(digest)
        return 0 if record is None else record.n_requests

    def has_run(self, digest: int, within_s: float = RUN_TTL_S) -> bool:
        """Whether a request with a part has run in order within some time."""
        record = self._records.get(digest)
        return record is not None and trio.current_time() - record.ran_at <= within_s

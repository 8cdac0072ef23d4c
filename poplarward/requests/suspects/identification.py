"""Identifies what causes crashes, from all that ran at each crash.

An entry host sees only its own requests at an upstream. Once the hosts have pooled what
each of them saw, a cause differs from what ran beside it: no request with it ends in
order, and it was at several crashes. A cause is a whole request, or a part of prompts
that many requests share.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import NamedTuple

__all__ = [
    "CLEARLY_BROADER",
    "PROOF_CRASHES",
    "REPEATED_CRASHES",
    "Evidence",
    "identify_causes",
]

REPEATED_CRASHES = 2  # One crash may be the upstream's own fault.
PROOF_CRASHES = 3  # More cost further upstreams, whoever else was there each time.
# A part that has run in order is at many crashes that it doesn't cause.
PROOF_CRASHES_OF_RUN = 5
CLEARLY_BROADER = 2.0  # Ratio of the numbers of requests of two parts.


class Evidence(NamedTuple):
    """What is known of a request or part that was at crashes.

    Attributes
    ----------
    crash_ids : collection of int
        Crashes that it was at since it last ended in order.
    is_settled : bool
        Whether all hosts had time to report who else was there.
    n_requests : int
        Requests with a part, as counted by the host that had most; 0 for a whole
        request.
    has_run : bool
        Whether requests with a part ran in order before.
    is_quarantined : bool
        Whether it was identified before.
    """

    crash_ids: Collection[int]
    is_settled: bool = True
    n_requests: int = 0
    has_run: bool = False
    is_quarantined: bool = False

    @property
    def is_part(self) -> bool:
        """Whether this is a part of prompts, not a whole request."""
        return self.n_requests > 0

    @property
    def breadth(self) -> tuple[bool, int]:
        """How much shares this; of two explanations, the narrower one is better."""
        return self.has_run, self.n_requests

    def is_clearly_narrower(self, other: Evidence) -> bool:
        """Whether this is a part that far fewer requests have than another part."""
        return self.is_part and CLEARLY_BROADER * self.n_requests <= other.n_requests


def identify_causes(
    evidence: Mapping[int, Evidence], all_crashes: Collection[int]
) -> set[int]:
    """Return the requests and parts that cause crashes.

    The narrowest explanation is preferred: a whole request before the parts of its
    prompt, a part of few requests before one of many, and one that has never run in
    order before one that has. What a part explains, no broader part is blamed for.
    Several crashes of one request count once for its parts.

    Two crashes identify a cause if nothing as narrow may have caused them, and if no
    upstream is known to crash without a possible cause: where upstreams also fail by
    themselves, a long request is at two crashes by chance.

    Parameters
    ----------
    evidence : mapping
        By request or part. What was at one crash only may be left out.
    all_crashes : collection of int
        All crashes that are known.

    Examples
    --------
    Request 1 was at crashes 7 and 8, and request 2 only at one of them.

    >>> identify_causes({1: Evidence({7, 8}), 2: Evidence({8})}, {7, 8})
    {1}

    Two requests that were at the same crashes can't be told apart yet.

    >>> identify_causes({1: Evidence({7, 8}), 2: Evidence({7, 8})}, {7, 8})
    set()

    An upstream has crashed without any request that was at several crashes.

    >>> identify_causes({1: Evidence({7, 8})}, {6, 7, 8})
    set()
    >>> identify_causes({1: Evidence({7, 8, 9})}, {6, 7, 8, 9})
    {1}

    Part 3 is in the crashing requests alone, part 4 in others too.

    >>> parts = {3: Evidence({7, 8}, n_requests=2), 4: Evidence({7, 8}, n_requests=90)}
    >>> identify_causes(parts, {7, 8})
    {3}
    """
    return _Search(evidence, all_crashes).run()


class _Search:
    """Goes through what was at several crashes, from the narrowest to the broadest."""

    def __init__(self, evidence: Mapping[int, Evidence], all_crashes: Collection[int]):
        repeated = [
            (key, known)
            for key, known in evidence.items()
            if len(known.crash_ids) >= REPEATED_CRASHES
        ]
        self._candidates = sorted(repeated, key=lambda item: item[1].breadth)
        self._causes: set[int] = set()
        self._explained: set[int] = set()
        # By crash, the crashes of each request that was there and is a cause.
        self._of_requests: dict[int, set[frozenset[int]]] = defaultdict(set)
        # By crash, what was there and has never run in order, narrowest first.
        self._at_crash: dict[int, list[tuple[int, Evidence]]] = defaultdict(list)
        for key, known in self._candidates:
            if not known.has_run:
                for crash in known.crash_ids:
                    self._at_crash[crash].append((key, known))
            if known.is_quarantined:
                self._add_cause(key, known)
        self._is_complete = self._at_crash.keys() >= set(all_crashes)

    def run(self) -> set[int]:
        """Return all causes, those found before included."""
        groups = itertools.groupby(self._candidates, lambda item: item[1].breadth)
        for _, group in groups:
            # Nothing is explained by what is as broad as itself.
            found = [(key, known) for key, known in group if self._is_cause(key, known)]
            for key, known in found:
                self._add_cause(key, known)
        return self._causes

    def _add_cause(self, key: int, known: Evidence) -> None:
        self._causes.add(key)
        if known.is_part:
            self._explained.update(known.crash_ids)
            return
        for crash in known.crash_ids:
            self._of_requests[crash].add(frozenset(known.crash_ids))

    def _is_cause(self, key: int, known: Evidence) -> bool:
        n_incidents = self._count_incidents(known)
        if known.has_run:
            return n_incidents >= PROOF_CRASHES_OF_RUN
        if n_incidents >= PROOF_CRASHES:
            return True
        return (
            n_incidents >= REPEATED_CRASHES
            and known.is_settled
            and self._is_complete
            and not self._has_rival(key, known)
        )

    def _count_incidents(self, known: Evidence) -> int:
        """Return at how many crashes something was that nothing else explains.

        For a part, all crashes of one request count as one.
        """
        left = set(known.crash_ids) - self._explained
        if known.has_run:
            # Anything that may be a cause is more likely to be one.
            left = {crash for crash in left if crash not in self._at_crash}
        if not known.is_part:
            return len(left)
        n_incidents = 0
        for crash in sorted(left):
            if crash in left:
                n_incidents += 1
                left.discard(crash)
                left = left.difference(*self._of_requests.get(crash, ()))
        return n_incidents

    def _has_rival(self, key: int, known: Evidence) -> bool:
        """Whether something about as narrow was at one of the same crashes."""
        for crash in known.crash_ids:
            for other_key, other in self._at_crash[crash]:
                if known.is_clearly_narrower(other):
                    break
                is_explained = known.is_part and other_key in self._causes
                if other_key != key and not is_explained:
                    return True
        return False

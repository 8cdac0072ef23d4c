"""Identifies the request that causes crashes, from all that ran at each crash.

An entry host sees only its own requests at an upstream. Once the hosts have pooled what
each of them saw, a request that crashes upstreams differs from those that ran beside
it: it never ends in order, and it was at several crashes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

__all__ = ["PROOF_CRASHES", "REPEATED_CRASHES", "identify_causes"]

REPEATED_CRASHES = 2  # One crash may be the upstream's own fault.
PROOF_CRASHES = 3  # More cost further upstreams, whoever else was there each time.


def identify_causes(
    crash_ids: Mapping[int, Collection[int]],
    all_crashes: Collection[int],
    is_settled: Mapping[int, bool],
) -> set[int]:
    """Return the requests that cause crashes.

    Two crashes identify a request if no other one may have caused them, and if no
    upstream is known to crash without such a request: where upstreams also fail by
    themselves, a long request is at two crashes by chance.

    Parameters
    ----------
    crash_ids : mapping
        By request, the crashes that it was at since it last ended in order. Requests
        that were at one crash only may be left out.
    all_crashes : collection of int
        All crashes that are known.
    is_settled : mapping
        By request, whether all hosts had time to report who else was there. A request
        that was at `PROOF_CRASHES` crashes is identified without.

    Examples
    --------
    Request 1 was at crashes 7 and 8, and request 2 only at one of them.

    >>> identify_causes({1: {7, 8}, 2: {8}}, {7, 8}, {1: True, 2: True})
    {1}

    Two requests that were at the same crashes can't be told apart yet.

    >>> identify_causes({1: {7, 8}, 2: {7, 8}}, {7, 8}, {1: True, 2: True})
    set()

    An upstream has crashed without any request that was at several crashes.

    >>> identify_causes({1: {7, 8}}, {6, 7, 8}, {1: True})
    set()
    >>> identify_causes({1: {7, 8, 9}}, {6, 7, 8, 9}, {1: True})
    {1}
    """
    repeated = {
        request: set(crashes)
        for request, crashes in crash_ids.items()
        if len(crashes) >= REPEATED_CRASHES
    }
    n_repeated = Counter(crash for crashes in repeated.values() for crash in crashes)
    is_explained = n_repeated.keys() >= set(all_crashes)
    causes = set()
    for request, crashes in repeated.items():
        is_alone = all(n_repeated[crash] == 1 for crash in crashes)
        is_sure = is_settled[request] and is_alone and is_explained
        if len(crashes) >= PROOF_CRASHES or is_sure:
            causes.add(request)
    return causes

"""Combines the reachability reports of a data centre's delegates."""

from __future__ import annotations

from collections.abc import Iterable

from ...protocol.heartbeats import ReachabilityReport

__all__ = ["Reachability"]

MIN_FAILURES = 3


class Reachability:
    """Data centres that none of the reporting delegates can reach.

    Attributes
    ----------
    unreachable : set of str
        Data centres that are currently regarded as unreachable.

    Examples
    --------
    >>> reachability = Reachability()
    >>> for _ in range(3):
    ...     changed = reachability.update("entry-1", ReachabilityReport("brest", False))
    >>> reachability.unreachable
    {'brest'}
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self._n_failures: dict[str, dict[str, int]] = {}
        self._recovered: set[str] = set()

    def update(self, reporter: str, report: ReachabilityReport) -> bool:
        """Apply a report; returns whether the data centre's state changed."""
        counts = self._n_failures.setdefault(report.data_centre, {})
        if report.is_reachable:
            counts[reporter] = 0
        else:
            counts[reporter] = counts.get(reporter, 0) + 1
        return self._update_state(report.data_centre)

    def retain_reporters(self, reporters: Iterable[str]) -> bool:
        """Discard reports of former delegates; returns whether a state changed."""
        retained = set(reporters)
        changed = False
        for data_centre, counts in self._n_failures.items():
            for name in counts.keys() - retained:
                del counts[name]
            changed |= self._update_state(data_centre)
        return changed

    def pop_recovered(self, data_centre: str) -> bool:
        """Return whether a data centre has recovered since the last call."""
        if data_centre not in self._recovered:
            return False
        self._recovered.discard(data_centre)
        return True

    def _update_state(self, data_centre: str) -> bool:
        counts = self._n_failures[data_centre]
        is_unreachable = bool(counts) and min(counts.values()) >= MIN_FAILURES
        if is_unreachable == (data_centre in self.unreachable):
            return False
        if is_unreachable:
            self.unreachable.add(data_centre)
        else:
            self.unreachable.discard(data_centre)
            self._recovered.add(data_centre)
        return True

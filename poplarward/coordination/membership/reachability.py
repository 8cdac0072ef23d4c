"""Puts together what the delegates of a data centre say of the others."""

from __future__ import annotations

from collections.abc import Iterable

from ...protocol.heartbeats import ReachabilityReport

__all__ = ["Reachability"]

MIN_FAILURES = 3


class Reachability:
    """Data centres that none of the reporting delegates reaches.

    Attributes
    ----------
    cut_off : set of str
        Data centres that count as cut off at this moment.

    Examples
    --------
    >>> reachability = Reachability()
    >>> for _ in range(3):
    ...     changed = reachability.note("entry-1", ReachabilityReport("brest", False))
    >>> reachability.cut_off
    {'brest'}
    """

    def __init__(self) -> None:
        self.cut_off: set[str] = set()
        self._n_failures: dict[str, dict[str, int]] = {}
        self._recovered: set[str] = set()

    def note(self, reporter: str, report: ReachabilityReport) -> bool:
        """Take note of a report; returns whether a data centre's state changed."""
        counts = self._n_failures.setdefault(report.data_centre, {})
        if report.is_reachable:
            counts[reporter] = 0
        else:
            counts[reporter] = counts.get(reporter, 0) + 1
        return self._update(report.data_centre)

    def retain_reporters(self, reporters: Iterable[str]) -> bool:
        """Forget hosts that are no delegates any more; returns whether it matters."""
        kept = set(reporters)
        changed = False
        for data_centre, counts in self._n_failures.items():
            for name in counts.keys() - kept:
                del counts[name]
            changed |= self._update(data_centre)
        return changed

    def pop_recovered(self, data_centre: str) -> bool:
        """Tell once, after a data centre came back, that it had been cut off."""
        if data_centre not in self._recovered:
            return False
        self._recovered.discard(data_centre)
        return True

    def _update(self, data_centre: str) -> bool:
        counts = self._n_failures[data_centre]
        is_cut_off = bool(counts) and min(counts.values()) >= MIN_FAILURES
        if is_cut_off == (data_centre in self.cut_off):
            return False
        if is_cut_off:
            self.cut_off.add(data_centre)
        else:
            self.cut_off.discard(data_centre)
            self._recovered.add(data_centre)
        return True

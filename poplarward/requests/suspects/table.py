"""Table of verdicts on what ran at an upstream when it crashed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ...protocol.verdicts import SharedVerdict, Suspicion, Verdict
from ...telemetry import get_logger
from .entry import Entry
from .identification import CLEARLY_BROADER, Evidence, identify_causes
from .part_history import PartHistory

__all__ = ["SuspectTable"]

VERDICT_TTL_MS = 600_000.0
MAX_ENTRIES = 1_024
# Verdicts that end sooner are not taken over: a late message would revive them.
MIN_LEFT_MS = 2_000.0
REPORT_DELAY_MS = 300.0  # Hosts report a crash within a heartbeat interval.
# A crash is reported by then, so that what ran since did not crash anything.
MAX_REPORT_AGE_S = 2.0

log = get_logger("suspects")


class SuspectTable:
    """Verdicts on requests and parts of prompts, for a bounded time, in bounded memory.

    Tables of several processes converge once each has merged the entries of the others,
    in any order and any number of times: of two rounds the later one wins, and within a
    round the verdict that ranks higher, with the crashes of both. A verdict's lifetime
    starts when it is first recorded; receiving it again does not extend it.

    Attributes
    ----------
    n_changes : int
        Number of changes so far.
    changed : trio.Event
        Set at the next change and then replaced.
    history : PartHistory
        The parts that this process has sent.
    on_quarantine : callable
        Called with the digest of each request or part that is quarantined.

    Parameters
    ----------
    keep_ms : float
        Lifetime of a verdict.
    n_entries : int
        Maximum number of verdicts. Those that expire first are evicted first, those at
        several crashes later, and quarantined ones last.

    Examples
    --------
    >>> table = SuspectTable()
    >>> table.is_empty
    True
    """

    def __init__(self, keep_ms: float = VERDICT_TTL_MS, n_entries: int = MAX_ENTRIES):
        self.n_changes = 0
        self.changed = trio.Event()
        self.history = PartHistory()
        self.on_quarantine: Callable[[int], None] = lambda digest: None
        self._keep_ms = keep_ms
        self._n_entries = n_entries
        self._entries: dict[int, Entry] = {}
        self._repeated: set[int] = set()
        self._n_changes_judged = 0
        self._judge_again_at = float("-inf")

    @property
    def n_quarantined(self) -> int:
        """Number of quarantined requests and parts."""
        self.drop_expired()
        entries = self._entries.values()
        return sum(known.verdict is Verdict.QUARANTINED for known in entries)

    @property
    def is_empty(self) -> bool:
        """Whether the table has no entries, so that no request needs a look-up."""
        return not self._entries

    def verdict(self, digest: int) -> Verdict | None:
        """Return the verdict on a request or part, or None."""
        known = self._find(digest)
        return None if known is None else known.verdict

    def n_crashes(self, digest: int) -> int:
        """Return the number of crashes that a request or part is suspected of."""
        known = self._find(digest)
        return 0 if known is None else known.n_crashes

    def remaining_ms(self, digest: int) -> int:
        """Return the remaining lifetime of the verdict on a request or part."""
        known = self._find(digest)
        return 0 if known is None else max(1, _left_ms(known))

    def is_unproven(self, digest: int) -> bool:
        """Whether a request or part may be the cause of a crash, as far as known."""
        known = self._find(digest)
        return (
            known is not None and known.verdict is Verdict.SUSPECT and not known.has_run
        )

    def suspect(self, digests: Iterable[int]) -> None:
        """Mark requests as suspects that ran at an upstream when it crashed."""
        for digest in digests:
            known = self._find(digest)
            if known is None:
                self._put(digest, Entry(Verdict.SUSPECT))
            elif known.verdict is Verdict.CLEARED:
                self._put(digest, Entry(Verdict.SUSPECT, known.n_rounds + 1))
            elif known.verdict is Verdict.SUSPECT:
                self._put(digest, known._replace(n_crashes=known.n_crashes + 1))

    def record_crash(self, digest: int, crash: int, is_part: bool = False) -> None:
        """Suspect a request or part that was at an upstream when it crashed.

        For processes that see only a part of an upstream's requests. The verdict
        follows from what all of them recorded, see `quarantine_causes`.
        """
        known = self._find(digest)
        n_requests, has_run = 0, False
        if is_part:
            n_requests = max(1, self.history.n_requests(digest))
            has_run = self.history.has_run(digest)
        report = Entry(
            Verdict.SUSPECT,
            crash_ids=frozenset({crash}),
            n_requests=n_requests,
            has_run=has_run,
        )
        if known is None:
            self._put(digest, report)
        elif known.verdict is Verdict.CLEARED:
            # Only what has run in order was cleared.
            self._put(
                digest, report._replace(n_rounds=known.n_rounds + 1, has_run=is_part)
            )
        elif crash not in known.crash_ids:
            left_ms = None
            if known.verdict is Verdict.QUARANTINED:
                left_ms = _left_ms(known)
            self._put(digest, known.merge(report), left_ms)

    def record_crash_id(self, digest: int, crash: int) -> None:
        """Record at which crash a request was that is suspected of it already."""
        known = self._find(digest)
        if known is not None and known.verdict is not Verdict.CLEARED:
            crash_ids = known.crash_ids | {crash}
            self._put(
                digest, known._replace(crash_ids=crash_ids).bounded(), _left_ms(known)
            )

    def quarantine_causes(self, only_parts: bool = False) -> None:
        """Quarantine what the recorded crashes identify as their cause.

        With `only_parts`, requests are left to the caller.
        """
        now = trio.current_time()
        if self._n_changes_judged == self.n_changes and now < self._judge_again_at:
            return
        entries = {d: e for d in self._repeated if (e := self._find(d)) is not None}
        self._repeated.intersection_update(entries)
        settled_at = now - REPORT_DELAY_MS / 1000
        if any(known.verdict is Verdict.SUSPECT for known in entries.values()):
            causes = identify_causes(
                {
                    digest: Evidence(
                        known.crash_ids,
                        known.crashed_at <= settled_at,
                        known.n_requests,
                        known.has_run,
                        known.verdict is Verdict.QUARANTINED,
                    )
                    for digest, known in entries.items()
                },
                set().union(*(known.crash_ids for known in self._entries.values())),
            )
            for digest in sorted(causes):
                known = entries[digest]
                is_judged = known.is_part or not only_parts
                if is_judged and known.verdict is Verdict.SUSPECT:
                    self.quarantine(digest)
        unsettled = [
            e.crashed_at for e in entries.values() if e.crashed_at > settled_at
        ]
        self._n_changes_judged = self.n_changes
        self._judge_again_at = min(
            [now + MAX_REPORT_AGE_S, *(at + REPORT_DELAY_MS / 1000 for at in unsettled)]
        )

    def quarantine(self, digest: int) -> None:
        """Mark a request or part as quarantined, so that it is refused."""
        known = self._find(digest)
        if known is None:
            self._put(digest, Entry(Verdict.QUARANTINED))
            return
        n_crashes = known.n_crashes + (not known.crash_ids)
        self._put(
            digest, known._replace(verdict=Verdict.QUARANTINED, n_crashes=n_crashes)
        )

    def clear(self, digest: int) -> None:
        """Mark a request or part as cleared that has run to its end without a crash."""
        known = self._find(digest)
        if known is not None and known.verdict is not Verdict.CLEARED:
            self._put(digest, known._replace(verdict=Verdict.CLEARED))

    def trial_due_s(self, digest: int) -> float | None:
        """Return how long a trial of something quarantined has been due, if it is.

        A wrong verdict ends by a request that runs in order.
        """
        known = self._find(digest)
        if known is None:
            return None
        due_s = trio.current_time() - known.trial_due_at
        return due_s if due_s >= 0 else None

    def record_trial(self, digest: int) -> None:
        """Record that a quarantined request or part is tried again."""
        known = self._find(digest)
        if known is not None:
            self._put(
                digest, known._replace(n_trials=known.n_trials + 1), _left_ms(known)
            )

    def n_trials(self, digest: int) -> int:
        """Return how often a quarantined request or part was tried again."""
        known = self._find(digest)
        return 0 if known is None else known.n_trials

    def changes_since(self, n_changes: int) -> list[Suspicion]:
        """Return the verdicts on requests that have changed since then."""
        self.drop_expired()
        shared = self.export(self.digests_since(n_changes))
        return [verdict.suspicion for verdict in shared if not verdict.is_part]

    def shared_since(self, n_changes: int) -> list[SharedVerdict]:
        """Return the changed verdicts on parts, and on requests at known crashes."""
        shared = self.export(self.digests_since(n_changes))
        return [verdict for verdict in shared if verdict.is_part or verdict.crash_ids]

    def export(self, digests: Iterable[int]) -> list[SharedVerdict]:
        """Return the verdicts on some requests and parts, with the crashes of each."""
        return [
            SharedVerdict(
                Suspicion(
                    digest,
                    known.verdict,
                    known.n_rounds,
                    known.n_crashes,
                    _left_ms(known),
                ),
                tuple(sorted(known.crash_ids)),
                known.n_requests,
                known.has_run,
                known.n_trials,
            )
            for digest in digests
            if (known := self._find(digest)) is not None
        ]

    def digests_since(self, n_changes: int) -> list[int]:
        """Return what has verdicts that have changed since a number of changes."""
        return [d for d, e in self._entries.items() if e.changed_at > n_changes]

    def lasting_digests(self) -> list[int]:
        """Return what is quarantined or was at several crashes."""
        return [d for d, e in self._entries.items() if e.is_lasting]

    def is_lasting(self, digest: int) -> bool:
        """Whether something is quarantined or was at several crashes."""
        known = self._find(digest)
        return known is not None and known.is_lasting

    def merge(self, entries: Iterable[Suspicion]) -> None:
        """Merge verdicts of another process that only counts crashes."""
        self.merge_shared(map(SharedVerdict, entries))

    def merge_shared(self, verdicts: Iterable[SharedVerdict]) -> list[int]:
        """Merge verdicts of another process with the crashes that they follow from.

        Returns the requests and parts on which the other process lacks what is known
        here.
        """
        lacking = []
        for shared in verdicts:
            entry = shared.suspicion
            left_ms = min(float(entry.left_ms), self._keep_ms)
            if left_ms < MIN_LEFT_MS or self._is_known(shared):
                continue
            report = Entry(
                entry.verdict,
                entry.n_rounds,
                entry.n_crashes,
                frozenset(shared.crash_ids),
                shared.n_requests,
                shared.has_run,
                shared.n_trials,
            ).bounded()
            if self._merge_one(entry.digest, report, left_ms):
                lacking.append(entry.digest)
        return lacking

    def _is_known(self, shared: SharedVerdict) -> bool:
        """Whether a verdict of another process is the one here; most are."""
        entry, known = shared.suspicion, self._find(shared.suspicion.digest)
        return (
            known is not None
            and known.verdict is entry.verdict
            and known.n_rounds == entry.n_rounds
            and known.n_crashes == entry.n_crashes
            and known.n_trials == shared.n_trials
            and known.has_run == shared.has_run
            and known.n_requests == shared.n_requests
            and len(known.crash_ids) == len(shared.crash_ids)
            and known.crash_ids.issuperset(shared.crash_ids)
            and self.history.n_requests(entry.digest)
            < max(1.0, CLEARLY_BROADER * known.n_requests)
        )

    def _merge_one(self, digest: int, report: Entry, left_ms: float) -> bool:
        """Merge one verdict; returns whether the other process lacks some of it."""
        known = self._find(digest)
        if known is not None and known.n_rounds > report.n_rounds:
            return True
        own = self._add_history(digest, report)
        if known is None or known.n_rounds < report.n_rounds:
            merged = own
        else:
            merged = known.merge(own)
            if known.verdict is merged.verdict:
                left_ms = _left_ms(known)
        is_known = known is not None and known.n_rounds == report.n_rounds
        is_news = not is_known or not merged.crash_ids <= known.crash_ids
        if is_news and self.history.has_run(digest, MAX_REPORT_AGE_S):
            # It has run here since the crash, which this process did not know of.
            merged = merged._replace(verdict=Verdict.CLEARED)
        if not is_known or known.lacks(merged):
            self._put(digest, merged, left_ms)
        return report.lacks(merged)

    def _add_history(self, digest: int, report: Entry) -> Entry:
        """Return a report on a part, with what this process knows of the part."""
        if not report.is_part:
            return report
        n_requests = self.history.n_requests(digest)
        if n_requests < CLEARLY_BROADER * report.n_requests:
            n_requests = report.n_requests
        has_run = report.has_run or self.history.has_run(digest)
        return report._replace(n_requests=n_requests, has_run=has_run)

    def drop_expired(self) -> None:
        """Remove expired verdicts."""
        now = trio.current_time()
        expired = [d for d, known in self._entries.items() if known.expires_at <= now]
        for digest in expired:
            self._remove(digest, "expired")

    def _find(self, digest: int) -> Entry | None:
        known = self._entries.get(digest)
        if known is not None and known.expires_at <= trio.current_time():
            self._remove(digest, "expired")
            return None
        return known

    def _put(self, digest: int, entry: Entry, left_ms: float | None = None) -> None:
        """Store a verdict; its lifetime starts unless the time left is given."""
        self.n_changes += 1
        now = trio.current_time()
        keep_ms = self._keep_ms if left_ms is None else left_ms
        known = self._entries.get(digest)
        is_new_crash = known is None or not entry.crash_ids <= known.crash_ids
        is_new_verdict = known is None or known.verdict is not entry.verdict
        is_judged = is_new_verdict or known.n_trials != entry.n_trials
        entry = entry._replace(
            expires_at=now + keep_ms / 1000,
            changed_at=self.n_changes,
            crashed_at=now if is_new_crash else known.crashed_at,
            judged_at=now if is_judged else known.judged_at,
        )
        self._entries[digest] = entry
        if entry.is_repeated:
            self._repeated.add(digest)
        else:
            self._repeated.discard(digest)
        _log_verdict(digest, entry, known)
        if len(self._entries) > self._n_entries:
            self._evict()
        self.changed.set()
        self.changed = trio.Event()
        if is_new_verdict and entry.verdict is Verdict.QUARANTINED:
            self.on_quarantine(digest)

    def _remove(self, digest: int, reason: str) -> None:
        known = self._entries.pop(digest)
        self._repeated.discard(digest)
        log.info(
            "verdict.ended",
            digest=f"{digest:016x}",
            verdict=known.verdict.name.lower(),
            reason=reason,
        )

    def _evict(self) -> None:
        self.drop_expired()
        while len(self._entries) > self._n_entries:
            self._remove(min(self._entries, key=self._eviction_rank), "evicted")

    def _eviction_rank(self, digest: int) -> tuple[bool, bool, float]:
        known = self._entries[digest]
        is_quarantined = known.verdict is Verdict.QUARANTINED
        return is_quarantined, known.is_repeated, known.expires_at


def _left_ms(entry: Entry) -> int:
    return int((entry.expires_at - trio.current_time()) * 1000)


def _log_verdict(digest: int, entry: Entry, previous: Entry | None) -> None:
    log.info(
        "verdict.changed",
        digest=f"{digest:016x}",
        is_part=entry.is_part,
        verdict=entry.verdict.name.lower(),
        previous=None if previous is None else previous.verdict.name.lower(),
        n_rounds=entry.n_rounds,
        n_crashes=entry.n_crashes,
        crashes=",".join(f"{crash:08x}" for crash in sorted(entry.crash_ids)) or None,
        last_crash_ms_ago=int(1000 * (trio.current_time() - entry.crashed_at))
        if entry.crash_ids
        else None,
        n_requests=entry.n_requests or None,
        has_run=entry.has_run or None,
        n_trials=entry.n_trials or None,
        left_ms=_left_ms(entry),
    )

"""Table of verdicts on requests that ran at an upstream when it crashed."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import trio

from ...protocol.verdicts import SharedVerdict, Suspicion, Verdict
from ...telemetry import get_logger
from .identification import PROOF_CRASHES, REPEATED_CRASHES, identify_causes

__all__ = ["SuspectTable", "crash_id", "request_digest"]

DIGEST_BYTES = 8
CRASH_ID_BYTES = 4
VERDICT_TTL_MS = 600_000.0
MAX_ENTRIES = 1_024
# Verdicts that end sooner are not taken over: a late message would revive them.
MIN_LEFT_MS = 2_000.0
REPORT_DELAY_MS = 300.0  # Hosts report a crash within a heartbeat interval.

log = get_logger("suspects")


def request_digest(
    pool: str, workspace: str, method: str, path: str, body: bytes
) -> int:
    """Return a number that identifies a request at all processes and on each attempt.

    The digest is cryptographic, so that a caller can't craft a request that collides
    with one of another workspace.

    Examples
    --------
    >>> first = request_digest("drafts", "ateliers", "POST", "/v1/completions", b"{}")
    >>> other = request_digest("drafts", "owners", "POST", "/v1/completions", b"{}")
    >>> first == other
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (pool, workspace, method, path):
        encoded = part.encode(errors="surrogatepass")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(body)
    return int.from_bytes(digest.digest())


def crash_id(upstream_id: str, started_at_ms: int) -> int:
    """Return a number that identifies an upstream's crash at all hosts.

    An upstream crashes once in each of its starts.
    """
    name = f"{upstream_id}/{started_at_ms}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=CRASH_ID_BYTES).digest())


class _Entry(NamedTuple):
    """The verdict on a request.

    ``crash_ids`` is empty if the crashes are only counted, as agents do. ``crashed_at``
    is when this process learned of the last one.
    """

    verdict: Verdict
    n_rounds: int
    n_crashes: int
    expires_at: float
    changed_at: int
    crash_ids: frozenset[int] = frozenset()
    crashed_at: float = 0.0

    @property
    def is_repeated(self) -> bool:
        """Whether the request was at several crashes and has not been cleared."""
        return (
            self.verdict is not Verdict.CLEARED
            and len(self.crash_ids) >= REPEATED_CRASHES
        )


class SuspectTable:
    """Verdicts on requests, kept for a bounded time and in bounded memory.

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

    Parameters
    ----------
    keep_ms : float
        Lifetime of a verdict.
    n_entries : int
        Maximum number of verdicts. Those that expire first are evicted first, and
        quarantined requests last.

    Examples
    --------
    >>> table = SuspectTable()
    >>> table.is_empty
    True
    """

    def __init__(self, keep_ms: float = VERDICT_TTL_MS, n_entries: int = MAX_ENTRIES):
        self.n_changes = 0
        self.changed = trio.Event()
        self._keep_ms = keep_ms
        self._n_entries = n_entries
        self._entries: dict[int, _Entry] = {}
        self._repeated: set[int] = set()

    @property
    def n_quarantined(self) -> int:
        """Number of quarantined requests."""
        self.drop_expired()
        entries = self._entries.values()
        return sum(known.verdict is Verdict.QUARANTINED for known in entries)

    @property
    def is_empty(self) -> bool:
        """Whether the table has no entries, so that no request needs a look-up."""
        return not self._entries

    def verdict(self, digest: int) -> Verdict | None:
        """Return the verdict on a request, or None."""
        known = self._find(digest)
        return None if known is None else known.verdict

    def n_crashes(self, digest: int) -> int:
        """Return the number of crashes that a request is suspected of."""
        known = self._find(digest)
        return 0 if known is None else known.n_crashes

    def remaining_ms(self, digest: int) -> int:
        """Return the remaining lifetime of the verdict on a request."""
        known = self._find(digest)
        if known is None:
            return 0
        return max(1, int((known.expires_at - trio.current_time()) * 1000))

    def suspect(self, digests: Iterable[int]) -> None:
        """Mark requests as suspects that ran at an upstream when it crashed."""
        for digest in digests:
            known = self._find(digest)
            if known is None:
                self._put(digest, Verdict.SUSPECT, 0, 1)
            elif known.verdict is Verdict.CLEARED:
                self._put(digest, Verdict.SUSPECT, known.n_rounds + 1, 1)
            elif known.verdict is Verdict.SUSPECT:
                self._put(digest, Verdict.SUSPECT, known.n_rounds, known.n_crashes + 1)

    def record_crash(self, digest: int, crash: int) -> None:
        """Suspect a request that ran at an upstream when it crashed.

        For processes that see only a part of an upstream's requests. The verdict
        follows from what all of them recorded, see `quarantine_causes`.
        """
        known = self._find(digest)
        if known is None or known.verdict is Verdict.CLEARED:
            n_rounds = 0 if known is None else known.n_rounds + 1
            self._put(digest, Verdict.SUSPECT, n_rounds, 1, None, frozenset({crash}))
        elif known.verdict is Verdict.SUSPECT and crash not in known.crash_ids:
            crash_ids = known.crash_ids | {crash}
            n_crashes = max(known.n_crashes, len(crash_ids))
            self._put(
                digest, Verdict.SUSPECT, known.n_rounds, n_crashes, None, crash_ids
            )

    def quarantine_causes(self) -> None:
        """Quarantine the suspects that the recorded crashes identify as their cause."""
        entries = {d: e for d in self._repeated if (e := self._find(d)) is not None}
        self._repeated.intersection_update(entries)
        if all(known.verdict is Verdict.QUARANTINED for known in entries.values()):
            return
        settled_at = trio.current_time() - REPORT_DELAY_MS / 1000
        causes = identify_causes(
            {digest: known.crash_ids for digest, known in entries.items()},
            set().union(*(known.crash_ids for known in self._entries.values())),
            {
                digest: known.crashed_at <= settled_at
                for digest, known in entries.items()
            },
        )
        for digest in causes:
            if entries[digest].verdict is Verdict.SUSPECT:
                self.quarantine(digest)

    def quarantine(self, digest: int) -> None:
        """Mark a request as quarantined, so that it is refused."""
        known = self._find(digest)
        if known is None:
            self._put(digest, Verdict.QUARANTINED, 0, 1)
        elif known.crash_ids:
            self._put(
                digest,
                Verdict.QUARANTINED,
                known.n_rounds,
                known.n_crashes,
                None,
                known.crash_ids,
            )
        else:
            n_crashes = known.n_crashes + 1
            self._put(digest, Verdict.QUARANTINED, known.n_rounds, n_crashes)

    def clear(self, digest: int) -> None:
        """Mark a request as cleared that has run to its end without a crash."""
        known = self._find(digest)
        if known is not None and known.verdict is not Verdict.CLEARED:
            self._put(
                digest,
                Verdict.CLEARED,
                known.n_rounds,
                known.n_crashes,
                None,
                known.crash_ids,
            )

    def changes_since(self, n_changes: int) -> list[Suspicion]:
        """Return the verdicts that have changed since a number of changes."""
        self.drop_expired()
        shared = self.export(self.digests_since(n_changes))
        return [verdict.suspicion for verdict in shared]

    def export(self, digests: Iterable[int]) -> list[SharedVerdict]:
        """Return the verdicts on some requests, with the crashes of each."""
        now = trio.current_time()
        return [
            SharedVerdict(
                Suspicion(
                    digest,
                    known.verdict,
                    known.n_rounds,
                    known.n_crashes,
                    int((known.expires_at - now) * 1000),
                ),
                tuple(sorted(known.crash_ids)),
            )
            for digest in digests
            if (known := self._find(digest)) is not None
        ]

    def digests_since(self, n_changes: int) -> list[int]:
        """Return the requests whose verdicts have changed since a number of changes."""
        return [d for d, e in self._entries.items() if e.changed_at > n_changes]

    def lasting_digests(self) -> list[int]:
        """Return the requests that are quarantined or were at several crashes."""
        return [
            digest
            for digest, known in self._entries.items()
            if known.verdict is Verdict.QUARANTINED or known.is_repeated
        ]

    def merge(self, entries: Iterable[Suspicion]) -> None:
        """Merge verdicts of another process that only counts crashes."""
        self.merge_shared(map(SharedVerdict, entries))

    def merge_shared(self, verdicts: Iterable[SharedVerdict]) -> list[int]:
        """Merge verdicts of another process with the crashes that they follow from.

        Returns the requests on which the other process lacks what is known here.
        """
        lacking = []
        for entry, crash_ids in verdicts:
            left_ms = min(float(entry.left_ms), self._keep_ms)
            if left_ms < MIN_LEFT_MS:
                continue
            if self._merge_one(entry, frozenset(crash_ids), left_ms):
                lacking.append(entry.digest)
        return lacking

    def _merge_one(
        self, entry: Suspicion, crashes: frozenset[int], left_ms: float
    ) -> bool:
        """Merge one verdict; returns whether the other process lacks some of it."""
        known = self._find(entry.digest)
        if known is None or known.n_rounds < entry.n_rounds:
            self._put(
                entry.digest,
                entry.verdict,
                entry.n_rounds,
                entry.n_crashes,
                left_ms,
                crashes,
            )
            return False
        if known.n_rounds > entry.n_rounds:
            return True
        merged = _bounded(known.crash_ids | crashes)
        verdict = max(known.verdict, entry.verdict)
        n_crashes = max(known.n_crashes, entry.n_crashes, len(merged))
        if (verdict, n_crashes, merged) != (
            known.verdict,
            known.n_crashes,
            known.crash_ids,
        ):
            if known.verdict is verdict:
                left_ms = (known.expires_at - trio.current_time()) * 1000
            self._put(entry.digest, verdict, known.n_rounds, n_crashes, left_ms, merged)
        return (verdict, merged) != (entry.verdict, crashes)

    def drop_expired(self) -> None:
        """Remove expired verdicts."""
        now = trio.current_time()
        expired = [d for d, known in self._entries.items() if known.expires_at <= now]
        for digest in expired:
            self._remove(digest, "expired")

    def _find(self, digest: int) -> _Entry | None:
        known = self._entries.get(digest)
        if known is not None and known.expires_at <= trio.current_time():
            self._remove(digest, "expired")
            return None
        return known

    def _put(
        self,
        digest: int,
        verdict: Verdict,
        n_rounds: int,
        n_crashes: int,
        left_ms: float | None = None,
        crash_ids: frozenset[int] = frozenset(),
    ) -> None:
        self.n_changes += 1
        now = trio.current_time()
        keep_ms = self._keep_ms if left_ms is None else left_ms
        known = self._entries.get(digest)
        crash_ids = _bounded(crash_ids)
        is_new_crash = known is None or not crash_ids <= known.crash_ids
        entry = _Entry(
            verdict,
            n_rounds,
            n_crashes,
            now + keep_ms / 1000,
            self.n_changes,
            crash_ids,
            now if is_new_crash else known.crashed_at,
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

    def _eviction_rank(self, digest: int) -> tuple[bool, float]:
        known = self._entries[digest]
        return known.verdict is Verdict.QUARANTINED, known.expires_at


def _bounded(crash_ids: frozenset[int]) -> frozenset[int]:
    """Return as many crashes as are needed as proof, the same ones at all processes."""
    return frozenset(sorted(crash_ids)[:PROOF_CRASHES])


def _log_verdict(digest: int, entry: _Entry, previous: _Entry | None) -> None:
    log.info(
        "verdict.changed",
        digest=f"{digest:016x}",
        verdict=entry.verdict.name.lower(),
        previous=None if previous is None else previous.verdict.name.lower(),
        n_rounds=entry.n_rounds,
        n_crashes=entry.n_crashes,
        crashes=",".join(f"{crash:08x}" for crash in sorted(entry.crash_ids)) or None,
        last_crash_ms_ago=int(1000 * (trio.current_time() - entry.crashed_at))
        if entry.crash_ids
        else None,
        left_ms=int(1000 * (entry.expires_at - trio.current_time())),
    )

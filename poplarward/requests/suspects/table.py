"""Table of verdicts on requests that ran at an upstream when it crashed."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import trio

from ...protocol.suspects import Suspicion, Verdict

__all__ = ["SuspectTable", "request_digest"]

DIGEST_BYTES = 8
VERDICT_TTL_MS = 600_000.0
MAX_ENTRIES = 1_024


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


class _Entry(NamedTuple):
    verdict: Verdict
    n_rounds: int
    n_crashes: int
    expires_at: float
    changed_at: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of verdicts on one request; the greatest one wins."""
        return self.n_rounds, int(self.verdict), self.n_crashes


class SuspectTable:
    """Verdicts on requests, kept for a bounded time and in bounded memory.

    Tables of several processes converge once each has merged the entries of the others,
    in any order and any number of times. A verdict's lifetime starts when it is first
    recorded; receiving it again does not extend it.

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

    def quarantine(self, digest: int) -> None:
        """Mark a request as quarantined, so that it is refused."""
        known = self._find(digest)
        n_rounds, n_crashes = (0, 0) if known is None else known[1:3]
        self._put(digest, Verdict.QUARANTINED, n_rounds, n_crashes + 1)

    def clear(self, digest: int) -> None:
        """Mark a request as cleared that has run to its end without a crash."""
        known = self._find(digest)
        if known is not None and known.verdict is not Verdict.CLEARED:
            self._put(digest, Verdict.CLEARED, known.n_rounds, known.n_crashes)

    def changes_since(self, n_changes: int) -> list[Suspicion]:
        """Return the verdicts that have changed since a number of changes."""
        self.drop_expired()
        now = trio.current_time()
        return [
            Suspicion(
                digest,
                known.verdict,
                known.n_rounds,
                known.n_crashes,
                int((known.expires_at - now) * 1000),
            )
            for digest, known in self._entries.items()
            if known.changed_at > n_changes
        ]

    def merge(self, entries: Iterable[Suspicion]) -> None:
        """Merge verdicts of another process."""
        for entry in entries:
            left_ms = min(float(entry.left_ms), self._keep_ms)
            if left_ms <= 0:
                continue
            known = self._find(entry.digest)
            rank = (entry.n_rounds, int(entry.verdict), entry.n_crashes)
            if known is None or known.rank < rank:
                self._put(
                    entry.digest,
                    entry.verdict,
                    entry.n_rounds,
                    entry.n_crashes,
                    left_ms,
                )

    def drop_expired(self) -> None:
        """Remove expired verdicts."""
        now = trio.current_time()
        expired = [d for d, known in self._entries.items() if known.expires_at <= now]
        for digest in expired:
            del self._entries[digest]

    def _find(self, digest: int) -> _Entry | None:
        known = self._entries.get(digest)
        if known is not None and known.expires_at <= trio.current_time():
            del self._entries[digest]
            return None
        return known

    def _put(
        self,
        digest: int,
        verdict: Verdict,
        n_rounds: int,
        n_crashes: int,
        left_ms: float | None = None,
    ) -> None:
        self.n_changes += 1
        keep_ms = self._keep_ms if left_ms is None else left_ms
        expires_at = trio.current_time() + keep_ms / 1000
        self._entries[digest] = _Entry(
            verdict, n_rounds, n_crashes, expires_at, self.n_changes
        )
        if len(self._entries) > self._n_entries:
            self._evict()
        self.changed.set()
        self.changed = trio.Event()

    def _evict(self) -> None:
        self.drop_expired()
        while len(self._entries) > self._n_entries:
            del self._entries[min(self._entries, key=self._eviction_rank)]

    def _eviction_rank(self, digest: int) -> tuple[bool, float]:
        known = self._entries[digest]
        return known.verdict is Verdict.QUARANTINED, known.expires_at

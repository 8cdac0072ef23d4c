"""Holds the verdicts on requests that were on an upstream when it crashed."""

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
    """Return a number by which all processes name a request, however often it is sent.

    A cryptographic digest, so that a caller can't make a request that collides with
    one of another workspace.

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


class _Case(NamedTuple):
    verdict: Verdict
    n_rounds: int
    n_crashes: int
    expires_at: float
    changed_at: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Orders verdicts on one request; the greatest one holds."""
        return self.n_rounds, int(self.verdict), self.n_crashes


class SuspectTable:
    """Verdicts on requests, kept for a bounded time and in bounded memory.

    Tables of several processes agree once each has merged what the others know, in
    any order and however often. A verdict's time is counted from when it was passed;
    hearing of it again does not prolong it.

    Attributes
    ----------
    n_changes : int
        Rises with each change.
    changed : trio.Event
        Set at the next change.

    Parameters
    ----------
    keep_ms : float
        How long a verdict holds.
    n_entries : int
        Verdicts that are kept; those that end soonest go first, requests in
        quarantine last.

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
        self._cases: dict[int, _Case] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request needs to be looked up."""
        return not self._cases

    def verdict(self, digest: int) -> Verdict | None:
        """Return the verdict on a request, None if there is none."""
        case = self._case(digest)
        return None if case is None else case.verdict

    def n_crashes(self, digest: int) -> int:
        """Return for how many crashes a request is suspected."""
        case = self._case(digest)
        return 0 if case is None else case.n_crashes

    def remaining_ms(self, digest: int) -> int:
        """Return how long the verdict on a request still holds."""
        case = self._case(digest)
        if case is None:
            return 0
        return max(1, int((case.expires_at - trio.current_time()) * 1000))

    def suspect(self, digests: Iterable[int]) -> None:
        """Note requests that were on an upstream when it crashed."""
        for digest in digests:
            case = self._case(digest)
            if case is None:
                self._put(digest, Verdict.SUSPECT, 0, 1)
            elif case.verdict is Verdict.CLEARED:
                self._put(digest, Verdict.SUSPECT, case.n_rounds + 1, 1)
            elif case.verdict is Verdict.SUSPECT:
                self._put(digest, Verdict.SUSPECT, case.n_rounds, case.n_crashes + 1)

    def quarantine(self, digest: int) -> None:
        """Have a request refused from now on."""
        case = self._case(digest)
        n_rounds, n_crashes = (0, 0) if case is None else case[1:3]
        self._put(digest, Verdict.QUARANTINED, n_rounds, n_crashes + 1)

    def clear(self, digest: int) -> None:
        """Note that a request has run to its end without a crash."""
        case = self._case(digest)
        if case is not None and case.verdict is not Verdict.CLEARED:
            self._put(digest, Verdict.CLEARED, case.n_rounds, case.n_crashes)

    def changes_since(self, n_changes: int) -> list[Suspicion]:
        """Return the verdicts passed or learnt after a number of changes."""
        self.drop_expired()
        now = trio.current_time()
        return [
            Suspicion(
                digest,
                case.verdict,
                case.n_rounds,
                case.n_crashes,
                int((case.expires_at - now) * 1000),
            )
            for digest, case in self._cases.items()
            if case.changed_at > n_changes
        ]

    def merge(self, entries: Iterable[Suspicion]) -> None:
        """Learn verdicts of another process."""
        for entry in entries:
            left_ms = min(float(entry.left_ms), self._keep_ms)
            if left_ms <= 0:
                continue
            case = self._case(entry.digest)
            rank = (entry.n_rounds, int(entry.verdict), entry.n_crashes)
            if case is None or case.rank < rank:
                self._put(
                    entry.digest,
                    entry.verdict,
                    entry.n_rounds,
                    entry.n_crashes,
                    left_ms,
                )

    def drop_expired(self) -> None:
        """Forget the verdicts whose time is over."""
        now = trio.current_time()
        expired = [d for d, case in self._cases.items() if case.expires_at <= now]
        for digest in expired:
            del self._cases[digest]

    def _case(self, digest: int) -> _Case | None:
        case = self._cases.get(digest)
        if case is not None and case.expires_at <= trio.current_time():
            del self._cases[digest]
            return None
        return case

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
        self._cases[digest] = _Case(
            verdict, n_rounds, n_crashes, expires_at, self.n_changes
        )
        if len(self._cases) > self._n_entries:
            self._make_room()
        self.changed.set()
        self.changed = trio.Event()

    def _make_room(self) -> None:
        self.drop_expired()
        while len(self._cases) > self._n_entries:
            del self._cases[min(self._cases, key=self._worth)]

    def _worth(self, digest: int) -> tuple[bool, float]:
        case = self._cases[digest]
        return case.verdict is Verdict.QUARANTINED, case.expires_at

"""Records of calls whose keys were issued by this incarnation of the agent."""

from __future__ import annotations

import itertools

import trio

from ...protocol import ProcessIdentity
from ...protocol.requests import Outcome, Refusal
from .decisions import UNKNOWN, CallDecision, Forward, Reject, decide
from .journal import RETENTION_MS, Record
from .keys import IssuedKey

__all__ = ["IssuedCalls"]

MAX_RECORDS = 20_000

FULL = Reject(
    Refusal.KEY_FULL, Outcome.NOT_RUN, "the agent remembers too many keys", 60_000
)


class IssuedCalls:
    """Runs calls with keys that this incarnation of the agent issued at most once.

    Only this incarnation may run them, so their records are kept in memory and need no
    journal. A later incarnation has no record of them and reports their outcome as
    unknown.
    """

    def __init__(self, identity: ProcessIdentity):
        self._identity = identity
        self._sequences = itertools.count(1)
        self._records: dict[str, Record] = {}
        self._in_flight: set[str] = set()
        self._issued_at_ms: dict[str, int] = {}

    def issue(self) -> str:
        """Issue a new key."""
        return str(
            IssuedKey(
                self._identity.name,
                self._identity.start_id,
                self._now_ms(),
                next(self._sequences),
            )
        )

    def begin(self, key: str, issued: IssuedKey, record: Record) -> CallDecision:
        """Record a key before its call is forwarded; returns the decision."""
        is_issued_here = issued[:2] == (self._identity.name, self._identity.start_id)
        age_ms = self._now_ms() - issued.issued_at_ms
        if not is_issued_here or not 0 <= age_ms < RETENTION_MS:
            return UNKNOWN
        existing = self._records.get(key)
        decision = decide(existing, record, in_flight=key in self._in_flight)
        if isinstance(decision, Forward):
            self._discard_expired()
            if len(self._records) >= MAX_RECORDS:
                return FULL
            self._records[key] = record
            self._issued_at_ms[key] = issued.issued_at_ms
            self._in_flight.add(key)
        return decision

    def finish(self, key: str, result: Record) -> None:
        """Record the result of a call that was forwarded."""
        self._records[key] = result
        self._in_flight.discard(key)

    def release(self, key: str) -> None:
        """Remove the record of a call that was not forwarded and never will be."""
        del self._records[key], self._issued_at_ms[key]
        self._in_flight.discard(key)

    def _discard_expired(self) -> None:
        """Discard the records of expired keys, which are refused by their age."""
        if len(self._records) < MAX_RECORDS:
            return
        expired_before_ms = self._now_ms() - RETENTION_MS
        for key, issued_at_ms in list(self._issued_at_ms.items()):
            if issued_at_ms <= expired_before_ms and key not in self._in_flight:
                del self._records[key], self._issued_at_ms[key]

    def _now_ms(self) -> int:
        return int(trio.current_time() * 1000)

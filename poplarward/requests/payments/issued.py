"""Calls whose keys this start of the agent issued: they need no journal."""

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
    """Calls with keys of this start, remembered while the agent runs.

    Only this start of the agent may run them, so its memory is enough. A later start
    knows nothing of them and calls their outcome unknown.
    """

    def __init__(self, identity: ProcessIdentity):
        self._identity = identity
        self._sequences = itertools.count(1)
        self._records: dict[str, Record] = {}
        self._in_hand: set[str] = set()
        self._issued_at_ms: dict[str, int] = {}

    def issue(self) -> str:
        """Return a new key."""
        return str(
            IssuedKey(
                self._identity.name,
                self._identity.start_id,
                self._now_ms(),
                next(self._sequences),
            )
        )

    def begin(self, key: str, issued: IssuedKey, record: Record) -> CallDecision:
        """Remember a key before its call is forwarded; returns what to do."""
        is_own = issued[:2] == (self._identity.name, self._identity.start_id)
        age_ms = self._now_ms() - issued.issued_at_ms
        if not is_own or not 0 <= age_ms < RETENTION_MS:
            return UNKNOWN
        held = self._records.get(key)
        verdict = decide(held, record, in_hand=key in self._in_hand)
        if isinstance(verdict, Forward):
            self._forget_old()
            if len(self._records) >= MAX_RECORDS:
                return FULL
            self._records[key] = record
            self._issued_at_ms[key] = issued.issued_at_ms
            self._in_hand.add(key)
        return verdict

    def finish(self, key: str, result: Record) -> None:
        """Note how a call that was forwarded has ended."""
        self._records[key] = result
        self._in_hand.discard(key)

    def release(self, key: str) -> None:
        """Note that a call was not forwarded and never will be."""
        del self._records[key], self._issued_at_ms[key]
        self._in_hand.discard(key)

    def _forget_old(self) -> None:
        """Forget calls whose keys are refused for their age."""
        if len(self._records) < MAX_RECORDS:
            return
        oldest_ms = self._now_ms() - RETENTION_MS
        for key, issued_at_ms in list(self._issued_at_ms.items()):
            if issued_at_ms <= oldest_ms and key not in self._in_hand:
                del self._records[key], self._issued_at_ms[key]

    def _now_ms(self) -> int:
        return int(trio.current_time() * 1000)

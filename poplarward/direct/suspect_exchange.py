"""Chooses which verdicts on requests each heartbeat carries, and merges received ones.

A verdict that has changed goes with the next few heartbeats, so that a lost one does no
harm. Those that keep requests from being sent are repeated for as long as they last,
some at a time. A host that turns out to lack a verdict, or has just started, is sent it
again.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio

from ..protocol.verdicts import SharedVerdict
from ..requests.suspects import SuspectTable

__all__ = ["SuspectExchange"]

FRESH_SENDS = 4  # Heartbeats that carry a change.
FORWARDED_SENDS = 1  # For those that its first sender does not reach.
MAX_FRESH = 16
MAX_REPEATED = 2
MAX_PENDING = 1_024  # Changes that wait for a heartbeat; the latest ones are kept.
REPEAT_INTERVAL_MS = 250.0
REPEATING_HOSTS = 16  # More hosts repeat a verdict less often each.
# A digest and its verdict in CBOR, without the crashes.
MAX_ENTRY_BYTES = 40
CRASH_ID_BYTES = 5
FRAME_BYTES = 16
MAX_BYTES = 1_024


class SuspectExchange:
    """Shares a table of verdicts with the other entry hosts, over their heartbeats.

    Parameters
    ----------
    suspects : SuspectTable
    """

    def __init__(self, suspects: SuspectTable):
        self._suspects = suspects
        self._n_changes = 0
        self._sends_left: dict[int, int] = {}
        self._repeated: list[int] = []
        self._repeated_at = float("-inf")

    def next_verdicts(self, max_bytes: int, n_hosts: int = 1) -> list[SharedVerdict]:
        """Return the verdicts for the next heartbeat, in at most so many bytes.

        `n_hosts` is the number of entry hosts, all of which repeat what lasts.
        """
        suspects = self._suspects
        if suspects.is_empty:
            self._sends_left.clear()
            return []
        suspects.quarantine_causes()
        self._schedule_changes(FRESH_SENDS)
        # What was at several crashes decides; it goes first.
        waiting = sorted(self._sends_left, key=suspects.is_lasting, reverse=True)
        due = dict.fromkeys([*waiting[:MAX_FRESH], *self._due_repeats(n_hosts)])
        chosen = _fitting(suspects.export(due), min(max_bytes, MAX_BYTES))
        known = {verdict.suspicion.digest for verdict in chosen}
        for digest in waiting[:MAX_FRESH]:
            if digest in known or suspects.verdict(digest) is None:
                n_left = self._sends_left.pop(digest) - 1
                if n_left > 0 and digest in known:
                    # Behind those that have not been sent as often.
                    self._sends_left[digest] = n_left
        return chosen

    def merge(self, verdicts: Iterable[SharedVerdict]) -> None:
        """Merge the verdicts that another host has sent."""
        self._schedule_changes(FRESH_SENDS)
        lacking = self._suspects.merge_shared(verdicts)
        self._schedule_changes(FORWARDED_SENDS)
        for digest in lacking:
            self._sends_left.setdefault(digest, 1)

    def resend_lasting(self) -> None:
        """Send all lasting verdicts again, as a host has started that has none."""
        for digest in self._suspects.lasting_digests():
            self._sends_left[digest] = FRESH_SENDS

    def _schedule_changes(self, n_sends: int) -> None:
        if self._n_changes == self._suspects.n_changes:
            return
        for digest in self._suspects.digests_since(self._n_changes):
            self._sends_left[digest] = n_sends
        self._n_changes = self._suspects.n_changes
        for digest in list(self._sends_left)[:-MAX_PENDING]:
            del self._sends_left[digest]

    def _due_repeats(self, n_hosts: int) -> list[int]:
        now = trio.current_time()
        interval_ms = REPEAT_INTERVAL_MS * max(1.0, n_hosts / REPEATING_HOSTS)
        if now < self._repeated_at + interval_ms / 1000:
            return []
        self._repeated_at = now
        self._suspects.drop_expired()
        if not self._repeated:
            self._repeated = self._suspects.lasting_digests()
        due, self._repeated = (
            self._repeated[:MAX_REPEATED],
            self._repeated[MAX_REPEATED:],
        )
        return due


def _fitting(verdicts: Iterable[SharedVerdict], max_bytes: int) -> list[SharedVerdict]:
    """Return the first verdicts, as many as fit."""
    left_bytes = max_bytes - FRAME_BYTES
    chosen = []
    for verdict in verdicts:
        left_bytes -= MAX_ENTRY_BYTES + CRASH_ID_BYTES * len(verdict.crash_ids)
        if left_bytes < 0:
            break
        chosen.append(verdict)
    return chosen

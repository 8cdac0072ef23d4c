"""Writes the journal of one partition, many keys to one conditional update."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ...errors import (
    ConflictError,
    FormatUnsupported,
    StoreUnavailable,
    WriteUnknown,
)
from ...protocol.requests import Outcome, Refusal
from ...state import ObjectStore
from ...state.budget import RetryBudget
from ...state.writer import Writer
from ...telemetry import get_logger
from .decisions import CallDecision, Forward, Reject, decide
from .journal import MAX_JOURNAL_BYTES, Journal, Record, RecordState
from .journal_object import JournalObject

__all__ = ["Partition"]

STORE_RETRY_INTERVAL_MS = 1_000.0
RESULT_DELAY_MS = 500.0
WRITES_PER_S = 40.0
MAX_BURST_WRITES = 5
MAX_CONFLICTS = 4
RELOAD_INTERVAL_MS = 500.0

STORE_UNAVAILABLE = Reject(
    Refusal.STORE_AWAY,
    Outcome.NOT_RUN,
    "the platform's store is away, so the key can not be recorded",
    int(STORE_RETRY_INTERVAL_MS),
)
UNREADABLE = Reject(
    Refusal.STORE_AWAY,
    Outcome.NOT_RUN,
    "the journal of the key was written by a release too far from this one",
    60_000,
)
FULL = Reject(
    Refusal.KEY_FULL, Outcome.NOT_RUN, "the journal of the key is full", 60_000
)

log = get_logger("payments")


class _Start:
    """A call that waits for its key to be recorded."""

    def __init__(self, key: str, record: Record):
        self.key = key
        self.record = record
        self.n_conflicts = 0
        self.is_abandoned = False
        self.verdict: CallDecision | None = None
        self.settled = trio.Event()

    def settle(self, verdict: CallDecision) -> None:
        self.verdict = verdict
        self.settled.set()


class Partition:
    """The keys of one partition at one agent.

    What makes a call run at most once is the conditional update alone: a call is
    forwarded only after an update has put its record in a journal that had none.
    Which agent owns the partition decides only how often updates collide.

    Parameters
    ----------
    store, writer
        Where the journal is read and written.
    name : str
        Name of the journal's object.
    owner : str
        This agent and its start, as records name them.
    now_ms : callable
        Returns the wall clock's time.
    """

    def __init__(
        self,
        store: ObjectStore,
        writer: Writer,
        name: str,
        owner: str,
        now_ms: Callable[[], int],
    ):
        self._name = name
        self._owner = owner
        self._object = JournalObject(store, writer, name, now_ms)
        self._loaded_at = 0.0
        self._away_until = 0.0
        self._refusal = STORE_UNAVAILABLE
        self._starts: list[_Start] = []
        self._in_hand: dict[str, Record] = {}
        self._results: dict[str, Record] = {}
        self._released: set[str] = set()
        self._pace = RetryBudget(WRITES_PER_S, MAX_BURST_WRITES)
        self._arrived = trio.Event()
        self._result_arrived = trio.Event()

    @property
    def is_flushed(self) -> bool:
        """Whether the journal has every result."""
        return not self._results

    async def begin(self, key: str, record: Record) -> CallDecision:
        """Record a key before its call is forwarded; returns what to do.

        After `Forward` the caller ends with `finish` or `release`.
        """
        held = self._in_hand.get(key)
        if held is not None:
            return decide(held, record, in_hand=True)
        held = self._results.get(key) or self._object.journal.records.get(key)
        if held is not None and held.state is not RecordState.STARTED:
            return decide(held, record, in_hand=False)
        if trio.current_time() < self._away_until:
            return self._refusal
        start = _Start(key, record)
        self._in_hand[key] = record
        self._starts.append(start)
        self._arrived.set()
        try:
            await start.settled.wait()
        except trio.Cancelled:
            start.is_abandoned = True
            self.release(key)
            raise
        assert start.verdict is not None
        if not isinstance(start.verdict, Forward):
            del self._in_hand[key]
        return start.verdict

    def finish(self, key: str, result: Record) -> None:
        """Note how a call that was forwarded has ended."""
        self._results[key] = result
        self._in_hand.pop(key, None)
        self._result_arrived.set()

    def release(self, key: str) -> None:
        """Note that a call was not forwarded and never will be."""
        self._in_hand.pop(key, None)
        self._released.add(key)
        self._result_arrived.set()

    async def run(self) -> None:
        """Write what has arrived, until cancelled."""
        while True:
            await self._wait_for_work()
            # Under load, calls that arrive meanwhile share the next update.
            await self._pace.wait()
            await self._commit()

    async def _wait_for_work(self) -> None:
        if self._starts:
            return
        if not self._results and not self._released:
            async with trio.open_nursery() as nursery:
                for event in (self._arrived, self._result_arrived):
                    nursery.start_soon(_wait_and_cancel, event, nursery.cancel_scope)
        away_s = max(0.0, self._away_until - trio.current_time())
        with trio.move_on_after(max(RESULT_DELAY_MS / 1000, away_s)):
            await self._arrived.wait()

    async def _commit(self) -> None:
        self._arrived, self._result_arrived = trio.Event(), trio.Event()
        starts, self._starts = self._starts, []
        try:
            await self._load(starts)
            await self._write(starts)
            await self._object.delete_old_segment()
        except ConflictError as error:
            self._object.invalidate()
            self._retry(starts, str(error))
        except FormatUnsupported as error:
            log.error("journal.unreadable", journal=self._name, reason=str(error))
            self._give_up(starts, UNREADABLE)
        except (StoreUnavailable, WriteUnknown) as error:
            log.warning("journal.away", journal=self._name, reason=str(error))
            self._give_up(starts, STORE_UNAVAILABLE)

    def _give_up(self, starts: list[_Start], verdict: Reject) -> None:
        """Refuse all calls that wait, and new ones for a while."""
        self._object.invalidate()
        self._refusal = verdict
        self._away_until = trio.current_time() + STORE_RETRY_INTERVAL_MS / 1000
        # An update whose effect is not known may have put records there.
        self._released.update(start.key for start in starts)
        for start in [*starts, *self._starts]:
            if start.verdict is None:
                start.settle(verdict)
        self._starts.clear()

    def _retry(self, starts: list[_Start], reason: str) -> None:
        """Put starts back whose update was refused: another agent wrote."""
        log.info(
            "journal.conflict", journal=self._name, n_keys=len(starts), reason=reason
        )
        for start in starts:
            start.n_conflicts += 1
            if start.verdict is not None or start.is_abandoned:
                continue
            if start.n_conflicts < MAX_CONFLICTS:
                self._starts.append(start)
                self._arrived.set()
            else:
                start.settle(STORE_UNAVAILABLE)

    async def _load(self, starts: list[_Start]) -> None:
        """Read the journal if it is not held, or others may have gone on with it."""
        is_old = trio.current_time() - self._loaded_at > RELOAD_INTERVAL_MS / 1000
        if self._object.is_loaded and not (is_old and self._is_foreign(starts)):
            return
        await self._object.load()
        self._loaded_at = trio.current_time()

    def _is_foreign(self, starts: list[_Start]) -> bool:
        """Return whether another agent may have finished a call asked for again."""
        held = [self._object.journal.records.get(start.key) for start in starts]
        return any(r is not None and r.state is RecordState.STARTED for r in held)

    async def _write(self, starts: list[_Start]) -> None:
        found = {start.key: await self._object.find(start.key) for start in starts}
        results, released = dict(self._results), set(self._released)
        journal = await self._object.next_journal()
        records = journal.records
        for key in released - self._in_hand.keys():
            if key in records and self._is_own_start(records[key]):
                del records[key]
        records.update(results)
        accepted = self._admit(journal, starts, found)
        if journal != self._object.journal:
            await self._object.replace(journal)
        for key, result in results.items():
            if self._results.get(key) == result:
                del self._results[key]
        self._released -= released
        for start in accepted:
            start.settle(Forward())

    def _is_own_start(self, record: Record) -> bool:
        return record.state is RecordState.STARTED and record.owner == self._owner

    def _admit(
        self,
        journal: Journal,
        starts: list[_Start],
        found: dict[str, Record | None],
    ) -> list[_Start]:
        """Add the records of calls that are to run; settles all others."""
        accepted = []
        n_bytes = journal.n_bytes
        for start in starts:
            if start.is_abandoned:
                continue
            held = journal.records.get(start.key) or found[start.key]
            verdict = decide(held, start.record, in_hand=False)
            if isinstance(verdict, Forward) and n_bytes > MAX_JOURNAL_BYTES:
                verdict = FULL
            if not isinstance(verdict, Forward):
                start.settle(verdict)
                continue
            n_bytes += len(start.key) + 1000
            journal.records[start.key] = start.record
            accepted.append(start)
        return accepted


async def _wait_and_cancel(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()

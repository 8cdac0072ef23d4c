"""Writes the journal of one partition, batching keys into conditional updates."""

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
    Refusal.STORE_UNAVAILABLE,
    Outcome.NOT_RUN,
    "the platform's store is away, so the key can not be recorded",
    int(STORE_RETRY_INTERVAL_MS),
)
UNREADABLE = Reject(
    Refusal.STORE_UNAVAILABLE,
    Outcome.NOT_RUN,
    "the journal of the key was written by a release too far from this one",
    60_000,
)
FULL = Reject(
    Refusal.KEY_FULL, Outcome.NOT_RUN, "the journal of the key is full", 60_000
)

log = get_logger("payments")


class _PendingCall:
    """A call that waits until its key is recorded."""

    def __init__(self, key: str, record: Record):
        self.key = key
        self.record = record
        self.n_conflicts = 0
        self.is_cancelled = False
        self.decision: CallDecision | None = None
        self.resolved = trio.Event()

    def resolve(self, decision: CallDecision) -> None:
        self.decision = decision
        self.resolved.set()


class Partition:
    """Records the keys of one partition at one agent.

    The conditional update alone ensures that a call runs at most once: a call is
    forwarded only after an update has added its record to a journal that had none for
    its key. Routing a partition to one agent only reduces the number of conflicts.

    Parameters
    ----------
    store, writer
        Where the journal is read and written.
    name : str
        Name of the journal's object in the store.
    owner : str
        This agent and its incarnation, as written in records.
    now_ms : callable
        Returns the wall-clock time.
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
        self._unavailable_until = 0.0
        self._rejection = STORE_UNAVAILABLE
        self._pending: list[_PendingCall] = []
        self._in_flight: dict[str, Record] = {}
        self._results: dict[str, Record] = {}
        self._released: set[str] = set()
        self._write_budget = RetryBudget(WRITES_PER_S, MAX_BURST_WRITES)
        self._call_arrived = trio.Event()
        self._result_arrived = trio.Event()

    @property
    def is_flushed(self) -> bool:
        """Whether the journal holds every result."""
        return not self._results

    async def begin(self, key: str, record: Record) -> CallDecision:
        """Record a key before its call is forwarded; returns the decision.

        After `Forward`, the caller must call `finish` or `release`.
        """
        existing = self._in_flight.get(key)
        if existing is not None:
            return decide(existing, record, in_flight=True)
        existing = self._results.get(key) or self._object.journal.records.get(key)
        if existing is not None and existing.state is not RecordState.STARTED:
            return decide(existing, record, in_flight=False)
        if trio.current_time() < self._unavailable_until:
            return self._rejection
        call = _PendingCall(key, record)
        self._in_flight[key] = record
        self._pending.append(call)
        self._call_arrived.set()
        try:
            await call.resolved.wait()
        except trio.Cancelled:
            call.is_cancelled = True
            self.release(key)
            raise
        assert call.decision is not None
        if not isinstance(call.decision, Forward):
            del self._in_flight[key]
        return call.decision

    def finish(self, key: str, result: Record) -> None:
        """Record the result of a call that was forwarded."""
        self._results[key] = result
        self._in_flight.pop(key, None)
        self._result_arrived.set()

    def release(self, key: str) -> None:
        """Remove the record of a call that was not forwarded and never will be."""
        self._in_flight.pop(key, None)
        self._released.add(key)
        self._result_arrived.set()

    async def run(self) -> None:
        """Write pending records and results until cancelled."""
        while True:
            await self._wait_for_work()
            # Under load, calls that arrive during this wait share the next update.
            await self._write_budget.wait()
            await self._commit()

    async def _wait_for_work(self) -> None:
        if self._pending:
            return
        if not self._results and not self._released:
            async with trio.open_nursery() as nursery:
                for event in (self._call_arrived, self._result_arrived):
                    nursery.start_soon(_wait_and_cancel, event, nursery.cancel_scope)
        backoff_s = max(0.0, self._unavailable_until - trio.current_time())
        with trio.move_on_after(max(RESULT_DELAY_MS / 1000, backoff_s)):
            await self._call_arrived.wait()

    async def _commit(self) -> None:
        self._call_arrived, self._result_arrived = trio.Event(), trio.Event()
        calls, self._pending = self._pending, []
        try:
            await self._load(calls)
            await self._write(calls)
            await self._object.delete_old_segment()
        except ConflictError as error:
            self._object.invalidate()
            self._requeue(calls, str(error))
        except FormatUnsupported as error:
            log.error("journal.unreadable", journal=self._name, reason=str(error))
            self._reject_all(calls, UNREADABLE)
        except (StoreUnavailable, WriteUnknown) as error:
            log.warning(
                "journal.store_unavailable", journal=self._name, reason=str(error)
            )
            self._reject_all(calls, STORE_UNAVAILABLE)

    def _reject_all(self, calls: list[_PendingCall], decision: Reject) -> None:
        """Refuse all waiting calls, and new ones until the store is tried again."""
        self._object.invalidate()
        self._rejection = decision
        self._unavailable_until = trio.current_time() + STORE_RETRY_INTERVAL_MS / 1000
        # An update with an unknown outcome may have written their records.
        self._released.update(call.key for call in calls)
        for call in [*calls, *self._pending]:
            if call.decision is None:
                call.resolve(decision)
        self._pending.clear()

    def _requeue(self, calls: list[_PendingCall], reason: str) -> None:
        """Requeue calls whose update conflicted with one of another agent."""
        log.info(
            "journal.conflict", journal=self._name, n_keys=len(calls), reason=reason
        )
        for call in calls:
            call.n_conflicts += 1
            if call.decision is not None or call.is_cancelled:
                continue
            if call.n_conflicts < MAX_CONFLICTS:
                self._pending.append(call)
                self._call_arrived.set()
            else:
                call.resolve(STORE_UNAVAILABLE)

    async def _load(self, calls: list[_PendingCall]) -> None:
        """Read the journal unless the cached version can be used."""
        is_stale = trio.current_time() - self._loaded_at > RELOAD_INTERVAL_MS / 1000
        if self._object.is_loaded and not (is_stale and self._may_be_outdated(calls)):
            return
        await self._object.load()
        self._loaded_at = trio.current_time()

    def _may_be_outdated(self, calls: list[_PendingCall]) -> bool:
        """Return whether another agent may have finished one of the calls since."""
        records = [self._object.journal.records.get(call.key) for call in calls]
        return any(r is not None and r.state is RecordState.STARTED for r in records)

    async def _write(self, calls: list[_PendingCall]) -> None:
        found = {call.key: await self._object.find(call.key) for call in calls}
        results, released = dict(self._results), set(self._released)
        journal = await self._object.next_journal()
        records = journal.records
        for key in released - self._in_flight.keys():
            if key in records and self._was_started_here(records[key]):
                del records[key]
        records.update(results)
        accepted = self._admit(journal, calls, found)
        if journal != self._object.journal:
            await self._object.replace(journal)
        for key, result in results.items():
            if self._results.get(key) == result:
                del self._results[key]
        self._released -= released
        for call in accepted:
            call.resolve(Forward())

    def _was_started_here(self, record: Record) -> bool:
        return record.state is RecordState.STARTED and record.owner == self._owner

    def _admit(
        self,
        journal: Journal,
        calls: list[_PendingCall],
        found: dict[str, Record | None],
    ) -> list[_PendingCall]:
        """Add the records of calls to forward; resolves all others."""
        accepted = []
        n_bytes = journal.n_bytes
        for call in calls:
            if call.is_cancelled:
                continue
            existing = journal.records.get(call.key) or found[call.key]
            decision = decide(existing, call.record, in_flight=False)
            if isinstance(decision, Forward) and n_bytes > MAX_JOURNAL_BYTES:
                decision = FULL
            if not isinstance(decision, Forward):
                call.resolve(decision)
                continue
            n_bytes += len(call.key) + 1000
            journal.records[call.key] = call.record
            accepted.append(call)
        return accepted


async def _wait_and_cancel(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()

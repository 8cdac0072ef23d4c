"""Stored object that holds the journal of one partition."""

from __future__ import annotations

from collections.abc import Callable

from ...errors import NotFound, StoreUnavailable
from ...state import ObjectStore
from ...state.writer import Writer
from ...telemetry import get_logger
from . import journal as journal_module
from .journal import Journal, Record
from .segments import KIND, STORE_TIMEOUT_MS, ClosedSegments, read_with_timeout

__all__ = ["JournalObject"]

log = get_logger("payments")


class JournalObject:
    """Reads and replaces a journal, and closes and deletes its segments.

    Each change is one conditional update of the journal's object. A segment is written
    before the update that lists it and is valid only after that update.

    Parameters
    ----------
    store, writer
        Where the journal is read and written.
    name : str
        Name of the journal's object in the store.
    now_ms : callable
        Returns the wall-clock time.
    """

    def __init__(
        self,
        store: ObjectStore,
        writer: Writer,
        name: str,
        now_ms: Callable[[], int],
    ):
        self.journal = Journal({})
        self._store = store
        self._writer = writer
        self._name = name
        self._now_ms = now_ms
        self._segments = ClosedSegments(store, writer, name)
        self._version: int | None = None
        self._unlisted: set[int] = set()
        self._deleted: set[int] = set()

    @property
    def is_loaded(self) -> bool:
        """Whether the cached journal may be used for the next update."""
        return self._version is not None

    def invalidate(self) -> None:
        """Drop the cached version, so that the journal is read again."""
        self._version = None

    async def load(self) -> None:
        """Read the journal and index its segments."""
        self._version = None
        try:
            stored = await read_with_timeout(self._store, self._name)
            journal, version = Journal.from_spec(stored.spec), stored.version
        except NotFound:
            journal, version = Journal({}), 0
        await self._segments.load(journal.segments, self._now_ms())
        self.journal, self._version = journal, version

    async def find(self, key: str) -> Record | None:
        """Return the record of a key, from the journal or a segment."""
        record = self.journal.records.get(key)
        return await self._segments.find(key) if record is None else record

    async def next_journal(self) -> Journal:
        """Return the journal for the next update, pruned and with a segment closed."""
        assert self._version is not None
        journal = self.journal
        is_segment_due = (
            journal.n_bytes > journal.segment_bytes and journal.finished_records()
        )
        if is_segment_due and len(journal.segments) < journal_module.MAX_SEGMENTS:
            number = self._version
            journal, content = journal.close_segment(number)
            self._unlisted.add(number)
            await self._segments.write(number, content)
        return journal.without_segments(self._deleted).pruned(self._now_ms())

    async def replace(self, journal: Journal) -> None:
        """Replace the stored journal by a conditional update."""
        assert self._version is not None
        stored = await self._writer.put(
            KIND, self._name, journal.to_spec(), self._version, STORE_TIMEOUT_MS
        )
        self.journal, self._version = journal, stored.version
        self._deleted &= {segment.number for segment in journal.segments}

    async def delete_old_segment(self) -> None:
        """Delete one segment that has expired or can never be listed.

        A segment's number is the version that is replaced by the update listing it.
        Once the object has a later version that does not list it, no update will.
        """
        if self._version is None:
            return
        listed = {segment.number for segment in self.journal.segments}
        orphans = {n for n in self._unlisted if n < self._version} - listed
        expired = {
            segment.number
            for segment in self.journal.segments
            if segment.is_expired(self._now_ms() - journal_module.DELETION_DELAY_MS)
        }
        for number in sorted(orphans | expired - self._deleted)[:1]:
            try:
                await self._segments.delete(number)
            except StoreUnavailable as error:
                log.info(
                    "segment.deletion_failed", journal=self._name, reason=str(error)
                )
                return
            self._unlisted.discard(number)
            if number in expired:
                self._deleted.add(number)
        self._unlisted -= listed

"""The object of the store that holds the journal of one partition."""

from __future__ import annotations

from collections.abc import Callable

from ...errors import NotFound, StoreUnavailable
from ...state import ObjectStore
from ...state.writer import Writer
from ...telemetry import get_logger
from . import journal as limits
from .journal import Journal, Record
from .segments import KIND, STORE_TIMEOUT_MS, ClosedSegments, read_with_timeout

__all__ = ["JournalObject"]

log = get_logger("payments")


class JournalObject:
    """Reads and replaces a journal, and closes and deletes its segments.

    Every decision is one conditional update of the journal's object. A segment is
    written before the update that names it, and counts only from that update on.

    Parameters
    ----------
    store, writer
        Where the journal is read and written.
    name : str
        Name of the journal's object.
    now_ms : callable
        Returns the wall clock's time.
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
        self._unnamed: set[int] = set()
        self._deleted: set[int] = set()

    @property
    def is_loaded(self) -> bool:
        """Whether the journal is known as the store last had it."""
        return self._version is not None

    def invalidate(self) -> None:
        """Read the journal again before the next update."""
        self._version = None

    async def load(self) -> None:
        """Read the journal and all its segments."""
        self._version = None
        try:
            found = await read_with_timeout(self._store, self._name)
            journal, version = Journal.from_spec(found.spec), found.version
        except NotFound:
            journal, version = Journal({}), 0
        await self._segments.load(journal.segments, self._now_ms())
        self.journal, self._version = journal, version

    async def find(self, key: str) -> Record | None:
        """Return the record of a key, from the journal or a segment."""
        held = self.journal.records.get(key)
        return await self._segments.find(key) if held is None else held

    async def next_journal(self) -> Journal:
        """Return the journal to go on with, without what is too old or too much."""
        assert self._version is not None
        journal = self.journal
        is_long = journal.n_bytes > journal.segment_bytes and journal.finished_records()
        if is_long and len(journal.segments) < limits.MAX_SEGMENTS:
            number = self._version
            journal, content = journal.close_segment(number)
            self._unnamed.add(number)
            await self._segments.write(number, content)
        return journal.without_segments(self._deleted).pruned(self._now_ms())

    async def replace(self, journal: Journal) -> None:
        """Put a journal in the place of the one that was read."""
        assert self._version is not None
        stored = await self._writer.put(
            KIND, self._name, journal.to_spec(), self._version, STORE_TIMEOUT_MS
        )
        self.journal, self._version = journal, stored.version
        self._deleted &= {segment.number for segment in journal.segments}

    async def delete_old_segment(self) -> None:
        """Delete a segment that has expired, or that no journal will ever name.

        A segment's number is the version that the update naming it replaces, so
        once the object has a later version without it, none will.
        """
        if self._version is None:
            return
        named = {segment.number for segment in self.journal.segments}
        orphans = {n for n in self._unnamed if n < self._version} - named
        expired = {
            segment.number
            for segment in self.journal.segments
            if segment.is_expired(self._now_ms() - limits.DELETION_DELAY_MS)
        }
        for number in sorted(orphans | expired - self._deleted)[:1]:
            try:
                await self._segments.delete(number)
            except StoreUnavailable as error:
                log.info("journal.not_deleted", journal=self._name, reason=str(error))
                return
            self._unnamed.discard(number)
            if number in expired:
                self._deleted.add(number)
        self._unnamed -= named

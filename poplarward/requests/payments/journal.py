"""Journal of one partition: what is known of the calls of its keys.

The journal's object holds the newest records and names the closed segments: objects
of their own, which are never changed, with the records of calls that have ended. A
segment is named by the version of the journal's object whose ended records it holds,
so its content follows from its name, and any number of agents may write it.
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from ...protocol.requests import Submit
from ...state.formats import check_format
from ...state.writer import OPERATIONS_KEY

__all__ = ["Journal", "Record", "RecordState", "Segment", "digest_of"]

FORMAT_VERSION = 2
RETENTION_MS = 24 * 3600 * 1000
MAX_JOURNAL_BYTES = 900_000
# Agents' clocks may differ by minutes.
DELETION_DELAY_MS = 600_000
MAX_RECORDED_BODY_BYTES = 2048
RECORD_OVERHEAD_BYTES = 160
SEGMENT_BYTES = 32_000
SEGMENTS_PER_STEP = 100
MAX_SEGMENTS = 1_000
N_RECORD_VALUES = 8
KNOWN_KEYS = frozenset({"format", "records", "open", "segments", OPERATIONS_KEY})


class RecordState(StrEnum):
    """How far the call of a key has come."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"


class Record(NamedTuple):
    """What is known of the call of a key.

    Attributes
    ----------
    digest : str
        Digest of the request, to tell another request with the same key.
    owner : str
        Agent and start that runs the call.
    state : RecordState
    at_ms : int
        When the call was started, by the agent's wall clock.
    status, content_type, body
        The recorded answer. A body that is too long is not kept; `is_body_omitted`
        tells.
    later : tuple
        Values that a later format added; kept as they are.
    """

    digest: str
    owner: str
    state: RecordState
    started_at_ms: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_body_omitted: bool = False
    unknown_values: tuple[Any, ...] = ()

    @property
    def n_bytes(self) -> int:
        """Estimate of its size in an object, without its key."""
        return len(self.body) * 4 // 3 + RECORD_OVERHEAD_BYTES

    def to_values(self) -> list[Any]:
        """Return the record as the content of an object."""
        body = base64.b64encode(self.body).decode()
        return [*self[:6], body, self.is_body_omitted, *self.unknown_values]

    @classmethod
    def from_values(cls, values: list[Any]) -> Record:
        """Read a record from the content of an object."""
        return cls(
            values[0],
            values[1],
            RecordState(values[2]),
            *values[3:6],
            base64.b64decode(values[6]),
            values[7],
            tuple(values[N_RECORD_VALUES:]),
        )

    def with_response(self, status: int, content_type: str, body: bytes) -> Record:
        """Return the record of a call that has ended with an answer."""
        is_cut = len(body) > MAX_RECORDED_BODY_BYTES
        return self._replace(
            state=RecordState.DONE,
            status=status,
            content_type=content_type,
            body=b"" if is_cut else body,
            is_body_omitted=is_cut,
        )


class Segment(NamedTuple):
    """A closed segment, as the journal names it.

    Attributes
    ----------
    number : int
        Version of the journal's object whose ended records the segment holds.
    newest_at_ms : int
        When the last of its calls was started.
    n_records : int
    later : tuple
        Values that a later format added; kept as they are.
    """

    number: int
    last_started_at_ms: int
    n_records: int
    unknown_values: tuple[Any, ...] = ()

    def is_expired(self, now_ms: int) -> bool:
        """Return whether none of its keys is kept any more."""
        return self.last_started_at_ms <= now_ms - RETENTION_MS


class Journal(NamedTuple):
    """Records by workspace and key, as one object of the store holds them.

    Attributes
    ----------
    records : dict
        The newest records; they go before those in segments.
    segments : tuple of Segment
        Closed segments, oldest first.
    later : tuple
        Fields that a later format added, with the format; kept as they are.
    """

    records: dict[str, Record]
    segments: tuple[Segment, ...] = ()
    unknown_fields: tuple[tuple[str, Any], ...] = ()

    def pruned(self, now_ms: int) -> Journal:
        """Return the journal without records past their time."""
        kept = {
            k: r
            for k, r in self.records.items()
            if r.started_at_ms > now_ms - RETENTION_MS
        }
        return self._replace(records=kept)

    def without_segments(self, deleted: set[int]) -> Journal:
        """Return the journal without segments that were deleted."""
        kept = tuple(s for s in self.segments if s.number not in deleted)
        return self._replace(segments=kept)

    @property
    def n_bytes(self) -> int:
        """Estimate of the size of its records."""
        return sum(len(key) + r.n_bytes for key, r in self.records.items())

    @property
    def segment_bytes(self) -> int:
        """Size from which a segment is closed: greater where there are many."""
        return SEGMENT_BYTES * (1 + len(self.segments) // SEGMENTS_PER_STEP)

    def finished_records(self) -> dict[str, Record]:
        """Return the records that will never change."""
        return {
            key: record
            for key, record in self.records.items()
            if record.state is not RecordState.STARTED
        }

    def close_segment(self, version: int) -> tuple[Journal, Journal]:
        """Split the journal that an object holds at a version.

        Returns the journal that names the segment, and the segment's content.
        """
        ended = self.finished_records()
        started = {k: r for k, r in self.records.items() if k not in ended}
        newest_at_ms = max(record.started_at_ms for record in ended.values())
        segment = Segment(version, newest_at_ms, len(ended))
        segments = (*self.segments, segment)
        return self._replace(records=started, segments=segments), Journal(ended)

    def to_spec(self) -> dict[str, Any]:
        """Return the journal as the content of an object."""
        records = {key: record.to_values() for key, record in self.records.items()}
        return {
            "format": FORMAT_VERSION,
            "open": records,
            "segments": [[*each[:3], *each.unknown_values] for each in self.segments],
            **dict(self.unknown_fields),
        }

    @classmethod
    def from_spec(cls, spec: Mapping[str, Any]) -> Journal:
        """Read the content of an object; raises `FormatUnsupported`."""
        found_format = check_format("a journal", spec, FORMAT_VERSION)
        # The records of the first format have another name, so that processes that
        # know only that format can't take a journal for one without segments.
        values = spec["records" if found_format == 1 else "open"]
        records = {key: Record.from_values(each) for key, each in values.items()}
        segments = tuple(
            Segment(*each[:3], tuple(each[3:])) for each in spec.get("segments", ())
        )
        later = {k: v for k, v in spec.items() if k not in KNOWN_KEYS}
        if found_format > FORMAT_VERSION:
            later["format"] = found_format
        return cls(records, segments, tuple(later.items()))


def digest_of(submit: Submit) -> str:
    """Return the digest of what a call asks for."""
    digest = hashlib.sha256()
    for part in (submit.method.encode(), submit.path.encode(), submit.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:32]

"""Journal of one partition: the records of its keys' calls.

The journal's object holds the newest records and lists the closed segments. These are
immutable objects with the records of finished calls. A segment is named by the version
of the journal's object whose finished records it holds. Its name thus determines its
content, and several agents may write it concurrently.
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
# Allows for agents' clocks that differ by minutes.
DELETION_DELAY_MS = 600_000
MAX_RECORDED_BODY_BYTES = 2048
RECORD_OVERHEAD_BYTES = 160
SEGMENT_BYTES = 32_000
SEGMENTS_PER_STEP = 100
MAX_SEGMENTS = 1_000
N_RECORD_VALUES = 8
KNOWN_KEYS = frozenset({"format", "records", "open", "segments", OPERATIONS_KEY})


class RecordState(StrEnum):
    """Progress of the call of a key."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"


class Record(NamedTuple):
    """Record of the call of a key.

    Attributes
    ----------
    digest : str
        Digest of the request, which detects another request with the same key.
    owner : str
        Agent and incarnation that runs the call.
    state : RecordState
    started_at_ms : int
        When the call was started, by the agent's wall clock.
    status, content_type, body
        The recorded response.
    is_body_omitted : bool
        Whether the body was too long to be recorded.
    unknown_values : tuple
        Values added by a newer format; preserved on write.
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
        """Estimated size in the stored object, without the key."""
        return len(self.body) * 4 // 3 + RECORD_OVERHEAD_BYTES

    def to_values(self) -> list[Any]:
        """Encode the record for the stored object."""
        body = base64.b64encode(self.body).decode()
        return [*self[:6], body, self.is_body_omitted, *self.unknown_values]

    @classmethod
    def from_values(cls, values: list[Any]) -> Record:
        """Decode a record from the stored object."""
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
        """Return the record of the call after it was responded to."""
        is_cut = len(body) > MAX_RECORDED_BODY_BYTES
        return self._replace(
            state=RecordState.DONE,
            status=status,
            content_type=content_type,
            body=b"" if is_cut else body,
            is_body_omitted=is_cut,
        )


class Segment(NamedTuple):
    """Entry of a closed segment in the journal.

    Attributes
    ----------
    number : int
        Version of the journal's object whose finished records the segment holds.
    last_started_at_ms : int
        When the newest of its calls was started.
    n_records : int
    unknown_values : tuple
        Values added by a newer format; preserved on write.
    """

    number: int
    last_started_at_ms: int
    n_records: int
    unknown_values: tuple[Any, ...] = ()

    def is_expired(self, now_ms: int) -> bool:
        """Return whether all its keys are past the retention time."""
        return self.last_started_at_ms <= now_ms - RETENTION_MS


class Journal(NamedTuple):
    """Records by workspace and key, as stored in one object.

    Attributes
    ----------
    records : dict
        The newest records; they take precedence over those in segments.
    segments : tuple of Segment
        Closed segments, oldest first.
    unknown_fields : tuple
        Fields added by a newer format, and its version; preserved on write.
    """

    records: dict[str, Record]
    segments: tuple[Segment, ...] = ()
    unknown_fields: tuple[tuple[str, Any], ...] = ()

    def pruned(self, now_ms: int) -> Journal:
        """Return the journal without records past the retention time."""
        kept = {
            k: r
            for k, r in self.records.items()
            if r.started_at_ms > now_ms - RETENTION_MS
        }
        return self._replace(records=kept)

    def without_segments(self, deleted: set[int]) -> Journal:
        """Return the journal without the entries of deleted segments."""
        kept = tuple(s for s in self.segments if s.number not in deleted)
        return self._replace(segments=kept)

    @property
    def n_bytes(self) -> int:
        """Estimated size of the records in the stored object."""
        return sum(len(key) + r.n_bytes for key, r in self.records.items())

    @property
    def segment_bytes(self) -> int:
        """Size at which a segment is closed; grows with the number of segments."""
        return SEGMENT_BYTES * (1 + len(self.segments) // SEGMENTS_PER_STEP)

    def finished_records(self) -> dict[str, Record]:
        """Return the records of finished calls, which never change."""
        return {
            key: record
            for key, record in self.records.items()
            if record.state is not RecordState.STARTED
        }

    def close_segment(self, version: int) -> tuple[Journal, Journal]:
        """Move the finished records into a segment named by the object's version.

        Returns the journal that lists the segment, and the segment's content.
        """
        finished = self.finished_records()
        started = {k: r for k, r in self.records.items() if k not in finished}
        last_started_at_ms = max(record.started_at_ms for record in finished.values())
        segment = Segment(version, last_started_at_ms, len(finished))
        segments = (*self.segments, segment)
        return self._replace(records=started, segments=segments), Journal(finished)

    def to_spec(self) -> dict[str, Any]:
        """Encode the journal for the stored object."""
        records = {key: record.to_values() for key, record in self.records.items()}
        return {
            "format": FORMAT_VERSION,
            "open": records,
            "segments": [[*each[:3], *each.unknown_values] for each in self.segments],
            **dict(self.unknown_fields),
        }

    @classmethod
    def from_spec(cls, spec: Mapping[str, Any]) -> Journal:
        """Decode a journal; raises `FormatUnsupported` if its format is too new."""
        stored_format = check_format("a journal", spec, FORMAT_VERSION)
        # Format 1 has the records under another field name, so that processes that
        # support only format 1 can't read a journal and miss its segments.
        values = spec["records" if stored_format == 1 else "open"]
        records = {key: Record.from_values(each) for key, each in values.items()}
        segments = tuple(
            Segment(*each[:3], tuple(each[3:])) for each in spec.get("segments", ())
        )
        unknown_fields = {k: v for k, v in spec.items() if k not in KNOWN_KEYS}
        if stored_format > FORMAT_VERSION:
            unknown_fields["format"] = stored_format
        return cls(records, segments, tuple(unknown_fields.items()))


def digest_of(submit: Submit) -> str:
    """Return the digest of a call's method, path and body."""
    digest = hashlib.sha256()
    for part in (submit.method.encode(), submit.path.encode(), submit.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:32]

"""Journal of one partition: what is known of the calls of its keys."""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from ...protocol.requests import Submit

__all__ = ["Journal", "Record", "RecordState", "digest_of"]

FORMAT_VERSION = 1
KEEP_MS = 24 * 3600 * 1000
MAX_JOURNAL_BYTES = 900_000
MAX_RECORDED_ANSWER_BYTES = 2048
RECORD_OVERHEAD_BYTES = 160


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
        The recorded answer. A body that is too long is not kept; `is_cut` tells.
    """

    digest: str
    owner: str
    state: RecordState
    at_ms: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_cut: bool = False

    def with_answer(self, status: int, content_type: str, body: bytes) -> Record:
        """Return the record of a call that has ended with an answer."""
        is_cut = len(body) > MAX_RECORDED_ANSWER_BYTES
        return self._replace(
            state=RecordState.DONE,
            status=status,
            content_type=content_type,
            body=b"" if is_cut else body,
            is_cut=is_cut,
        )


class Journal(NamedTuple):
    """Records by workspace and key, as one object of the store holds them."""

    records: dict[str, Record]

    def pruned(self, now_ms: int) -> Journal:
        """Return the journal without records past their time."""
        kept = {k: r for k, r in self.records.items() if r.at_ms > now_ms - KEEP_MS}
        return Journal(kept)

    @property
    def n_bytes(self) -> int:
        """Estimate of the object's size."""
        return sum(
            len(key) + len(record.body) * 4 // 3 + RECORD_OVERHEAD_BYTES
            for key, record in self.records.items()
        )

    def to_spec(self) -> dict[str, Any]:
        """Return the journal as the content of an object."""
        records = {
            key: [
                *record[:6],
                base64.b64encode(record.body).decode(),
                record.is_cut,
            ]
            for key, record in self.records.items()
        }
        return {"format": FORMAT_VERSION, "records": records}

    @classmethod
    def from_spec(cls, spec: Mapping[str, Any]) -> Journal:
        """Read the content of an object; fields of later versions are ignored."""
        records = {
            key: Record(
                values[0],
                values[1],
                RecordState(values[2]),
                *values[3:6],
                base64.b64decode(values[6]),
                values[7],
            )
            for key, values in spec["records"].items()
        }
        return cls(records)


def digest_of(submit: Submit) -> str:
    """Return the digest of what a call asks for."""
    digest = hashlib.sha256()
    for part in (submit.method.encode(), submit.path.encode(), submit.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:32]

"""Table of the records of all processes, and their order by age."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ...protocol.heartbeats import MemberRecord, MemberState

__all__ = ["MemberTable", "is_newer"]

N_PARTS = 64

_SEVERITY = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.GONE: 3,
}


def is_newer(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether a record supersedes the known one.

    A suspicion stands until the process itself receives it and refutes it with a
    greater incarnation.
    """
    if known is None:
        return True
    return _order(record) > _order(known)


def _order(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, _SEVERITY[record.state]


def _part(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % N_PARTS


def _record_hash(record: MemberRecord) -> int:
    text = f"{record.name}\0{record.incarnation}\0{record.state}"
    return xxhash.xxh3_64_intdigest(text.encode())


class MemberTable:
    """Records by name, with digests for comparison between processes.

    The digest of a part is the exclusive or of the hashes of its records, so the cost
    of a change does not depend on the size of the table.
    """

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self._digests = [0] * N_PARTS

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merge the records that are newer, and return those."""
        changed = []
        for record in records:
            known = self.records.get(record.name)
            # Other entry hosts may still have the record of an expired process.
            if known is None and record.state is MemberState.GONE:
                continue
            if not is_newer(record, known):
                continue
            if known is not None:
                self._digests[_part(known.name)] ^= _record_hash(known)
            self._digests[_part(record.name)] ^= _record_hash(record)
            self.records[record.name] = record
            changed.append(record)
        return changed

    def forget(self, name: str) -> None:
        """Remove a record."""
        known = self.records.pop(name)
        self._digests[_part(name)] ^= _record_hash(known)

    def digest(self) -> bytes:
        """Return the digest of the whole table."""
        return xxhash.xxh3_64_digest(b"".join(self.part_digests()))

    def part_digests(self) -> list[bytes]:
        """Return the digest of each part."""
        return [digest.to_bytes(8, "big") for digest in self._digests]

    def differing(self, part_digests: list[bytes]) -> list[MemberRecord]:
        """Return the records of the parts whose digests differ from those given."""
        pairs = zip(self.part_digests(), part_digests, strict=False)
        parts = {i for i, (ours, theirs) in enumerate(pairs) if ours != theirs}
        return [r for r in self.records.values() if _part(r.name) in parts]

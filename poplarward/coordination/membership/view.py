"""View of the processes for the rest of the program."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ...protocol import ProcessIdentity
from ...protocol.heartbeats import MemberRecord, MemberState
from .reachability import Reachability
from .table import MemberTable

__all__ = ["Member", "MemberView", "identity_of"]


class Member(NamedTuple):
    """A process and its state, which determines whether it may be assigned work."""

    identity: ProcessIdentity
    state: MemberState
    callers_address: str


def identity_of(record: MemberRecord) -> ProcessIdentity:
    """Return the identity of the process of a record."""
    return ProcessIdentity(
        record.role, record.name, record.start_id, record.address, record.data_centre
    )


class MemberView:
    """Queries over all processes, with results cached until a change."""

    def __init__(self, table: MemberTable, reachability: Reachability):
        self._table = table
        self._reachability = reachability
        self._live: dict[tuple[str | None, str | None], list[Member]] = {}
        self._not_live: dict[str, frozenset[str]] = {}

    def clear(self) -> None:
        """Discard the cached results, after a change."""
        self._live.clear()
        self._not_live.clear()

    def members(self, role: str | None, data_centre: str | None) -> list[Member]:
        """Return the processes of a role and data centre, in any state."""
        return [self._member(record) for record in self._records(role, data_centre)]

    def live(self, role: str | None, data_centre: str | None) -> list[Member]:
        """Return the processes that may be assigned work."""
        key = role, data_centre
        if key not in self._live:
            unreachable = self._reachability.unreachable
            self._live[key] = [
                self._member(record)
                for record in self._records(role, data_centre)
                if record.state is MemberState.LIVE
                and record.data_centre not in unreachable
            ]
        return list(self._live[key])

    def not_live(self, role: str) -> frozenset[str]:
        """Return the names of the processes that may not be assigned work."""
        if role not in self._not_live:
            unreachable = self._reachability.unreachable
            self._not_live[role] = frozenset(
                record.name
                for record in self._records(role, None)
                if record.state is not MemberState.LIVE
                or record.data_centre in unreachable
            )
        return self._not_live[role]

    def gone(self, role: str) -> set[str]:
        """Return the names of the processes that are gone."""
        return {
            record.name
            for record in self._records(role, None)
            if record.state is MemberState.GONE
        }

    def _records(
        self, role: str | None, data_centre: str | None
    ) -> Iterable[MemberRecord]:
        records: Iterable[MemberRecord] = self._table.records.values()
        if role is not None:
            records = [record for record in records if record.role == role]
        if data_centre is not None:
            records = [r for r in records if r.data_centre == data_centre]
        return records

    def _member(self, record: MemberRecord) -> Member:
        state = record.state
        is_unreachable = record.data_centre in self._reachability.unreachable
        if state is MemberState.LIVE and is_unreachable:
            state = MemberState.SUSPECT
        return Member(identity_of(record), state, record.callers_address)

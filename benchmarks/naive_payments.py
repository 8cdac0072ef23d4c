"""Baseline for the payments journal: one stored object per idempotency key."""

from __future__ import annotations

from typing import Any

import trio

from poplarward.errors import ConflictError, NotFound, StoreUnavailable, WriteUnknown
from poplarward.protocol import Peers, ProcessIdentity
from poplarward.protocol.requests import Submit
from poplarward.requests.payments import (
    CallDecision,
    Forward,
    Journal,
    Record,
    RecordState,
)
from poplarward.requests.payments.decisions import decide
from poplarward.requests.payments.journal import digest_of
from poplarward.requests.payments.partition import STORE_UNAVAILABLE
from poplarward.state import ObjectStore
from poplarward.state.writer import Writer

__all__ = ["NaivePayments"]

KIND = "paymentkeys"
WRITE_TIMEOUT_MS = 1_500.0


class NaivePayments:
    """Baseline with the interface of `IdempotencyGuard`; stores one object per key."""

    def __init__(self, store: ObjectStore, identity: ProcessIdentity):
        self._store = store
        self._writer = Writer(store, identity.start_id)
        self._owner = f"{identity.name}:{identity.start_id:x}"
        self._versions: dict[str, int] = {}
        self._in_flight: dict[str, Record] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which results are written."""
        self._nursery = nursery

    def register(self, peers: Peers) -> None:
        """Do nothing, since this baseline issues no keys."""

    async def flush(self, timeout_ms: float) -> bool:
        """Return true; by design there is no buffer that could be lost."""
        return True

    async def begin(self, submit: Submit) -> CallDecision:
        """Create the object of the key, or decide by the existing one."""
        name, record = _name(submit), self._record(submit)
        if name in self._in_flight:
            return decide(self._in_flight[name], record, in_flight=True)
        self._in_flight[name] = record
        decision: CallDecision = STORE_UNAVAILABLE
        try:
            decision = await self._create(name, record)
        except (StoreUnavailable, WriteUnknown):
            pass
        finally:
            if not isinstance(decision, Forward):
                del self._in_flight[name]
        return decision

    async def _create(self, name: str, record: Record) -> CallDecision:
        try:
            stored = await self._put(name, record, 0)
        except ConflictError:
            pass
        else:
            self._versions[name] = stored.version
            return Forward()
        try:
            existing = await self._store.get(KIND, name)
        except NotFound:
            return STORE_UNAVAILABLE
        self._versions[name] = existing.version
        existing_record = Journal.from_spec(existing.spec).records[name]
        return decide(existing_record, record, in_flight=False)

    def finish(
        self, submit: Submit, status: int, content_type: str, body: bytes
    ) -> None:
        """Store the response of a call that ran."""
        record = self._record(submit).with_response(status, content_type, body)
        self._write_result(submit, record)

    def lose(self, submit: Submit) -> None:
        """Store that a call may have run and its outcome is unknown."""
        record = self._record(submit)._replace(state=RecordState.UNKNOWN)
        self._write_result(submit, record)

    def release(self, submit: Submit) -> None:
        """Delete the record of a call that was not forwarded."""
        assert self._nursery is not None
        self._nursery.start_soon(self._delete, _name(submit))

    async def _delete(self, name: str) -> None:
        try:
            await self._store.delete(KIND, name, self._versions[name])
        except (StoreUnavailable, ConflictError):
            pass
        self._in_flight.pop(name, None)

    def _write_result(self, submit: Submit, record: Record) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._put_result, _name(submit), record)

    async def _put_result(self, name: str, record: Record) -> None:
        try:
            await self._put(name, record, self._versions[name])
        except (StoreUnavailable, WriteUnknown, ConflictError):
            pass
        self._in_flight.pop(name, None)

    async def _put(self, name: str, record: Record, version: int) -> Any:
        spec = Journal({name: record}).to_spec()
        return await self._writer.put(KIND, name, spec, version, WRITE_TIMEOUT_MS)

    def _record(self, submit: Submit) -> Record:
        return Record(digest_of(submit), self._owner, RecordState.STARTED, 0)


def _name(submit: Submit) -> str:
    return f"{submit.workspace}.{submit.idempotency_key}"

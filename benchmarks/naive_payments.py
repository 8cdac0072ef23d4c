"""One record a key: the way that the journal of payments is compared with."""

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
    """Has the interface of `IdempotencyGuard`; every key is an object of its own."""

    def __init__(self, store: ObjectStore, identity: ProcessIdentity):
        self._store = store
        self._writer = Writer(store, identity.start_id)
        self._owner = f"{identity.name}:{identity.start_id:x}"
        self._versions: dict[str, int] = {}
        self._in_hand: dict[str, Record] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to write results."""
        self._nursery = nursery

    def register(self, peers: Peers) -> None:
        """Issue no keys."""

    async def flush(self, timeout_ms: float) -> bool:
        """Keep nothing that could be lost by design."""
        return True

    async def begin(self, submit: Submit) -> CallDecision:
        """Create the key's object, or judge the call by the one there is."""
        name, record = _name(submit), self._record(submit)
        if name in self._in_hand:
            return decide(self._in_hand[name], record, in_flight=True)
        self._in_hand[name] = record
        verdict: CallDecision = STORE_UNAVAILABLE
        try:
            verdict = await self._create(name, record)
        except (StoreUnavailable, WriteUnknown):
            pass
        finally:
            if not isinstance(verdict, Forward):
                del self._in_hand[name]
        return verdict

    async def _create(self, name: str, record: Record) -> CallDecision:
        try:
            stored = await self._put(name, record, 0)
        except ConflictError:
            pass
        else:
            self._versions[name] = stored.version
            return Forward()
        try:
            found = await self._store.get(KIND, name)
        except NotFound:
            return STORE_UNAVAILABLE
        self._versions[name] = found.version
        held = Journal.from_spec(found.spec).records[name]
        return decide(held, record, in_flight=False)

    def finish(
        self, submit: Submit, status: int, content_type: str, body: bytes
    ) -> None:
        """Write the answer of a call that ran."""
        record = self._record(submit).with_response(status, content_type, body)
        self._write_result(submit, record)

    def lose(self, submit: Submit) -> None:
        """Write that a call may have run."""
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
        self._in_hand.pop(name, None)

    def _write_result(self, submit: Submit, record: Record) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._put_result, _name(submit), record)

    async def _put_result(self, name: str, record: Record) -> None:
        try:
            await self._put(name, record, self._versions[name])
        except (StoreUnavailable, WriteUnknown, ConflictError):
            pass
        self._in_hand.pop(name, None)

    async def _put(self, name: str, record: Record, version: int) -> Any:
        spec = Journal({name: record}).to_spec()
        return await self._writer.put(KIND, name, spec, version, WRITE_TIMEOUT_MS)

    def _record(self, submit: Submit) -> Record:
        return Record(digest_of(submit), self._owner, RecordState.STARTED, 0)


def _name(submit: Submit) -> str:
    return f"{submit.workspace}.{submit.idempotency_key}"

"""Guard in front of an agent's upstream that runs each key's call at most once."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

from ...protocol import Connection, Peers, ProcessIdentity
from ...protocol.payments import IssueKey, KeyIssued
from ...protocol.requests import Submit
from ...state import ObjectStore
from ...state.writer import Writer
from .decisions import CallDecision
from .issued import IssuedCalls
from .journal import Record, RecordState, digest_of
from .keys import parse_issued_key, partition_of
from .partition import Partition

__all__ = ["IdempotencyGuard"]

FLUSH_POLL_MS = 20.0


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)


class IdempotencyGuard:
    """Runs the call of each idempotency key of a plain service at most once.

    Parameters
    ----------
    store : ObjectStore
        Store of the journals.
    identity : ProcessIdentity
        Identity of the agent.
    service : str
        Name of the plain service.
    seed : int
        Seed of the jitter between attempts to write.
    now_ms : callable
        Returns the wall-clock time. The clocks of a service's agents may differ by
        minutes.
    """

    def __init__(
        self,
        store: ObjectStore,
        identity: ProcessIdentity,
        service: str,
        seed: int = 0,
        now_ms: Callable[[], int] = wall_clock_ms,
    ):
        self._store = store
        self._writer = Writer(store, seed)
        self._service = service
        self._owner = f"{identity.name}:{identity.start_id:x}"
        self._now_ms = now_ms
        self._issued = IssuedCalls(identity)
        self._partitions: dict[int, Partition] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which the partitions write their journals."""
        self._nursery = nursery

    async def flush(self, timeout_ms: float) -> bool:
        """Wait until the journals hold every result; returns False on time-out."""
        with trio.move_on_after(timeout_ms / 1000):
            while not all(p.is_flushed for p in self._partitions.values()):
                await trio.sleep(FLUSH_POLL_MS / 1000)
            return True
        return False

    def register(self, peers: Peers) -> None:
        """Register the handler of `IssueKey` requests from entry hosts."""
        peers.register(IssueKey, self._on_issue_key)

    async def begin(self, submit: Submit) -> CallDecision:
        """Record a call's key before the call is forwarded; returns the decision.

        After `Forward`, the caller must call `finish`, `mark_unknown` or `release`.
        """
        issued = parse_issued_key(submit.idempotency_key)
        if issued is not None:
            return self._issued.begin(
                _qualified_key(submit), issued, self._new_record(submit)
            )
        return await self._partition(submit).begin(
            _qualified_key(submit), self._new_record(submit)
        )

    def finish(
        self, submit: Submit, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the response to a call that ran."""
        record = self._new_record(submit).with_response(status, content_type, body)
        self._recorder(submit).finish(_qualified_key(submit), record)

    def mark_unknown(self, submit: Submit) -> None:
        """Record that a call may have run and that its response was lost."""
        record = self._new_record(submit)._replace(state=RecordState.UNKNOWN)
        self._recorder(submit).finish(_qualified_key(submit), record)

    def release(self, submit: Submit) -> None:
        """Remove the record of a call that was not forwarded and never will be."""
        self._recorder(submit).release(_qualified_key(submit))

    def _new_record(self, submit: Submit) -> Record:
        return Record(
            digest_of(submit), self._owner, RecordState.STARTED, self._now_ms()
        )

    def _recorder(self, submit: Submit) -> Partition | IssuedCalls:
        if parse_issued_key(submit.idempotency_key) is not None:
            return self._issued
        return self._partition(submit)

    def _partition(self, submit: Submit) -> Partition:
        number = partition_of(submit.workspace, submit.idempotency_key)
        partition = self._partitions.get(number)
        if partition is None:
            assert self._nursery is not None
            partition = self._partitions[number] = Partition(
                self._store,
                self._writer,
                f"{self._service}-{number:03d}",
                self._owner,
                self._now_ms,
            )
            self._nursery.start_soon(partition.run)
        return partition

    async def _on_issue_key(
        self, connection: Connection, request: IssueKey
    ) -> KeyIssued:
        return KeyIssued(self._issued.issue())


def _qualified_key(submit: Submit) -> str:
    """Return the key as the journal stores it, qualified by its workspace."""
    return f"{submit.workspace}/{submit.idempotency_key}"

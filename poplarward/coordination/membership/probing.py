"""Direct and indirect probes of a process."""

from __future__ import annotations

import random
from collections.abc import Sequence
from enum import Enum, auto

import trio

from ...errors import PoplarwardError
from ...protocol import Connection, Peers
from ...protocol.heartbeats import (
    IndirectProbe,
    IndirectProbeReply,
    MemberRecord,
    Probe,
    ProbeReply,
)
from .local_member import LocalMember

__all__ = ["Prober", "Stalled"]

PROBE_TIMEOUT_MS = 1000.0
STALL_MS = 300.0
N_HELPERS = 2


class Stalled(Enum):
    """Marks a probe as inconclusive because this process itself was stalled."""

    STALLED = auto()


class Prober:
    """Probes processes for an entry host, and on behalf of other entry hosts."""

    def __init__(self, peers: Peers, local_member: LocalMember, rng: random.Random):
        self._peers = peers
        self._local_member = local_member
        self._rng = rng
        peers.register(IndirectProbe, self._on_indirect)

    async def probe(self, known: MemberRecord) -> ProbeReply | Stalled | None:
        """Return the process's reply, None if there was none in time."""
        message = self._message(known)
        sent_at = trio.current_time()
        try:
            reply = await self._peers.call(known.address, message, PROBE_TIMEOUT_MS)
        except PoplarwardError:
            overrun_ms = (trio.current_time() - sent_at) * 1000 - PROBE_TIMEOUT_MS
            return Stalled.STALLED if overrun_ms > STALL_MS else None
        if reply.record.name != known.name:
            return None
        return reply

    async def probe_indirectly(
        self, known: MemberRecord, entry_hosts: Sequence[MemberRecord]
    ) -> MemberRecord | None:
        """Return the record that another entry host got from the process, if any."""
        records: list[MemberRecord] = []
        message = IndirectProbe(known.address, known.incarnation, known.state)

        async def query_helper(helper: MemberRecord, scope: trio.CancelScope) -> None:
            try:
                reply = await self._peers.call(
                    helper.address, message, 2 * PROBE_TIMEOUT_MS
                )
            except PoplarwardError:
                return
            if reply.record is not None and reply.record.name == known.name:
                records.append(reply.record)
                scope.cancel()

        helpers = self._rng.sample(entry_hosts, min(N_HELPERS, len(entry_hosts)))
        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(query_helper, helper, nursery.cancel_scope)
        return records[0] if records else None

    def _message(self, known: MemberRecord) -> Probe:
        digest = self._local_member.table_digest() if known.role == "entry" else b""
        return Probe(
            known.incarnation, known.state, self._local_member.status(), digest
        )

    async def _on_indirect(
        self, connection: Connection, request: IndirectProbe
    ) -> IndirectProbeReply:
        status = self._local_member.status()
        probe = Probe(request.incarnation, request.state, status)
        try:
            reply = await self._peers.call(request.address, probe, PROBE_TIMEOUT_MS)
        except PoplarwardError:
            return IndirectProbeReply(None)
        return IndirectProbeReply(reply.record)

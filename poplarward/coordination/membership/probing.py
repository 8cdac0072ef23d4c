"""Probes one process, directly and through others."""

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
    """This process itself was held up, so that silence says nothing of others."""

    STALLED = auto()


class Prober:
    """Probes processes for an entry host, and for others that ask it to."""

    def __init__(self, peers: Peers, presence: LocalMember, rng: random.Random):
        self._peers = peers
        self._presence = presence
        self._rng = rng
        peers.register(IndirectProbe, self._on_indirect)

    async def probe(self, held: MemberRecord) -> ProbeReply | Stalled | None:
        """Return the process's reply, None if it did not answer in time."""
        message = self._message(held)
        sent_at = trio.current_time()
        try:
            reply = await self._peers.call(held.address, message, PROBE_TIMEOUT_MS)
        except PoplarwardError:
            late_ms = (trio.current_time() - sent_at) * 1000 - PROBE_TIMEOUT_MS
            return Stalled.STALLED if late_ms > STALL_MS else None
        if reply.record.name != held.name:
            return None
        return reply

    async def probe_indirectly(
        self, held: MemberRecord, entries: Sequence[MemberRecord]
    ) -> MemberRecord | None:
        """Return the record that the process gave to one of a few other entry hosts."""
        found: list[MemberRecord] = []
        message = IndirectProbe(held.address, held.incarnation, held.state)

        async def ask(helper: MemberRecord, scope: trio.CancelScope) -> None:
            try:
                reply = await self._peers.call(
                    helper.address, message, 2 * PROBE_TIMEOUT_MS
                )
            except PoplarwardError:
                return
            if reply.record is not None and reply.record.name == held.name:
                found.append(reply.record)
                scope.cancel()

        helpers = self._rng.sample(entries, min(N_HELPERS, len(entries)))
        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(ask, helper, nursery.cancel_scope)
        return found[0] if found else None

    def _message(self, held: MemberRecord) -> Probe:
        digest = self._presence.table_digest() if held.role == "entry" else b""
        return Probe(held.incarnation, held.state, self._presence.status(), digest)

    async def _on_indirect(
        self, connection: Connection, request: IndirectProbe
    ) -> IndirectProbeReply:
        status = self._presence.status()
        probe = Probe(request.incarnation, request.state, status)
        try:
            reply = await self._peers.call(request.address, probe, PROBE_TIMEOUT_MS)
        except PoplarwardError:
            return IndirectProbeReply(None)
        return IndirectProbeReply(reply.record)

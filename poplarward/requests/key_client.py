"""Requests idempotency keys from agents of plain services."""

from __future__ import annotations

import random

from ..errors import CallRefused, PeerTimeout, PeerUnreachable, Refused
from ..protocol import Peers
from ..protocol.payments import IssueKey
from .retries import RETRY_AFTER_MS
from .routing import AgentView, Router

__all__ = ["KeyClient"]

ISSUE_TIMEOUT_MS = 1_000.0


class KeyClient:
    """Requests keys of calls that only the issuing agent may run.

    Parameters
    ----------
    peers, router
        The entry host's connections and its choice of agents.
    """

    def __init__(self, peers: Peers, router: Router):
        self._peers = peers
        self._router = router
        self._rng = random.Random(peers.identity.start_id)

    def _shuffled_agents(self, service: str) -> list[AgentView]:
        views = self._router.live_agents(service)
        return self._rng.sample(views, len(views))

    async def issue(self, service: str) -> str:
        """Return a new key; raises `Refused`."""
        for view in self._shuffled_agents(service):
            try:
                reply = await self._peers.call(
                    view.address, IssueKey(), ISSUE_TIMEOUT_MS
                )
                return reply.key
            except (PeerTimeout, PeerUnreachable, CallRefused):
                continue
        raise Refused(f"no upstream of {service} is live", RETRY_AFTER_MS)

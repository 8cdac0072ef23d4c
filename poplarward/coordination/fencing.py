"""Fencing: agents reject commands of a holder that has lost its lease.

This protects engines that ignore fencing numbers as well as those that check them,
since every command goes through the agent.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio

from ..errors import NotFound, PoplarwardError, StaleFence, StoreUnavailable
from ..protocol import Connection, Peers
from ..protocol.fences import FenceQuery, FenceReply
from ..state import ObjectStore
from ..telemetry import get_logger
from ..transport import Address
from .leases import LEASES_KIND, fence_of

__all__ = ["FenceGuard", "FenceSync"]

RETRY_INTERVAL_MS = 1000.0
QUERY_TIMEOUT_MS = 1000.0

log = get_logger("fencing")


class FenceGuard:
    """The greatest fencing number seen for one scope, such as a model group.

    Examples
    --------
    >>> guard = FenceGuard("drafts")
    >>> guard.learn(7)
    >>> guard.check(9)
    >>> guard.check(8)
    Traceback (most recent call last):
    ...
    poplarward.errors.StaleFence: drafts: fence 8 is older than 9
    """

    def __init__(self, scope: str):
        self.scope = scope
        self.greatest: int | None = None

    def learn(self, fence: int) -> None:
        """Record a number known to the store or to the scope's other agents."""
        self.greatest = max(fence, self.greatest or 0)

    def check(self, fence: int) -> None:
        """Check and record the number of a command; raises `StaleFence`.

        A newly started process has seen no number, so it rejects every command until
        it knows the greatest one.
        """
        if self.greatest is None:
            raise StaleFence(f"{self.scope}: the greatest fence is not known yet")
        if fence < self.greatest:
            raise StaleFence(
                f"{self.scope}: fence {fence} is older than {self.greatest}"
            )
        self.greatest = fence


class FenceSync:
    """Initializes a guard after a start, and serves its number to other agents.

    The number in the store is sufficient, as it is read after the start. If the store
    does not respond, the numbers of all other agents of the scope are sufficient
    together, because a command to the whole scope only takes effect once all of its
    agents have accepted it.

    Parameters
    ----------
    lease_name : str
        Lease that authorizes commands to the scope.
    peer_addresses : coroutine function
        Returns the addresses of all other agents of the scope, None if they are
        unknown.
    """

    def __init__(
        self,
        peers: Peers,
        store: ObjectStore,
        scope: str,
        lease_name: str,
        peer_addresses: Callable[[], Awaitable[Iterable[Address] | None]],
    ):
        self.guard = FenceGuard(scope)
        self.ready = trio.Event()
        self._peers = peers
        self._store = store
        self._lease_name = lease_name
        self._peer_addresses = peer_addresses
        peers.register(FenceQuery, self._on_query)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to determine the number."""
        nursery.start_soon(self._sync)

    async def _sync(self) -> None:
        while True:
            fence = await self._read_from_store()
            if fence is None:
                fence = await self._query_peers()
            if fence is not None:
                break
            await trio.sleep(RETRY_INTERVAL_MS / 1000)
        self.guard.learn(fence)
        self.ready.set()
        log.info("fence.learnt", scope=self.guard.scope, fence=self.guard.greatest)

    async def _read_from_store(self) -> int | None:
        try:
            return fence_of(await self._store.get(LEASES_KIND, self._lease_name))
        except NotFound:
            return 0
        except StoreUnavailable:
            return None

    async def _query_peers(self) -> int | None:
        """Return the greatest number of all peers, None unless all have replied."""
        addresses = await self._peer_addresses()
        if addresses is None:
            return None
        replies: list[int | None] = []

        async def query_peer(address: Address) -> None:
            message = FenceQuery(self.guard.scope)
            try:
                reply = await self._peers.call(address, message, QUERY_TIMEOUT_MS)
            except PoplarwardError:
                replies.append(None)
            else:
                replies.append(reply.fence)

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(query_peer, address)
        known = [fence for fence in replies if fence is not None]
        return max(known) if known and len(known) == len(replies) else None

    async def _on_query(self, connection: Connection, query: FenceQuery) -> FenceReply:
        known = query.scope == self.guard.scope
        return FenceReply(self.guard.greatest if known else None)

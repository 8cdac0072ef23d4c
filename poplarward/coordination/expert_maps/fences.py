"""Remembers the greatest fencing number of a group, on an agent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from ...errors import PeerTimeout, PeerUnreachable, PoplarwardError
from ...protocol import Peers
from ...protocol.expert_maps import GetHostState, HostState
from ...protocol.peers import CallRefused
from ...telemetry import get_logger
from ...transport import Address

__all__ = ["FenceMemory"]

RETRY_PAUSE_S = 0.5
ANSWER_TIMEOUT_MS = 500.0
NO_FENCE = -1

log = get_logger("fences")


class FenceMemory:
    """Greatest fencing number seen, unknown after a start until it was learnt.

    It is learnt from the platform's store, or from every other host of the group: a
    number that was in use before the start is known to all that were up then.

    Parameters
    ----------
    peers : Peers
        Links to the other hosts.
    group : str
        Name of the model group.
    read_fence : callable
        Returns the number that the store holds; raises a `PoplarwardError`.
    other_hosts : callable
        Addresses of the group's other hosts; empty while they are not known.
    """

    def __init__(
        self,
        peers: Peers,
        group: str,
        read_fence: Callable[[], Awaitable[int]],
        other_hosts: Callable[[], Sequence[Address]],
    ):
        self.greatest = NO_FENCE
        self._peers = peers
        self._group = group
        self._read_fence = read_fence
        self._other_hosts = other_hosts
        self._is_learnt = False

    @property
    def known(self) -> int | None:
        """The greatest number, or None until it was learnt."""
        return self.greatest if self._is_learnt else None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to learn the number."""
        nursery.start_soon(self._learn)

    def accepts(self, fence: int) -> bool:
        """Note a number and return whether its holder may give orders."""
        is_current = fence >= self.greatest
        self.greatest = max(self.greatest, fence)
        return is_current and self._is_learnt

    async def _learn(self) -> None:
        while not self._is_learnt:
            fence = await self._ask_store()
            if fence is None:
                fence = await self._ask_hosts()
            if fence is not None:
                self.greatest = max(self.greatest, fence)
                self._is_learnt = True
                log.info("fence.learnt", group=self._group, fence=self.greatest)
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def _ask_store(self) -> int | None:
        try:
            return await self._read_fence()
        except PoplarwardError as error:
            log.info("fence.store_unavailable", group=self._group, reason=str(error))
            return None

    async def _ask_hosts(self) -> int | None:
        """Return the greatest number, or None unless every host knows one."""
        addresses = self._other_hosts()
        found: list[int] = []

        async def ask(address: Address) -> None:
            try:
                question = GetHostState(self._group, NO_FENCE)
                reply = await self._peers.call(address, question, ANSWER_TIMEOUT_MS)
            except (PeerUnreachable, PeerTimeout, CallRefused):
                return
            if isinstance(reply, HostState) and reply.fence != NO_FENCE:
                found.append(reply.fence)

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask, address)
        is_complete = bool(addresses) and len(found) == len(addresses)
        return max(found) if is_complete else None

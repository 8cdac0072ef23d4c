"""Coordinator of changes to a group's expert map.

The coordinator first has every host stage the weights, which delays no step. It then
collects the hosts' votes on switching maps at a step a little ahead. From then on the
votes alone decide; the coordinator is only the first to collect them.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from typing import Any

import trio

from ...errors import (
    CallRefused,
    PeerTimeout,
    PeerUnreachable,
    StoreUnavailable,
    WriteUnknown,
)
from ...protocol import Peers
from ...protocol.expert_maps import (
    GetHostState,
    GetMap,
    HostState,
    MapContents,
    MapId,
    Member,
    PrepareMap,
    SlotChange,
    Staged,
    StageMap,
    Vote,
    VoteReply,
)
from ...telemetry import get_logger
from ..rebalancing import Move, apply_moves
from .record import MapRecord, RecordedMap
from .results import (
    OUTCOME_BY_DECISION,
    ChangeOutcome,
    ChangeResult,
    GroupHost,
    not_started,
)
from .votes import announce_decision, collect_votes, decide

__all__ = ["MapCoordinator"]

STATE_TIMEOUT_MS = 1000.0
STAGE_TIMEOUT_MS = 60_000.0
PREPARE_TIMEOUT_MS = 1000.0
VOTE_RETRY_INTERVAL_S = 0.2
LEAD_STEPS = 8

log = get_logger("maps")


class MapCoordinator:
    """Changes the map of one group while the group's lease is held.

    Parameters
    ----------
    peers : Peers
        Connections to the hosts of the group.
    group : str
        Name of the model group.
    fence : callable
        Returns the fencing number while the group's lease is held, otherwise None.
    hosts : callable
        Returns the known hosts of the group.
    n_ranks : callable
        Returns the number of ranks of the group; a change starts only if its hosts
        run all of them.
    record : MapRecord
        Record of the active map in the store.

    Attributes
    ----------
    current : RecordedMap or None
        The active map, once `load` has read it.
    preparing : MapId or None
        Attempt in progress.
    switch_delay_steps : int
        Steps between the request for votes and the switch.
    """

    def __init__(
        self,
        peers: Peers,
        group: str,
        fence: Callable[[], int | None],
        hosts: Callable[[], Sequence[GroupHost]],
        n_ranks: Callable[[], int],
        record: MapRecord,
        switch_delay_steps: int = LEAD_STEPS,
    ):
        self.current: RecordedMap | None = None
        self.preparing: MapId | None = None
        self.switch_delay_steps = switch_delay_steps
        self._peers = peers
        self._group = group
        self._fence = fence
        self._hosts = hosts
        self._n_ranks = n_ranks
        self._record = record
        self._attempts = itertools.count(1)
        self._is_recorded = False

    @property
    def is_leading(self) -> bool:
        """Whether the group's lease is held."""
        return self._fence() is not None

    @property
    def group(self) -> str:
        """Name of the model group."""
        return self._group

    async def load(self) -> bool:
        """Resolve attempts of earlier coordinators and read the active map.

        Returns False if a host does not respond or an attempt can't be resolved yet.
        """
        states = await self._resolved_states()
        if states is None:
            return False
        active = states[0].active
        if self.current is None or self.current.map_id != active:
            self.current = await self._read_map(active)
            self._is_recorded = False
        return self.current is not None

    async def change(self, moves: Sequence[Move], transfers: Any) -> ChangeResult:
        """Apply moves to the active map and activate the result on every host.

        Parameters
        ----------
        moves : sequence of Move
            Slots that are to hold another expert.
        transfers : sequence of Transfer
            The same moves, each with the rank that provides the weights.
        """
        fence = self._fence()
        if fence is None:
            return not_started("the lease is not held")
        if not await self.load() or self.current is None:
            return not_started("the state of the group is not known")
        if not await self._ensure_recorded():
            return not_started("the map in force is not recorded in the store")
        base = self.current.map_id
        map_id = MapId(base.version + 1, fence, next(self._attempts))
        self.preparing = map_id
        try:
            changes = [_slot_change(transfer) for transfer in transfers]
            reason = await self._stage(map_id, base, changes)
            if reason is not None:
                return ChangeResult(ChangeOutcome.ABORTED, map_id, reason)
            result = await self._vote(map_id, base)
        finally:
            self.preparing = None
        if result.outcome is ChangeOutcome.COMMITTED:
            layers = apply_moves(self.current.layers, moves)
            self.current = RecordedMap(map_id, layers)
            self._is_recorded = False
            await self._ensure_recorded()
        return result

    async def _stage(
        self, map_id: MapId, base: MapId, changes: list[SlotChange]
    ) -> str | None:
        """Stage the weights on every host; returns the reason if that failed."""
        request = StageMap(self._group, map_id, base, changes)
        replies = await self.call_hosts(request, STAGE_TIMEOUT_MS)
        for host, reply in replies.items():
            if not isinstance(reply, Staged) or not reply.is_staged:
                reason = getattr(reply, "reason", "no answer")
                return f"{host.name}: {reason}"
        return None

    async def _vote(self, map_id: MapId, base: MapId) -> ChangeResult:
        """Collect votes and resolve the attempt by them."""
        states = await self._states(map_id.fence)
        if states is None or self._fence() != map_id.fence:
            return ChangeResult(ChangeOutcome.ABORTED, map_id, "a host is away")
        members = [
            Member(host.name, state.start_id, str(host.address))
            for host, state in states.items()
        ]
        step = max(state.step for state in states.values()) + self.switch_delay_steps
        request = PrepareMap(self._group, map_id, base, step, members)
        replies = await self.call_hosts(request, PREPARE_TIMEOUT_MS)
        votes = [_vote_of(reply) for reply in replies.values()]
        reasons = [reply.reason for reply in replies.values() if _is_no(reply)]
        decision = decide(votes)
        while decision is None and self._fence() == map_id.fence:
            votes = await collect_votes(self._peers, self._group, map_id, members)
            decision = decide(votes)
            if decision is None:
                await trio.sleep(VOTE_RETRY_INTERVAL_S)
        if decision is None:
            reason = "the lease was lost; the hosts settle it"
            return ChangeResult(ChangeOutcome.UNSETTLED, map_id, reason)
        await announce_decision(self._peers, self._group, map_id, decision, members)
        outcome = OUTCOME_BY_DECISION[decision]
        log.info("map.settled", group=self._group, version=map_id.version, at=outcome)
        return ChangeResult(outcome, map_id, "; ".join(reasons))

    async def _resolved_states(self) -> list[HostState] | None:
        """Return the states of all hosts, None unless all use the same map."""
        fence = self._fence()
        states = None if fence is None else await self._states(fence)
        if states is None:
            return None
        for state in states.values():
            if state.undecided is not None:
                await self._resolve(state.undecided, state.members)
                return None
        is_resolved = all(state.pending is None for state in states.values())
        is_same = len({state.active for state in states.values()}) == 1
        return list(states.values()) if is_resolved and is_same else None

    async def _resolve(self, map_id: MapId, members: Sequence[Member]) -> None:
        """Announce the decision of an attempt, if the votes determine one."""
        decision = decide(
            await collect_votes(self._peers, self._group, map_id, members)
        )
        if decision is not None:
            await announce_decision(self._peers, self._group, map_id, decision, members)

    async def _states(self, fence: int) -> dict[GroupHost, HostState] | None:
        """Return the states of the hosts, None unless they cover all ranks."""
        request = GetHostState(self._group, fence)
        replies = await self.call_hosts(request, STATE_TIMEOUT_MS)
        if not all(isinstance(reply, HostState) for reply in replies.values()):
            return None
        ranks = [rank for state in replies.values() for rank in state.ranks]
        return replies if sorted(ranks) == list(range(self._n_ranks())) else None

    async def _read_map(self, active: MapId) -> RecordedMap | None:
        try:
            recorded = await self._record.read()
        except StoreUnavailable as error:
            log.info("map.store_unavailable", reason=str(error))
            recorded = None
        if recorded is not None and recorded.map_id == active:
            return recorded
        for host in self._hosts():
            reply = await self._call(host, GetMap(self._group), STATE_TIMEOUT_MS)
            if isinstance(reply, MapContents) and reply.map_id == active:
                layers = tuple(tuple(map(tuple, layer)) for layer in reply.layers)
                return RecordedMap(active, layers)
        return None

    async def _ensure_recorded(self) -> bool:
        """Record the active map; returns whether it is known to be in the store."""
        if self.current is not None and not self._is_recorded:
            try:
                await self._record.write(self.current)
                self._is_recorded = True
            except (StoreUnavailable, WriteUnknown) as error:
                log.info("map.not_recorded", group=self._group, reason=str(error))
        return self._is_recorded

    async def call_hosts(self, request: Any, timeout_ms: float) -> dict[GroupHost, Any]:
        """Call every host of the group; a reply of None means no response."""
        replies: dict[GroupHost, Any] = dict.fromkeys(self._hosts())

        async def call(host: GroupHost) -> None:
            replies[host] = await self._call(host, request, timeout_ms)

        async with trio.open_nursery() as nursery:
            for host in replies:
                nursery.start_soon(call, host)
        return replies

    async def _call(self, host: GroupHost, request: Any, timeout_ms: float) -> Any:
        try:
            return await self._peers.call(host.address, request, timeout_ms)
        except (PeerUnreachable, PeerTimeout, CallRefused) as error:
            log.info("map.no_answer", host=host.name, reason=str(error))
            return None


def _vote_of(reply: Any) -> Vote:
    return reply.vote if isinstance(reply, VoteReply) else Vote.UNKNOWN


def _is_no(reply: Any) -> bool:
    return isinstance(reply, VoteReply) and reply.vote is Vote.NO


def _slot_change(transfer: Any) -> SlotChange:
    source = -1 if transfer.source_rank is None else transfer.source_rank
    return SlotChange(*transfer.move, source)

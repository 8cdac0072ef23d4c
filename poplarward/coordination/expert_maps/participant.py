"""Participant in changes of the expert map, in the agent.

The participant votes for its host and carries out the decision. It has no persistent
state of its own: a ready vote is a hold in the engine, which a restarted participant
reads back. A no vote is lost in a restart, which is safe, since only the start of the
agent that the attempt names may vote ready.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import trio

from ...errors import (
    DecodeError,
    EngineRefused,
    EngineUnreachable,
    StaleFence,
    WeightsUnavailable,
)
from ...protocol import Connection, Peers
from ...protocol.expert_maps import (
    AskVote,
    Decided,
    Decision,
    GetHostState,
    HostState,
    MapId,
    PrepareMap,
    Staged,
    StageMap,
    Vote,
    VoteReply,
)
from ...telemetry import get_logger
from ..fencing import FenceSync
from .engine import EngineControl, EngineStatus
from .engine_votes import (
    decode_note,
    encode_note,
    other_members,
    relative_position,
    vote_from_status,
)
from .reports import register_reports
from .votes import announce_decision, collect_votes, decide

__all__ = ["MapParticipant"]

FIRST_VOTE_QUERY_DELAY_MS = 200.0
MAX_VOTE_QUERY_BACKOFF_MS = 1000.0
ENGINE_RETRY_INTERVAL_MS = 100.0
MAX_RECORDED_VOTES = 1000

log = get_logger("maps")


class MapParticipant:
    """Votes on changes of the map and carries out the decisions.

    Parameters
    ----------
    peers : Peers
        Connections to coordinators and to the other hosts of the group.
    group : str
        Name of the model group.
    engine : EngineControl
        The ranks of this host.
    fences : FenceSync
        Provides the greatest fencing number of the group.
    ranks : sequence of int
        Numbers of the ranks that this host runs.
    """

    def __init__(
        self,
        peers: Peers,
        group: str,
        engine: EngineControl,
        fences: FenceSync,
        ranks: Sequence[int],
    ):
        self._peers = peers
        self._group = group
        self._engine = engine
        self._fences = fences
        self._ranks = list(ranks)
        self._lock = trio.Lock()
        self._undecided: PrepareMap | None = None
        self._votes: OrderedDict[MapId, tuple[Vote, str]] = OrderedDict()
        self._nursery: trio.Nursery | None = None
        peers.register(StageMap, self._on_stage)
        peers.register(PrepareMap, self._on_prepare)
        peers.register(AskVote, self._on_ask_vote)
        peers.register(Decided, self._on_decided)
        peers.register(GetHostState, self._on_get_state)
        register_reports(peers, engine)

    @property
    def has_undecided_vote(self) -> bool:
        """Whether the host has voted ready and the decision is still unknown."""
        return self._undecided is not None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to resolve a hold of the engine; `fences` is started separately."""
        self._nursery = nursery
        nursery.start_soon(self._resume_at_start)

    async def _on_stage(self, connection: Connection, request: StageMap) -> Staged:
        map_id = request.map_id
        try:
            self._fences.guard.check(map_id.fence)
            status = await self._engine.status()
            if status.active != request.base or status.pending is not None:
                return Staged(map_id, False, f"the map in use is {status.active}")
            await self._engine.stage(map_id.fence, map_id, request.changes)
        except (
            EngineRefused,
            EngineUnreachable,
            StaleFence,
            WeightsUnavailable,
        ) as error:
            return Staged(map_id, False, f"{type(error).__name__}: {error}")
        return Staged(map_id, True)

    async def _on_prepare(
        self, connection: Connection, request: PrepareMap
    ) -> VoteReply:
        assert self._nursery is not None
        done = trio.Event()
        # Not in the connection's task: losing the connection must not interrupt a
        # command.
        self._nursery.start_soon(self._prepare, request, done)
        await done.wait()
        vote, reason = self._votes.get(request.map_id, (Vote.READY, ""))
        return VoteReply(request.map_id, vote, reason)

    async def _prepare(self, request: PrepareMap, done: trio.Event) -> None:
        """Vote on an attempt once; duplicate requests have no effect."""
        map_id = request.map_id
        async with self._lock:
            while map_id not in self._votes and not self._is_undecided(map_id):
                try:
                    await self._vote(request)
                except EngineUnreachable as error:
                    # The hold may be in place; do not vote until that is known.
                    log.warning("map.engine_unreachable", reason=str(error))
                    await trio.sleep(ENGINE_RETRY_INTERVAL_MS / 1000)
        done.set()

    async def _vote(self, request: PrepareMap) -> None:
        """Hold the ranks, which is a ready vote, or record a no vote."""
        map_id = request.map_id
        status = await self._engine.status()
        vote = vote_from_status(status, map_id)
        if vote is Vote.COMMITTED:
            self._record_vote(map_id, vote)
            return
        if vote is None:
            try:
                self._check(request, status)
                await self._engine.hold(
                    map_id.fence, map_id, request.step, encode_note(request)
                )
            except (EngineRefused, StaleFence) as error:
                self._record_vote(map_id, Vote.NO, str(error))
                log.info("map.refused", group=self._group, reason=str(error))
                return
        self._begin_resolving(request)

    def _check(self, request: PrepareMap, status: EngineStatus) -> None:
        """Raise `EngineRefused` or `StaleFence` if the host can't vote ready."""
        map_id = request.map_id
        own = self._peers.identity
        if all(member[:2] != (own.name, own.start_id) for member in request.members):
            raise EngineRefused("the attempt does not name this start of the agent")
        self._fences.guard.check(map_id.fence)
        if self._undecided is not None:
            raise EngineRefused(f"{self._undecided.map_id} is not decided")
        if status.active != request.base or status.pending is not None:
            raise EngineRefused(f"the map in use is {status.active}")

    def _is_undecided(self, map_id: MapId) -> bool:
        return self._undecided is not None and self._undecided.map_id == map_id

    async def _on_ask_vote(self, connection: Connection, request: AskVote) -> VoteReply:
        map_id = request.map_id
        if request.group != self._group:
            return VoteReply(map_id, Vote.UNKNOWN, "not a host of the group")
        async with self._lock:
            try:
                return VoteReply(map_id, await self._vote_on(map_id))
            except EngineUnreachable as error:
                return VoteReply(map_id, Vote.UNKNOWN, str(error))

    async def _vote_on(self, map_id: MapId) -> Vote:
        """Return the vote already given, or vote no."""
        if map_id in self._votes:
            return self._votes[map_id][0]
        vote = vote_from_status(await self._engine.status(), map_id)
        if vote is not Vote.READY:
            vote = vote or Vote.NO
            self._record_vote(map_id, vote, "asked before it was told to prepare")
        return vote

    async def _on_decided(self, connection: Connection, message: Decided) -> None:
        undecided = self._undecided
        if undecided is not None and undecided.map_id == message.map_id:
            assert self._nursery is not None
            self._nursery.start_soon(self._carry_out, undecided, message.decision)

    async def _on_get_state(
        self, connection: Connection, request: GetHostState
    ) -> HostState:
        try:
            self._fences.guard.check(request.fence)
        except StaleFence as error:
            log.info("map.stale_question", group=self._group, reason=str(error))
        status = await self._engine.status()
        if status.hold is not None and self._undecided is None:
            await self._resume()
        undecided = self._undecided
        return HostState(
            start_id=self._peers.identity.start_id,
            ranks=self._ranks,
            step=status.step,
            active=status.active,
            pending=status.pending,
            undecided=None if undecided is None else undecided.map_id,
            members=[] if undecided is None else undecided.members,
        )

    async def _resume_at_start(self) -> None:
        """Resume an attempt that an earlier start of the agent voted for."""
        while True:
            try:
                await self._resume()
                return
            except EngineUnreachable as error:
                log.warning("map.engine_unreachable", reason=str(error))
            await trio.sleep(ENGINE_RETRY_INTERVAL_MS / 1000)

    async def _resume(self) -> None:
        """Resume the attempt of a hold that this participant did not command."""
        async with self._lock:
            hold = (await self._engine.status()).hold
            if hold is None or self._undecided is not None:
                return
            try:
                request = decode_note(hold.note)
            except DecodeError as error:
                log.error("map.unreadable_hold", reason=str(error))
                return
            self._begin_resolving(request)

    def _begin_resolving(self, request: PrepareMap) -> None:
        assert self._nursery is not None
        self._undecided = request
        self._nursery.start_soon(self._resolve, request)

    async def _resolve(self, request: PrepareMap) -> None:
        """Collect the other hosts' votes until the decision is known."""
        others = other_members(request, self._peers.identity.name)
        # Delays differ, so that the first host to query can announce the decision.
        backoff_ms = FIRST_VOTE_QUERY_DELAY_MS * (
            1 + relative_position(request, self._peers.identity.name)
        )
        while True:
            await trio.sleep(backoff_ms / 1000)
            if self._undecided is not request:
                return
            votes = await collect_votes(
                self._peers, self._group, request.map_id, others
            )
            own, _ = self._votes.get(request.map_id, (Vote.READY, ""))
            decision = decide([own, *votes])
            if decision is not None:
                await self._carry_out(request, decision)
                await announce_decision(
                    self._peers, self._group, request.map_id, decision, others
                )
                return
            backoff_ms = min(2 * backoff_ms, MAX_VOTE_QUERY_BACKOFF_MS)

    async def _carry_out(self, request: PrepareMap, decision: Decision) -> None:
        """Release the engine; repeats the command until the engine has responded."""
        map_id = request.map_id
        while True:
            async with self._lock:
                if self._undecided is not request:
                    return
                try:
                    fence = max(map_id.fence, self._fences.guard.greatest or 0)
                    switch = decision is Decision.COMMIT
                    await self._engine.release(fence, map_id, switch)
                except (EngineUnreachable, EngineRefused) as error:
                    log.warning("map.release_failed", reason=str(error))
                else:
                    vote = Vote.COMMITTED if switch else Vote.NO
                    self._record_vote(map_id, vote)
                    self._undecided = None
                    log.info("map.decided", version=map_id.version, decision=decision)
                    return
            await trio.sleep(ENGINE_RETRY_INTERVAL_MS / 1000)

    def _record_vote(self, map_id: MapId, vote: Vote, reason: str = "") -> None:
        self._votes[map_id] = (vote, reason)
        if len(self._votes) > MAX_RECORDED_VOTES:
            self._votes.popitem(last=False)

"""The agent's part in a change of the expert map.

The keeper votes for its host and carries out what was decided. It keeps nothing
over a restart: a vote of ready is a hold in the engine, which a restarted keeper
reads back. A vote of no lasts as long as the keeper, which is enough, since only
the start of the agent that the attempt names may vote ready.
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
    position,
    vote_from_status,
)
from .reports import register_reports
from .votes import announce_decision, collect_votes, decide

__all__ = ["MapParticipant"]

ASK_AFTER_MS = 200.0
MAX_ASK_PAUSE_MS = 1000.0
ENGINE_RETRY_MS = 100.0
MAX_REMEMBERED_VOTES = 1000

log = get_logger("maps")


class MapParticipant:
    """Votes on changes of the map and carries out the decisions.

    Parameters
    ----------
    peers : Peers
        Links to coordinators and to the other hosts of the group.
    group : str
        Name of the model group.
    engine : EngineControl
        The ranks of this host.
    fences : FenceSync
        Greatest fencing number of the group.
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
        """Whether the host voted ready and does not know the decision."""
        return self._undecided is not None

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to settle what the engine holds; `fences` is started apart."""
        self._nursery = nursery
        nursery.start_soon(self._adopt_at_start)

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
        # Not in the connection's task: its loss must not cut off an order halfway.
        self._nursery.start_soon(self._prepare, request, done)
        await done.wait()
        vote, reason = self._votes.get(request.map_id, (Vote.READY, ""))
        return VoteReply(request.map_id, vote, reason)

    async def _prepare(self, request: PrepareMap, done: trio.Event) -> None:
        """Vote on an attempt, once; a doubled request changes nothing."""
        map_id = request.map_id
        async with self._lock:
            while map_id not in self._votes and not self._is_undecided(map_id):
                try:
                    await self._vote(request)
                except EngineUnreachable as error:
                    # The hold may be in place; no vote is given until that is known.
                    log.warning("map.engine_unreachable", reason=str(error))
                    await trio.sleep(ENGINE_RETRY_MS / 1000)
        done.set()

    async def _vote(self, request: PrepareMap) -> None:
        """Hold the ranks, which is a vote of ready, or note a vote of no."""
        map_id = request.map_id
        status = await self._engine.status()
        vote = vote_from_status(status, map_id)
        if vote is Vote.COMMITTED:
            self._remember(map_id, vote)
            return
        if vote is None:
            try:
                self._check(request, status)
                await self._engine.hold(
                    map_id.fence, map_id, request.step, encode_note(request)
                )
            except (EngineRefused, StaleFence) as error:
                self._remember(map_id, Vote.NO, str(error))
                log.info("map.refused", group=self._group, reason=str(error))
                return
        self._begin_settling(request)

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
        """Return the vote that was given, or vote no."""
        if map_id in self._votes:
            return self._votes[map_id][0]
        vote = vote_from_status(await self._engine.status(), map_id)
        if vote is not Vote.READY:
            vote = vote or Vote.NO
            self._remember(map_id, vote, "asked before it was told to prepare")
        return vote

    async def _on_decided(self, connection: Connection, news: Decided) -> None:
        undecided = self._undecided
        if undecided is not None and undecided.map_id == news.map_id:
            assert self._nursery is not None
            self._nursery.start_soon(self._carry_out, undecided, news.decision)

    async def _on_get_state(
        self, connection: Connection, request: GetHostState
    ) -> HostState:
        try:
            self._fences.guard.check(request.fence)
        except StaleFence as error:
            log.info("map.stale_question", group=self._group, reason=str(error))
        status = await self._engine.status()
        if status.hold is not None and self._undecided is None:
            await self._adopt()
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

    async def _adopt_at_start(self) -> None:
        """Settle an attempt that an earlier start of the agent voted for."""
        while True:
            try:
                await self._adopt()
                return
            except EngineUnreachable as error:
                log.warning("map.engine_unreachable", reason=str(error))
            await trio.sleep(ENGINE_RETRY_MS / 1000)

    async def _adopt(self) -> None:
        """Take over a hold that the engine has and this keeper did not order."""
        async with self._lock:
            hold = (await self._engine.status()).hold
            if hold is None or self._undecided is not None:
                return
            try:
                request = decode_note(hold.note)
            except DecodeError as error:
                log.error("map.unreadable_hold", reason=str(error))
                return
            self._begin_settling(request)

    def _begin_settling(self, request: PrepareMap) -> None:
        assert self._nursery is not None
        self._undecided = request
        self._nursery.start_soon(self._settle, request)

    async def _settle(self, request: PrepareMap) -> None:
        """Ask the other hosts for their votes until the decision is known."""
        others = other_members(request, self._peers.identity.name)
        # Spread, so that the first to ask can tell the others.
        pause_ms = ASK_AFTER_MS * (1 + position(request, self._peers.identity.name))
        while True:
            await trio.sleep(pause_ms / 1000)
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
            pause_ms = min(2 * pause_ms, MAX_ASK_PAUSE_MS)

    async def _carry_out(self, request: PrepareMap, decision: Decision) -> None:
        """Release the engine; repeats the order until the engine has answered."""
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
                    self._remember(map_id, vote)
                    self._undecided = None
                    log.info("map.decided", version=map_id.version, decision=decision)
                    return
            await trio.sleep(ENGINE_RETRY_MS / 1000)

    def _remember(self, map_id: MapId, vote: Vote, reason: str = "") -> None:
        self._votes[map_id] = (vote, reason)
        if len(self._votes) > MAX_REMEMBERED_VOTES:
            self._votes.popitem(last=False)

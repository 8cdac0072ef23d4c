"""Controller that balances load over the ranks of one model group.

It runs on the entry host that leads the group. At regular intervals it collects token
counts from the group's hosts, plans moves of experts whose benefit exceeds their cost,
and has the coordinator activate the new expert map.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from ..errors import DecodeError
from ..protocol.expert_maps import ExpertCounts, GetExpertCounts, RankCounts
from ..telemetry import GroupMetrics, get_logger
from .expert_maps import ChangeOutcome, ChangeResult, MapCoordinator
from .rebalancing import (
    CostModel,
    Layer,
    LoadEstimator,
    Plan,
    Planner,
    PlannerWeights,
    SpeedEstimator,
    rank_work,
)

__all__ = ["GroupController", "GroupState", "layer_counts"]

PLAN_INTERVAL_MS = 4000.0
COUNTS_TIMEOUT_MS = 1000.0

log = get_logger("groups")


class GroupState(NamedTuple):
    """State of a group as shown to operators.

    Attributes
    ----------
    is_leading : bool
        Whether this entry host leads the group; if not, the other fields are stale.
    preparing_version : int
        Version of the map that is being activated, 0 if there is none.
    skew : float
        Ratio of the step time to that without skew, by the latest estimates; 0 if
        there are none.
    reason : str
        Why the last map change was not committed, empty if it was.
    """

    name: str
    is_leading: bool
    map_version: int
    preparing_version: int
    frozen: bool
    skew: float
    n_experts_moved: int
    reason: str


class GroupController:
    """Observes the load of one group and changes its expert map while it leads it.

    Parameters
    ----------
    coordinator : MapCoordinator
        Carries out changes of the map.
    weights : PlannerWeights
        The deployment's weights of skew and of the cost of rebalancing.
    costs : CostModel
        Cost of moving expert weights in this group.
    is_frozen : callable
        Returns whether operators have stopped automatic moves.
    metrics : GroupMetrics, optional
        Metrics that record step time and skew.
    """

    def __init__(
        self,
        coordinator: MapCoordinator,
        weights: PlannerWeights,
        costs: CostModel,
        is_frozen: Callable[[], bool] = lambda: False,
        metrics: GroupMetrics | None = None,
    ):
        self._metrics = metrics
        self._last_step: tuple[int, float] | None = None
        self._is_frozen = is_frozen
        self._coordinator = coordinator
        self._planner = Planner(weights, costs)
        self._loads: LoadEstimator | None = None
        self._speeds: SpeedEstimator | None = None
        self._skew = 0.0
        self._n_moved = 0
        self._reason = ""
        self._change_lock = trio.Lock()
        self._scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to observe and rebalance the group."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop; the group's hosts resolve a change that is in progress."""
        self._scope.cancel()

    def state(self) -> GroupState:
        """Return the state of the group as shown to operators."""
        current, preparing = self._coordinator.current, self._coordinator.preparing
        return GroupState(
            name=self._coordinator.group,
            is_leading=self._coordinator.is_leading,
            map_version=0 if current is None else current.map_id.version,
            preparing_version=0 if preparing is None else preparing.version,
            frozen=self._is_frozen(),
            skew=self._skew,
            n_experts_moved=self._n_moved,
            reason=self._reason,
        )

    async def rebalance(self) -> ChangeResult | None:
        """Plan and carry out moves now; returns None if no moves are worthwhile.

        An operator may request this while automatic moves are frozen.
        """
        async with self._change_lock:
            if not await self._observe():
                reason = "the state of the group is not known"
                return ChangeResult(ChangeOutcome.NOT_STARTED, None, reason)
            plan = self._plan()
            return None if plan is None else await self._apply(plan)

    async def _run(self) -> None:
        with self._scope:
            while True:
                await trio.sleep(PLAN_INTERVAL_MS / 1000)
                if not self._coordinator.is_leading:
                    continue
                if not self._is_frozen():
                    await self.rebalance()
                else:
                    async with self._change_lock:
                        await self._observe()

    async def _observe(self) -> bool:
        """Update the estimates with the counts of the hosts that respond."""
        if not await self._coordinator.load():
            return False
        current = self._coordinator.current
        assert current is not None
        layers = current.layers
        n_experts = 1 + max(expert for row in layers[0] for expert in row)
        if self._loads is None or self._speeds is None:
            self._loads = LoadEstimator(len(layers), n_experts)
            self._speeds = SpeedEstimator(len(layers[0]))
        request = GetExpertCounts(self._coordinator.group, accepts_packed=True)
        replies = await self._coordinator.call_hosts(request, COUNTS_TIMEOUT_MS)
        current_replies = [
            reply
            for reply in replies.values()
            if isinstance(reply, ExpertCounts) and reply.map_id == current.map_id
        ]
        if not current_replies:
            return False
        try:
            ranks = [
                counts for reply in current_replies for counts in reply.unpack_ranks()
            ]
        except DecodeError as error:
            log.warning("group.bad_counts", group=request.group, reason=str(error))
            return False
        step = max(reply.step for reply in current_replies)
        for index, layer in enumerate(layers):
            tokens = layer_counts(index, layer, ranks, n_experts)
            self._loads.observe(index, tokens, step)
        for counts in ranks:
            n_tokens = sum(map(sum, counts.tokens))
            self._speeds.observe(counts.rank, n_tokens, counts.busy_us / 1000)
        self._loads.update_drift(step)
        self._skew = self._estimate_skew(layers)
        self._record_step(step)
        return True

    def _record_step(self, step: int) -> None:
        """Record the mean step time since the last observation, and the skew."""
        now = trio.current_time()
        if self._metrics is not None and self._last_step is not None:
            last_step, last_time = self._last_step
            if step > last_step:
                step_ms = (now - last_time) * 1000 / (step - last_step)
                group = self._coordinator.group
                self._metrics.observe_step(group, step_ms, self._skew)
        self._last_step = (step, now)

    def _estimate_skew(self, layers: Sequence[Layer]) -> float:
        assert self._loads is not None
        work = [
            rank_work(layer, self._loads.loads(index))
            for index, layer in enumerate(layers)
        ]
        mean = sum(sum(ranks) / len(ranks) for ranks in work)
        return sum(map(max, work)) / mean if mean > 0 else 0.0

    def _plan(self) -> Plan | None:
        current = self._coordinator.current
        assert current is not None
        assert self._loads is not None and self._speeds is not None
        slowness = self._speeds.slowness()
        return self._planner.plan(current.layers, self._loads, slowness)

    async def _apply(self, plan: Plan) -> ChangeResult:
        result = await self._coordinator.change(plan.moves, plan.transfers.transfers)
        self._reason = result.reason
        if result.outcome is ChangeOutcome.COMMITTED:
            self._n_moved += len(plan.moves)
            self._reason = ""
        log.info(
            "group.rebalanced",
            group=self._coordinator.group,
            outcome=result.outcome,
            n_moves=len(plan.moves),
            reason=result.reason,
        )
        return result


def layer_counts(
    index: int, layer: Layer, ranks: Sequence[RankCounts], n_experts: int
) -> list[float | None]:
    """Return the tokens of each expert in a layer, None if no rank reported it.

    Replicas on ranks that did not report are assumed to have the mean of the other
    replicas.

    Examples
    --------
    >>> counts = [RankCounts(rank=0, busy_us=0, tokens=[[6, 1]])]
    >>> layer_counts(0, ((0, 1), (0, 2)), counts, n_experts=3)
    [12.0, 1.0, None]
    """
    sums, n_reported, n_replicas = [0] * n_experts, [0] * n_experts, [0] * n_experts
    for row in layer:
        for expert in row:
            n_replicas[expert] += 1
    for counts in ranks:
        for expert, tokens in zip(
            layer[counts.rank], counts.tokens[index], strict=True
        ):
            sums[expert] += tokens
            n_reported[expert] += 1
    return [
        total * n_all / n if n else None
        for total, n, n_all in zip(sums, n_reported, n_replicas, strict=True)
    ]

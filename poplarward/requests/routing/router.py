"""Chooses an agent for each attempt of a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import trio

from ...hashing import rendezvous_ranking
from ...protocol import RequestId
from ...protocol.reports import UpstreamState
from ..caller import CallerRequest
from ..pools import UpstreamPools
from .affinity import affinity_agents
from .choice import Candidate, choose_candidate
from .load import unreported_requests
from .prefill_schedule import PrefillSchedule
from .table import AgentTable, AgentView

__all__ = ["Router"]

AGENTS_PER_SUSPECT_AGENT = 8
MIN_LIVE_SHARE = 0.5


def _no_names() -> Collection[str]:
    return ()


class Router:
    """Chooses agents and tracks this entry host's requests in flight at them.

    Parameters
    ----------
    agents : AgentTable
        The agents to choose from.
    seed : int
        Seed of the random choices.
    leaving : callable
        Returns the names of draining agents, which get no new work regardless of
        their reports.
    pools : UpstreamPools, optional
        Groups upstreams into pools; by default each upstream is a pool of its own.
    data_centre : str
        Data centre of the entry host.
    far_cost_requests : float
        Load added to agents of other data centres, as a number of requests.
    turns : PrefillSchedule, optional
        Prefill windows of the rank groups.
    """

    def __init__(
        self,
        agents: AgentTable,
        seed: int = 0,
        leaving: Callable[[], Collection[str]] = _no_names,
        pools: UpstreamPools | None = None,
        data_centre: str = "",
        far_cost_requests: float = 0.0,
        turns: PrefillSchedule | None = None,
    ):
        self._agents = agents
        self._rng = random.Random(seed)
        self._leaving = leaving
        self._pools = pools
        self._data_centre = data_centre
        self._far_cost_requests = far_cost_requests
        self._prefill_schedule = turns or PrefillSchedule()

    def choose(
        self, request: CallerRequest, excluded: frozenset[str] = frozenset()
    ) -> AgentView | None:
        """Return an agent that is not excluded by name, or None."""
        live = self.live_agents(request.upstream, excluded)
        # A request that runs beside a suspect is lost in the same crash and can't be
        # distinguished from it.
        without_suspects = [view for view in live if not view.report.n_suspects]
        views = {view.identity.name: view for view in without_suspects or live}
        if not views:
            return None
        n_slots = sum(view.report.n_slots for view in views.values()) / len(views)
        candidates = [
            Candidate(name, self._load(view, n_slots)) for name, view in views.items()
        ]
        arriving = unreported_requests([view.load for view in views.values()])
        affine = affinity_agents(request.prefix_digest, views)
        preferred = self._preferred(request, views)
        chosen = choose_candidate(candidates, affine, arriving, self._rng, preferred)
        return None if chosen is None else views[chosen.name]

    def choose_for_suspect(
        self, pool: str, digest: int, excluded: Collection[str]
    ) -> AgentView | None:
        """Return the agent to which all entry hosts route a suspect, or None.

        The suspects of a pool run only on a few of its agents.
        """
        live = {view.identity.name: view for view in self.live_agents(pool, excluded)}
        if not live:
            return None
        n_agents = max(1, len(live) // AGENTS_PER_SUSPECT_AGENT)
        chosen = rendezvous_ranking(pool, live)[:n_agents]
        return live[rendezvous_ranking(f"{digest:x}", chosen)[0]]

    def tolerates_agent_loss(self, pool: str) -> bool:
        """Return whether a pool has enough live agents to lose another one."""
        n_live = len(self.live_agents(pool))
        n_known = sum(self._pool_of(view) == pool for view in self._agents.views())
        return n_live >= MIN_LIVE_SHARE * n_known

    def live_agents(self, pool: str, excluded: Collection[str] = ()) -> list[AgentView]:
        """Return a pool's agents that accept new work and are not excluded by name."""
        rejected = {*excluded, *self._leaving()}
        return [
            view
            for view in self._agents.views()
            if view.report.state is UpstreamState.LIVE
            and self._pool_of(view) == pool
            and view.identity.name not in rejected
        ]

    def begin(self, agent: AgentView, request_id: RequestId) -> None:
        """Add an attempt to an agent's load before it is sent."""
        agent.load.begin(request_id.sequence, trio.current_time() * 1000)

    def end(self, agent: AgentView, request_id: RequestId) -> None:
        """Remove an attempt that has ended from an agent's load."""
        agent.load.end(request_id.sequence)

    def _pool_of(self, view: AgentView) -> str:
        upstream = view.report.upstream
        return self._pools.of_upstream(upstream) if self._pools else upstream

    def _preferred(
        self, request: CallerRequest, views: Mapping[str, AgentView]
    ) -> set[str]:
        """Return the agents to prefer by the prefill windows of their rank groups."""
        if self._pools is None:
            return set()
        group_of = {name: view.report.upstream for name, view in views.items()}
        groups = self._pools.groups(request.upstream)
        return self._prefill_schedule.preferred_agents(
            group_of, groups, request.priority_class
        )

    def _load(self, view: AgentView, mean_slots: float) -> float:
        """Return the requests in flight, scaled to the mean number of slots."""
        load = view.load.occupancy * mean_slots / max(1, view.report.n_slots)
        is_local = view.identity.data_centre == self._data_centre
        return load if is_local else load + self._far_cost_requests

"""Chooses the agents that an entry host connects to.

Every process works out the same answer from the list of hosts. In a small pool each
entry host connects to every agent. In a large one each *agent* takes the entry hosts
that come first for it by rendezvous hashing: the same number for each agent, so that
its load is known and spread evenly, and a host that joins or leaves moves only the
connections that it has itself. Agents of the entry host's own data centre come
first; a few connections lead elsewhere for when these are all away or full. Large
pools share the connections that an entry host can afford.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from functools import lru_cache
from typing import NamedTuple

import xxhash

from ...hashing import KeptRankings
from ...slices import Work, at_once

__all__ = ["AgentSubset", "PoolMember", "choose_subset"]

MAX_FULL_MESH_AGENTS = 64
N_NEAR_AGENTS = 24
N_FAR_AGENTS = 8
MIN_NEAR_AGENTS = 8
MIN_FAR_AGENTS = 3
ENTRIES_PER_VNODE = 32


class PoolMember(NamedTuple):
    """A host that takes part in the choice.

    Attributes
    ----------
    name : str
    data_centre : str
    """

    name: str
    data_centre: str


class _Sizes(NamedTuple):
    """Agents of a large pool that an entry host connects to, in the mean."""

    n_near: int
    n_far: int


def _sizes(n_large_pools: int) -> _Sizes:
    n_large_pools = max(1, n_large_pools)
    return _Sizes(
        max(MIN_NEAR_AGENTS, N_NEAR_AGENTS // n_large_pools),
        max(MIN_FAR_AGENTS, N_FAR_AGENTS // n_large_pools),
    )


def _n_takers(agent: PoolMember, mean: float) -> int:
    """Return how many entry hosts an agent takes; at least one.

    Agents differ by one at most, in a mix that follows the mean smoothly, so that a
    host that joins or leaves changes few of them.
    """
    share = xxhash.xxh32_intdigest(agent.name.encode()) / 2**32
    return max(1, int(mean + share))


class AgentSubset:
    """The agents that one entry host connects to.

    Rankings are kept, so that hosts that come and go cost little.

    Parameters
    ----------
    entry : PoolMember
        The entry host.
    """

    def __init__(self, entry: PoolMember):
        self._entry = entry
        self._rankings = KeptRankings()
        self._far_lots = KeptRankings()
        self._own_site: frozenset[str] = frozenset()

    def choose(
        self, entries: Collection[PoolMember], pools: Iterable[Sequence[PoolMember]]
    ) -> Work[set[str]]:
        """Return the names of the agents to connect to.

        Parameters
        ----------
        entries : collection of PoolMember
            Entry hosts that are not leaving; the entry host is one of them.
        pools : iterable of sequence of PoolMember
            Agents of each model or plain service.
        """
        sites = _names_by_data_centre(entries)
        own_site = frozenset(sites[self._entry.data_centre])
        if own_site != self._own_site:
            self._own_site = own_site
        chosen: set[str] = set()
        ranked: set[str] = set()
        pools = list(pools)
        sizes = _sizes(sum(len(agents) > MAX_FULL_MESH_AGENTS for agents in pools))
        for agents in pools:
            if len(agents) <= MAX_FULL_MESH_AGENTS:
                chosen.update(agent.name for agent in agents)
                yield len(agents)
            else:
                ranked.update(agent.name for agent in agents)
                yield len(agents)
                yield from self._choose_of(agents, sites, sizes, chosen)
        self._rankings.keep(ranked)
        self._far_lots.keep(ranked)
        return chosen

    def _choose_of(
        self,
        agents: Sequence[PoolMember],
        sites: Mapping[str, Sequence[str]],
        sizes: _Sizes,
        chosen: set[str],
    ) -> Work[None]:
        """Add the agents of one large pool to those chosen."""
        own = self._entry.data_centre
        n_near_agents = sum(agent.data_centre == own for agent in agents)
        n_entries = sum(len(names) for names in sites.values())
        n_near = sizes.n_near * len(self._own_site) / max(1, n_near_agents)
        n_far = sizes.n_far * n_entries / len(agents)
        lots = _far_lots(sites, {agent.data_centre for agent in agents})
        for agent in agents:
            n_before = self._rankings.n_weighed + self._far_lots.n_weighed
            is_near = agent.data_centre == own
            if is_near or self._is_far_choice(agent, lots[agent.data_centre]):
                n = _n_takers(agent, n_near if is_near else n_far)
                takers = self._rankings.first(agent.name, self._own_site, n)
                if self._entry.name in takers:
                    chosen.add(agent.name)
            n_weighed = self._rankings.n_weighed + self._far_lots.n_weighed - n_before
            yield 1 + n_weighed

    def _is_far_choice(self, agent: PoolMember, lots: frozenset[str]) -> bool:
        """Tell whether an agent elsewhere draws the entry host's data centre.

        Each agent draws one other data centre, so that the work grows with data
        centres and not with all entry hosts.
        """
        drawn = self._far_lots.first(agent.name, lots, 1)
        return bool(drawn) and drawn[0].startswith(f"{self._entry.data_centre}\0")


def choose_subset(
    entry: PoolMember, entries: Sequence[PoolMember], agents: Sequence[PoolMember]
) -> list[str]:
    """Return the names of the agents of one pool that an entry host connects to.

    Parameters
    ----------
    entry : PoolMember
        The entry host; one of `entries`.
    entries : sequence of PoolMember
        Entry hosts that are not leaving.
    agents : sequence of PoolMember
        Agents of one model or plain service.

    Examples
    --------
    >>> entries = [PoolMember("entry-1", "rennes"), PoolMember("entry-2", "brest")]
    >>> choose_subset(entries[0], entries, [PoolMember("agent-1", "brest")])
    ['agent-1']
    """
    names = at_once(AgentSubset(entry).choose(entries, [agents]))
    return [agent.name for agent in agents if agent.name in names]


def _far_lots(
    sites: Mapping[str, Sequence[str]], agent_sites: Set[str]
) -> dict[str, frozenset[str]]:
    """Return the lots among which the agents of each data centre draw one.

    A data centre is weighed by its entry hosts, so that none gets too many. Lots
    change with their number alone, not with each entry host.
    """
    return {
        agent_site: _lots(
            tuple(
                (site, len(names) // ENTRIES_PER_VNODE + 1)
                for site, names in sorted(sites.items())
                if site != agent_site
            )
        )
        for agent_site in agent_sites
    }


# Equal lots must be the same set, so that rankings are kept.
@lru_cache(maxsize=256)
def _lots(n_by_site: tuple[tuple[str, int], ...]) -> frozenset[str]:
    return frozenset(f"{site}\0{lot}" for site, n in n_by_site for lot in range(n))


def _names_by_data_centre(members: Iterable[PoolMember]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for member in members:
        names.setdefault(member.data_centre, []).append(member.name)
    return names

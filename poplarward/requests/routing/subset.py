"""Deterministic subsetting: chooses the agents that an entry host connects to.

All processes compute the same subsets from the list of hosts. In a small pool, each
entry host connects to all agents. In a large pool, each *agent* is assigned the entry
hosts that rank first for it by rendezvous hashing. All agents are assigned about the
same number, so that each agent's load is observed and spread evenly, and a host that
joins or leaves moves only its own connections. Most connections go to agents of the
local data centre; a few go to remote ones, for when all local agents are unavailable
or full. Large pools share the budget of connections of an entry host.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from functools import lru_cache
from typing import NamedTuple

import xxhash

from ...hashing import RankingCache
from ...slices import Work, run_at_once

__all__ = ["AgentSubset", "PoolMember", "choose_subset"]

MAX_FULL_MESH_AGENTS = 64
N_LOCAL_AGENTS = 24
N_REMOTE_AGENTS = 8
MIN_LOCAL_AGENTS = 8
MIN_REMOTE_AGENTS = 3
ENTRIES_PER_VNODE = 32


class PoolMember(NamedTuple):
    """A host that takes part in subsetting.

    Attributes
    ----------
    name : str
    data_centre : str
    """

    name: str
    data_centre: str


class _SubsetSizes(NamedTuple):
    """Mean number of agents of a large pool that an entry host connects to."""

    n_local: int
    n_remote: int


def _mean_sizes(n_large_pools: int) -> _SubsetSizes:
    n_large_pools = max(1, n_large_pools)
    return _SubsetSizes(
        max(MIN_LOCAL_AGENTS, N_LOCAL_AGENTS // n_large_pools),
        max(MIN_REMOTE_AGENTS, N_REMOTE_AGENTS // n_large_pools),
    )


def _n_assigned(agent: PoolMember, mean: float) -> int:
    """Return the number of entry hosts assigned to an agent; at least one.

    The mean is rounded up or down by a hash of the agent's name. The share of agents
    that round up follows the mean smoothly, so that a host that joins or leaves changes
    the number of few agents.
    """
    share = xxhash.xxh32_intdigest(agent.name.encode()) / 2**32
    return max(1, int(mean + share))


class AgentSubset:
    """Computes the agents that one entry host connects to.

    Rankings are cached, so that an update is cheap when few hosts have changed.

    Parameters
    ----------
    entry : PoolMember
        The entry host.
    """

    def __init__(self, entry: PoolMember):
        self._entry = entry
        self._rankings = RankingCache()
        self._remote_vnodes = RankingCache()
        self._local_entries: frozenset[str] = frozenset()

    def choose(
        self, entries: Collection[PoolMember], pools: Iterable[Sequence[PoolMember]]
    ) -> Work[set[str]]:
        """Return the names of the agents to connect to.

        Parameters
        ----------
        entries : collection of PoolMember
            Entry hosts that are not draining, including this entry host.
        pools : iterable of sequence of PoolMember
            Agents of each model or plain service.
        """
        entries_by_data_centre = _names_by_data_centre(entries)
        local_entries = frozenset(entries_by_data_centre[self._entry.data_centre])
        if local_entries != self._local_entries:
            self._local_entries = local_entries
        chosen: set[str] = set()
        ranked: set[str] = set()
        pools = list(pools)
        sizes = _mean_sizes(sum(len(agents) > MAX_FULL_MESH_AGENTS for agents in pools))
        for agents in pools:
            if len(agents) <= MAX_FULL_MESH_AGENTS:
                chosen.update(agent.name for agent in agents)
                yield len(agents)
            else:
                ranked.update(agent.name for agent in agents)
                yield len(agents)
                yield from self._choose_from_large_pool(
                    agents, entries_by_data_centre, sizes, chosen
                )
        self._rankings.retain(ranked)
        self._remote_vnodes.retain(ranked)
        return chosen

    def _choose_from_large_pool(
        self,
        agents: Sequence[PoolMember],
        entries_by_data_centre: Mapping[str, Sequence[str]],
        sizes: _SubsetSizes,
        chosen: set[str],
    ) -> Work[None]:
        """Add this entry host's agents of one large pool to those chosen."""
        local_data_centre = self._entry.data_centre
        n_local_agents = sum(agent.data_centre == local_data_centre for agent in agents)
        n_entries = sum(len(names) for names in entries_by_data_centre.values())
        n_local = sizes.n_local * len(self._local_entries) / max(1, n_local_agents)
        n_remote = sizes.n_remote * n_entries / len(agents)
        vnodes = _remote_vnodes(
            entries_by_data_centre, {agent.data_centre for agent in agents}
        )
        for agent in agents:
            n_before = (
                self._rankings.n_weights_computed
                + self._remote_vnodes.n_weights_computed
            )
            is_local = agent.data_centre == local_data_centre
            if is_local or self._is_assigned_here(agent, vnodes[agent.data_centre]):
                n_assigned = _n_assigned(agent, n_local if is_local else n_remote)
                assigned = self._rankings.first(
                    agent.name, self._local_entries, n_assigned
                )
                if self._entry.name in assigned:
                    chosen.add(agent.name)
            n_weighed = (
                self._rankings.n_weights_computed
                + self._remote_vnodes.n_weights_computed
                - n_before
            )
            yield 1 + n_weighed

    def _is_assigned_here(self, agent: PoolMember, vnodes: frozenset[str]) -> bool:
        """Return whether a remote agent is assigned to the local data centre.

        Each agent is assigned one remote data centre, so that the cost grows with the
        number of data centres and not with that of all entry hosts.
        """
        assigned = self._remote_vnodes.first(agent.name, vnodes, 1)
        return bool(assigned) and assigned[0].startswith(f"{self._entry.data_centre}\0")


def choose_subset(
    entry: PoolMember, entries: Sequence[PoolMember], agents: Sequence[PoolMember]
) -> list[str]:
    """Return the names of the agents of one pool that an entry host connects to.

    Parameters
    ----------
    entry : PoolMember
        The entry host; one of `entries`.
    entries : sequence of PoolMember
        Entry hosts that are not draining.
    agents : sequence of PoolMember
        Agents of one model or plain service.

    Examples
    --------
    >>> entries = [PoolMember("entry-1", "rennes"), PoolMember("entry-2", "brest")]
    >>> choose_subset(entries[0], entries, [PoolMember("agent-1", "brest")])
    ['agent-1']
    """
    names = run_at_once(AgentSubset(entry).choose(entries, [agents]))
    return [agent.name for agent in agents if agent.name in names]


def _remote_vnodes(
    entries_by_data_centre: Mapping[str, Sequence[str]], agent_data_centres: Set[str]
) -> dict[str, frozenset[str]]:
    """Return the virtual nodes to which agents of each data centre are assigned.

    A data centre has virtual nodes in proportion to its entry hosts, so that its share
    of remote agents matches. They change only with their number and not with each entry
    host.
    """
    return {
        agent_data_centre: _vnodes(
            tuple(
                (data_centre, len(names) // ENTRIES_PER_VNODE + 1)
                for data_centre, names in sorted(entries_by_data_centre.items())
                if data_centre != agent_data_centre
            )
        )
        for agent_data_centre in agent_data_centres
    }


# Equal virtual nodes must be the same set object, so that cached rankings stay valid.
@lru_cache(maxsize=256)
def _vnodes(n_by_data_centre: tuple[tuple[str, int], ...]) -> frozenset[str]:
    return frozenset(
        f"{data_centre}\0{vnode}"
        for data_centre, n_vnodes in n_by_data_centre
        for vnode in range(n_vnodes)
    )


def _names_by_data_centre(members: Iterable[PoolMember]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for member in members:
        names.setdefault(member.data_centre, []).append(member.name)
    return names

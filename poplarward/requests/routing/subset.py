"""Chooses the agents that an entry host connects to.

Every process works out the same answer from the list of hosts. In a small pool each
entry host connects to every agent. In a large one each *agent* takes the entry hosts
that come first for it by rendezvous hashing: the same number for each agent, so that
its load is known and spread evenly, and a host that joins or leaves moves only the
connections that it has itself. Agents of the entry host's own data centre come
first; a few connections lead elsewhere for when these are all away or full.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import NamedTuple

from ...hashing import rendezvous_ranking

__all__ = ["PoolMember", "agents_to_connect"]

MAX_WHOLE_POOL = 64
N_NEAR_AGENTS = 24
N_FAR_AGENTS = 8
ENTRIES_PER_LOT = 32
MAX_REMEMBERED_LOTS = 20_000


class PoolMember(NamedTuple):
    """A host that takes part in the choice.

    Attributes
    ----------
    name : str
    data_centre : str
    """

    name: str
    data_centre: str


def agents_to_connect(
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
    >>> agents_to_connect(entries[0], entries, [PoolMember("agent-1", "brest")])
    ['agent-1']
    """
    if len(agents) <= MAX_WHOLE_POOL:
        return [agent.name for agent in agents]
    sites = _names_by_data_centre(entries)
    near = [agent.name for agent in agents if agent.data_centre == entry.data_centre]
    own_site = sites[entry.data_centre]
    n_near = math.ceil(N_NEAR_AGENTS * len(own_site) / max(1, len(near)))
    n_far = math.ceil(N_FAR_AGENTS * len(entries) / len(agents))
    far = _far_agents(entry, sites, agents)
    takers = [(name, n_near) for name in near] + [(name, n_far) for name in far]
    return [
        name
        for name, n_takers in takers
        if entry.name in rendezvous_ranking(name, own_site)[:n_takers]
    ]


def _far_agents(
    entry: PoolMember, sites: Mapping[str, Sequence[str]], agents: Sequence[PoolMember]
) -> list[str]:
    """Return the agents elsewhere that some entry host of this data centre takes.

    Each agent draws one other data centre, so that the work grows with data centres
    and not with all entry hosts. A data centre is weighed by its entry hosts, so that
    none gets too many.
    """
    lots = {
        agent_site: tuple(
            f"{site}\0{lot}"
            for site, names in sites.items()
            for lot in range(len(names) // ENTRIES_PER_LOT + 1)
            if site != agent_site
        )
        for agent_site in {agent.data_centre for agent in agents}
    }
    prefix = f"{entry.data_centre}\0"
    return [
        agent.name
        for agent in agents
        if agent.data_centre != entry.data_centre
        and _first_lot(agent.name, lots[agent.data_centre]).startswith(prefix)
    ]


# An agent's lot changes with the number of lots alone, not with each entry host.
@lru_cache(maxsize=MAX_REMEMBERED_LOTS)
def _first_lot(agent: str, lots: tuple[str, ...]) -> str:
    return rendezvous_ranking(agent, lots)[0]


def _names_by_data_centre(members: Sequence[PoolMember]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for member in members:
        names.setdefault(member.data_centre, []).append(member.name)
    return names

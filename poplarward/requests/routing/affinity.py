"""Prefix affinity: routes requests with the same prompt prefix to the same few agents.

The agents that are likely to have a prefix cached are found by rendezvous hashing. All
entry hosts thus agree on them without messages, and the choice does not depend on cache
events, which may be late or lost. Affinity is only a preference: requests for a hot
prefix spill over to other agents once its own are busier than the mean by a few
requests.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ...hashing import rendezvous_ranking

__all__ = ["N_AFFINITY_AGENTS", "affinity_agents", "prefix_digest"]

N_AFFINITY_AGENTS = 4
N_PREFIX_CHARACTERS = 512


def prefix_digest(prompt: str) -> str:
    """Return the digest of a prompt's prefix; empty if the prompt is shorter."""
    if len(prompt) < N_PREFIX_CHARACTERS:
        return ""
    prefix = prompt[:N_PREFIX_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(prefix.encode(errors="surrogatepass"))


def affinity_agents(
    digest: str, agents: Iterable[str], n_agents: int = N_AFFINITY_AGENTS
) -> tuple[str, ...]:
    """Return the agents that are likely to have a prefix cached, likeliest first.

    Examples
    --------
    >>> len(affinity_agents("9f", [f"agent-{i}" for i in range(9)]))
    4
    >>> affinity_agents("", ["agent-1"])
    ()
    """
    if not digest:
        return ()
    return tuple(rendezvous_ranking(digest, agents)[:n_agents])

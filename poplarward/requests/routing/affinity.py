"""Leads requests with the same prompt prefix to the same few agents.

The agents that are likely to hold a prefix are found by rendezvous hashing, so that
all entry hosts agree on them without a message, and late or missing cache events
change nothing. It is a hint: a prefix that is asked for more than its agents can bear
spills over to others as soon as they are busier than the mean by a few requests.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ...hashing import rendezvous_ranking

__all__ = ["N_AFFINITY_AGENTS", "affinity_agents", "prefix_digest"]

N_AFFINITY_AGENTS = 4
N_PREFIX_CHARACTERS = 512


def prefix_digest(prompt: str) -> str:
    """Return the digest of a prompt's beginning; empty if it is shorter."""
    if len(prompt) < N_PREFIX_CHARACTERS:
        return ""
    prefix = prompt[:N_PREFIX_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(prefix.encode(errors="surrogatepass"))


def affinity_agents(
    digest: str, agents: Iterable[str], n_homes: int = N_AFFINITY_AGENTS
) -> tuple[str, ...]:
    """Return the agents that are likely to hold a prefix, the likeliest first.

    Examples
    --------
    >>> len(affinity_agents("9f", [f"agent-{i}" for i in range(9)]))
    4
    >>> affinity_agents("", ["agent-1"])
    ()
    """
    if not digest:
        return ()
    return tuple(rendezvous_ranking(digest, agents)[:n_homes])

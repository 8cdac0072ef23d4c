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

__all__ = ["N_HOMES", "prefix_digest", "prefix_homes"]

N_HOMES = 4
PREFIX_CHARACTERS = 512


def prefix_digest(prompt: str) -> str:
    """Return the digest of a prompt's beginning; empty if it is shorter."""
    if len(prompt) < PREFIX_CHARACTERS:
        return ""
    prefix = prompt[:PREFIX_CHARACTERS]
    return xxhash.xxh3_64_hexdigest(prefix.encode(errors="surrogatepass"))


def prefix_homes(
    digest: str, agents: Iterable[str], n_homes: int = N_HOMES
) -> tuple[str, ...]:
    """Return the agents that are likely to hold a prefix, the likeliest first.

    Examples
    --------
    >>> len(prefix_homes("9f", [f"agent-{i}" for i in range(9)]))
    4
    >>> prefix_homes("", ["agent-1"])
    ()
    """
    if not digest:
        return ()
    return tuple(rendezvous_ranking(digest, agents)[:n_homes])

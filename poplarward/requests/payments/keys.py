"""Idempotency keys: partitioning, routing and the format of issued keys."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from ...hashing import rendezvous_ranking
from ...protocol import ProcessIdentity

__all__ = ["IssuedKey", "parse_issued_key", "partition_of", "rank_owners"]

# All agents of a deployment must use the same number: see docs/design/upgrades.md.
N_PARTITIONS = 4
ISSUED_PREFIX = "issued"


class IssuedKey(NamedTuple):
    """A key issued by an agent; only the issuing incarnation may run its call.

    Attributes
    ----------
    agent : str
        Name of the issuing agent.
    start_id : int
        Incarnation of the agent.
    issued_at_ms : int
        Time on the monotonic clock of that incarnation.
    sequence : int

    Examples
    --------
    >>> parse_issued_key(str(IssuedKey("agent-1", 11, 5_000, 7)))
    IssuedKey(agent='agent-1', start_id=11, issued_at_ms=5000, sequence=7)
    >>> parse_issued_key("deposit-812") is None
    True
    """

    agent: str
    start_id: int
    issued_at_ms: int
    sequence: int

    def __str__(self) -> str:
        numbers = f"{self.start_id:x}:{self.issued_at_ms}:{self.sequence}"
        return f"{ISSUED_PREFIX}:{numbers}:{self.agent}"


def parse_issued_key(key: str) -> IssuedKey | None:
    """Parse an issued key; returns None for a key that a caller chose."""
    match key.split(":", 4):
        case [prefix, start_id, issued_at_ms, sequence, agent] if (
            prefix == ISSUED_PREFIX
        ):
            try:
                return IssuedKey(
                    agent, int(start_id, 16), int(issued_at_ms), int(sequence)
                )
            except ValueError:
                return None
    return None


def partition_of(workspace: str, key: str) -> int:
    """Return the number of the partition that a workspace's key belongs to."""
    return xxhash.xxh3_64_intdigest(f"{workspace}\0{key}".encode()) % N_PARTITIONS


def rank_owners(
    service: str, workspace: str, key: str, agents: Iterable[ProcessIdentity]
) -> list[str]:
    """Return the names of the agents that a key may be routed to, best first.

    All entry hosts rank the agents of a plain service in the same order, so that calls
    with the same key reach the same agent. An issued key is routed only to the
    incarnation of the agent that issued it.
    """
    issued = parse_issued_key(key)
    if issued is not None:
        owner = (issued.agent, issued.start_id)
        return [a.name for a in agents if (a.name, a.start_id) == owner]
    partition = f"{service}/{partition_of(workspace, key)}"
    return rendezvous_ranking(partition, [agent.name for agent in agents])

"""Lets the rank groups of a pool take new prompts in turns.

All ranks of a group wait for the slowest in each step, so one rank's prefill costs its
group as much as a prefill on every rank. Half of the groups have their turn at a time,
so the prefills of a group's ranks fall into the same steps. Urgent prompts, which are
short, go to the other half, where the steps are. Entry hosts take the turns
from their clocks and the list of hosts, without a message; clocks that differ by a
part of a turn blur its edges and do no other harm.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterable

from ...coordination.hosts import HostEntry
from ...protocol.requests import PriorityClass

__all__ = ["TURN_MS", "PrefillTurns"]

TURN_MS = 200.0


class PrefillTurns:
    """Tells which agents a new prompt should go to by their rank groups' turns.

    Parameters
    ----------
    clock : callable
        Returns the time of day in seconds.

    Examples
    --------
    >>> turns = PrefillTurns(lambda: 0.0)
    >>> entry = HostEntry("agent-1", "agent", "rennes", "live", "10.0.0.1:9000")
    >>> turns.take_hosts([entry])
    >>> turns.preferred(["agent-1"], PriorityClass.DRAFTING)
    set()
    """

    def __init__(self, clock: Callable[[], float] = time.time):
        self._clock = clock
        self._places: dict[str, tuple[int, int]] = {}

    def take_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Learn the agents' rank groups from the list of hosts."""
        agents = [host for host in hosts if host.role == "agent" and host.rank_group]
        groups: dict[str, set[str]] = {}
        for agent in agents:
            groups.setdefault(agent.upstream, set()).add(agent.rank_group)
        ordered = {upstream: sorted(names) for upstream, names in groups.items()}
        self._places = {
            agent.name: (
                ordered[agent.upstream].index(agent.rank_group),
                len(ordered[agent.upstream]),
            )
            for agent in agents
            if len(ordered[agent.upstream]) > 1
        }

    def preferred(
        self, agents: Collection[str], priority_class: PriorityClass
    ) -> set[str]:
        """Return the agents to prefer for a prompt; none if there are no turns.

        Agents of a pool with one group, or without a label, take no turns.
        """
        if not any(name in self._places for name in agents):
            return set()
        turn = int(self._clock() * 1000 / TURN_MS)
        has_turn = priority_class is PriorityClass.DRAFTING
        return {
            name
            for name in agents
            if name not in self._places or self._has_turn(name, turn) is has_turn
        }

    def _has_turn(self, name: str, turn: int) -> bool:
        index, n_groups = self._places[name]
        half = n_groups // 2
        return (index + turn * half) % n_groups < half

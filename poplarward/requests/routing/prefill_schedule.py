"""Lets the rank groups of a pool take new prompts in turns.

All ranks of a group wait for the slowest in each step, so one rank's prefill costs its
group as much as a prefill on every rank. Half of the groups have their turn at a time,
so the prefills of a group's ranks fall into the same steps. Urgent prompts, which are
short, go to the other half, where the steps are. Entry hosts take the turns
from their clocks and the configuration, without a message; clocks that differ by a
part of a turn blur its edges and do no other harm.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

from ...protocol.requests import PriorityClass

__all__ = ["PREFILL_WINDOW_MS", "PrefillSchedule"]

PREFILL_WINDOW_MS = 200.0


class PrefillSchedule:
    """Tells which agents a new prompt should go to by their rank groups' turns.

    Parameters
    ----------
    clock : callable
        Returns the time of day in seconds.

    Examples
    --------
    >>> turns = PrefillSchedule(lambda: 0.0)
    >>> group_of = {"agent-1": "drafts", "agent-2": "notes"}
    >>> turns.preferred_agents(group_of, ["drafts", "notes"], PriorityClass.DRAFTING)
    {'agent-1'}
    >>> turns.preferred_agents(group_of, ["drafts", "notes"], PriorityClass.URGENT)
    {'agent-2'}
    """

    def __init__(self, clock: Callable[[], float] = time.time):
        self._clock = clock

    def preferred_agents(
        self,
        group_of: Mapping[str, str],
        groups: Sequence[str],
        priority_class: PriorityClass,
    ) -> set[str]:
        """Return the agents to prefer for a prompt; none if there are no turns.

        An agent whose group takes no turns is always among them.

        Parameters
        ----------
        group_of : mapping of str to str
            Rank group of each agent.
        groups : sequence of str
            Rank groups of the pool, in the same order at every entry host.
        priority_class : PriorityClass
            Drafting goes to groups in their turn, urgent to the others.
        """
        if len(groups) < 2:
            return set()
        n_in_turn = len(groups) // 2
        first = int(self._clock() * 1000 / PREFILL_WINDOW_MS) * n_in_turn
        has_turn = {
            group: (index + first) % len(groups) < n_in_turn
            for index, group in enumerate(groups)
        }
        wanted = priority_class is PriorityClass.DRAFTING
        return {
            name
            for name, group in group_of.items()
            if has_turn.get(group, wanted) is wanted
        }

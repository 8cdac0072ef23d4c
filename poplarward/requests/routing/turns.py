"""Lets the rank groups of a pool take new prompts in turns.

All ranks of a group wait for the slowest in each step, so one rank's prefill costs its
group as much as a prefill on every rank. Half of the groups have their turn at a time,
so the prefills of a group's ranks fall into the same steps. Entry hosts take the turns
from their clocks and the configuration, without a message; clocks that differ by a
part of a turn blur its edges and do no other harm.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

__all__ = ["TURN_MS", "PrefillTurns"]

TURN_MS = 200.0


class PrefillTurns:
    """Tells which agents' rank groups have their turn.

    Parameters
    ----------
    clock : callable
        Returns the time of day in seconds.

    Examples
    --------
    >>> turns = PrefillTurns(lambda: 0.0)
    >>> turns.in_turn({"agent-1": "drafts", "agent-2": "notes"}, ["drafts", "notes"])
    {'agent-1'}
    """

    def __init__(self, clock: Callable[[], float] = time.time):
        self._clock = clock

    def in_turn(self, group_of: Mapping[str, str], groups: Sequence[str]) -> set[str]:
        """Return the agents whose group has its turn; none if there are no turns.

        An agent whose group takes no turns is always among them.

        Parameters
        ----------
        group_of : mapping of str to str
            Rank group of each agent.
        groups : sequence of str
            Rank groups of the pool, in the same order at every entry host.
        """
        if len(groups) < 2:
            return set()
        n_in_turn = len(groups) // 2
        first = int(self._clock() * 1000 / TURN_MS) * n_in_turn
        resting = {
            group
            for index, group in enumerate(groups)
            if (index + first) % len(groups) >= n_in_turn
        }
        return {name for name, group in group_of.items() if group not in resting}

"""Assigns new prompts to the rank groups of a pool in alternating prefill windows.

All ranks of a group wait for the slowest rank in each step, so a prefill on one rank
costs its group as much as a prefill on every rank. Half of the groups have their
prefill window at a time, so that the prefills of a group's ranks fall into the same
steps. Urgent prompts, which are short, go to the other half, whose steps are short.
Entry hosts derive the windows from their clocks and the configuration, without
messages. Clock skew of a fraction of a window blurs its edges and has no other effect.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

from ...protocol.requests import PriorityClass

__all__ = ["PREFILL_WINDOW_MS", "PrefillSchedule"]

PREFILL_WINDOW_MS = 200.0


class PrefillSchedule:
    """Selects the agents that a new prompt should go to by prefill windows.

    Parameters
    ----------
    clock : callable
        Returns the wall-clock time in seconds.

    Examples
    --------
    >>> schedule = PrefillSchedule(lambda: 0.0)
    >>> group_of = {"agent-1": "drafts", "agent-2": "notes"}
    >>> schedule.preferred_agents(group_of, ["drafts", "notes"], PriorityClass.DRAFTING)
    {'agent-1'}
    >>> schedule.preferred_agents(group_of, ["drafts", "notes"], PriorityClass.URGENT)
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
        """Return the agents to prefer for a prompt; none if there are no windows.

        Agents whose group has no prefill windows are always included.

        Parameters
        ----------
        group_of : mapping of str to str
            Rank group of each agent.
        groups : sequence of str
            Rank groups of the pool, in the same order at every entry host.
        priority_class : PriorityClass
            Drafting prompts go to groups in their window, urgent ones to the others.
        """
        if len(groups) < 2:
            return set()
        n_in_window = len(groups) // 2
        offset = int(self._clock() * 1000 / PREFILL_WINDOW_MS) * n_in_window
        in_window = {
            group: (index + offset) % len(groups) < n_in_window
            for index, group in enumerate(groups)
        }
        needs_window = priority_class is PriorityClass.DRAFTING
        return {
            name
            for name, group in group_of.items()
            if in_window.get(group, needs_window) is needs_window
        }

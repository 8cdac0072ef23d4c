"""Policies for choosing an upstream that the routing benchmark compares.

Each policy object holds the routing state of one entry host. `EntryHostPolicy` calls
the functions that the entry host itself uses.
"""

from __future__ import annotations

import random
import time
from collections.abc import Mapping, Sequence

from poplarward.protocol.reports import AgentReport
from poplarward.protocol.requests import PriorityClass
from poplarward.requests.routing.affinity import affinity_agents
from poplarward.requests.routing.choice import Candidate, choose_candidate
from poplarward.requests.routing.load import AgentLoad, unreported_requests
from poplarward.requests.routing.prefill_schedule import PrefillSchedule

from .routing_model import Arrival

__all__ = ["POLICIES", "Policy"]

CLOCK_ERROR_MS = 20.0


class Policy:
    """Chooses an agent at random; base class of the other policies.

    Parameters
    ----------
    agents : sequence of str
        Agents that the entry host is connected to.
    seed : int
    group_of : mapping of str to str
        Rank group of every agent, connected or not.
    """

    def __init__(self, agents: Sequence[str], seed: int, group_of: Mapping[str, str]):
        self.agents = list(agents)
        self.rng = random.Random(seed)
        self.requests: dict[str, int] = dict.fromkeys(agents, 0)
        self.choice_s = 0.0
        self.far_costs: dict[str, float] = {}

    def choose(self, arrival: Arrival, now_ms: float) -> str:
        """Return the agent to send a request to."""
        return self.rng.choice(self.agents)

    def begin(self, agent: str, sequence: int, now_ms: float) -> None:
        """Record that a request was sent."""

    def end(self, agent: str, sequence: int) -> None:
        """Record that a request has ended."""

    def report(self, agent: str, report: AgentReport, now_ms: float) -> None:
        """Apply a load report of an agent."""
        self.requests[agent] = report.n_running + report.n_waiting


class RoundRobin(Policy):
    """Chooses the agents in turn, starting at a random one."""

    def __init__(self, agents: Sequence[str], seed: int, group_of: Mapping[str, str]):
        super().__init__(agents, seed, group_of)
        self._next = self.rng.randrange(len(self.agents))

    def choose(self, arrival: Arrival, now_ms: float) -> str:
        """Return the next agent."""
        self._next = (self._next + 1) % len(self.agents)
        return self.agents[self._next]


class LeastReported(Policy):
    """Chooses the agent with the fewest requests in its last load report."""

    def choose(self, arrival: Arrival, now_ms: float) -> str:
        """Return the least loaded agent; ties are broken at random."""
        least = min(self.requests.values())
        return self.rng.choice([a for a in self.agents if self.requests[a] == least])


class PowerOfTwo(Policy):
    """Chooses the less loaded of two random agents, by their last load reports."""

    def choose(self, arrival: Arrival, now_ms: float) -> str:
        """Return the less loaded of two random agents."""
        return min(self.rng.sample(self.agents, 2), key=self.requests.__getitem__)


class EntryHostPolicy(Policy):
    """Chooses as the entry host does: by load, prefix affinity and prefill schedule."""

    def __init__(self, agents: Sequence[str], seed: int, group_of: Mapping[str, str]):
        super().__init__(agents, seed, group_of)
        self.loads = {agent: AgentLoad() for agent in agents}
        self.now_ms = 0.0
        error_ms = random.Random(seed).uniform(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        self.prefill_schedule = PrefillSchedule(lambda: (self.now_ms + error_ms) / 1000)
        self.groups = sorted(set(group_of.values()))
        self.group_of = {agent: group_of[agent] for agent in agents}

    def choose(self, arrival: Arrival, now_ms: float) -> str:
        """Return the agent that the entry host would choose."""
        start_s = time.perf_counter()
        self.now_ms = now_ms
        candidates = [
            Candidate(agent, load.occupancy + self.far_costs.get(agent, 0.0))
            for agent, load in self.loads.items()
        ]
        affinity = affinity_agents(str(arrival.prefix), self.agents)
        n_unreported = unreported_requests(list(self.loads.values()))
        priority = PriorityClass.URGENT if arrival.urgent else PriorityClass.DRAFTING
        preferred = self.prefill_schedule.preferred_agents(
            self.group_of, self.groups, priority
        )
        chosen = choose_candidate(
            candidates, affinity, n_unreported, self.rng, preferred
        )
        self.choice_s += time.perf_counter() - start_s
        assert chosen is not None
        return chosen.name

    def begin(self, agent: str, sequence: int, now_ms: float) -> None:
        """Record that a request was sent."""
        self.loads[agent].begin(sequence, now_ms)

    def end(self, agent: str, sequence: int) -> None:
        """Record that a request has ended."""
        self.loads[agent].end(sequence)

    def report(self, agent: str, report: AgentReport, now_ms: float) -> None:
        """Apply a load report of an agent."""
        self.loads[agent].apply_report(report, now_ms)


POLICIES: dict[str, type[Policy]] = {
    "random": Policy,
    "round_robin": RoundRobin,
    "least_reported": LeastReported,
    "power_of_two": PowerOfTwo,
    "ours": EntryHostPolicy,
}

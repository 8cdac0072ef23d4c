"""Chooses the agent that runs a request."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from ..protocol import Connection, Peers, ProcessIdentity
from ..protocol.reports import AgentReport, UpstreamState
from ..transport import Address
from .caller import CallerRequest

__all__ = ["AgentTable", "AgentView", "Router", "choose_agent"]


class AgentView(NamedTuple):
    """What an entry host knows of an agent when it chooses.

    Attributes
    ----------
    report : AgentReport
        The agent's last report.
    n_in_flight : int
        Requests that this entry host has at the agent.
    """

    identity: ProcessIdentity
    address: Address
    report: AgentReport
    n_in_flight: int


def choose_agent(
    candidates: Sequence[AgentView], rng: random.Random
) -> AgentView | None:
    """Return the less loaded of two random live agents, or None without any."""
    live = [view for view in candidates if view.report.state is UpstreamState.LIVE]
    if not live:
        return None
    pair = rng.sample(live, min(2, len(live)))
    return min(pair, key=_outstanding)


def _outstanding(view: AgentView) -> int:
    return max(view.n_in_flight, view.report.n_running + view.report.n_waiting)


class AgentTable:
    """The agents that an entry host is connected to, with their last reports."""

    def __init__(self, peers: Peers):
        self._reports: dict[str, tuple[ProcessIdentity, AgentReport]] = {}
        self._n_in_flight: dict[str, int] = {}
        peers.register(AgentReport, self._on_report)
        peers.on_lost.append(self._on_lost)

    def views(self, upstream: str) -> list[AgentView]:
        """Return the connected agents of a model group or plain service."""
        return [
            AgentView(
                identity, identity.address, report, self._n_in_flight.get(name, 0)
            )
            for name, (identity, report) in self._reports.items()
            if report.upstream == upstream
        ]

    def add_in_flight(self, agent: str, change: int) -> None:
        """Count an attempt at an agent in or out."""
        self._n_in_flight[agent] = self._n_in_flight.get(agent, 0) + change

    async def _on_report(self, connection: Connection, report: AgentReport) -> None:
        identity = connection.identity
        held = self._reports.get(identity.name)
        is_late = (
            held is not None
            and held[0].start_id == identity.start_id
            and held[1].report_number >= report.report_number
        )
        if is_late:
            return
        self._reports[identity.name] = (identity, report)

    def _on_lost(self, connection: Connection) -> None:
        held = self._reports.get(connection.identity.name)
        if held is not None and held[0].start_id == connection.identity.start_id:
            del self._reports[connection.identity.name]


class Router:
    """Chooses an agent for each attempt of a request.

    Parameters
    ----------
    agents : AgentTable
        The agents to choose from.
    """

    def __init__(self, agents: AgentTable, seed: int = 0):
        self._agents = agents
        self._rng = random.Random(seed)

    def choose(
        self, request: CallerRequest, excluded: frozenset[str] = frozenset()
    ) -> AgentView | None:
        """Return an agent that is not excluded by name, or None."""
        views = self._agents.views(request.upstream)
        candidates = [view for view in views if view.identity.name not in excluded]
        return choose_agent(candidates, self._rng)

    def add_in_flight(self, agent: str, change: int) -> None:
        """Count an attempt at an agent in or out."""
        self._agents.add_in_flight(agent, change)

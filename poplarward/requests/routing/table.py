"""The agents that an entry host is connected to, with what is known of them."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ...protocol import Connection, Peers, ProcessIdentity
from ...protocol.reports import AgentReport
from ...transport import Address
from .load import AgentLoad

__all__ = ["AgentTable", "AgentView"]


class AgentView(NamedTuple):
    """What an entry host knows of an agent when it chooses.

    Attributes
    ----------
    report : AgentReport
        The agent's last report.
    load : AgentLoad
        The estimate of its requests, corrected by this entry host's own requests.
    """

    identity: ProcessIdentity
    address: Address
    report: AgentReport
    load: AgentLoad


class AgentTable:
    """The connected agents with their last reports.

    Parameters
    ----------
    peers : Peers
        Connections to agents.
    """

    def __init__(self, peers: Peers):
        self._views: dict[str, AgentView] = {}
        peers.register(AgentReport, self._on_report)
        peers.on_lost.append(self._on_lost)

    def views(self) -> list[AgentView]:
        """Return the connected agents."""
        return list(self._views.values())

    def is_idle(self, connection: Connection) -> bool:
        """Whether this entry host has no request at the agent of a connection."""
        held = self._views.get(connection.identity.name)
        return held is None or held.load.n_in_flight == 0

    async def _on_report(self, connection: Connection, report: AgentReport) -> None:
        identity = connection.identity
        held = self._views.get(identity.name)
        if held is not None and held.identity.start_id == identity.start_id:
            if held.report.report_number >= report.report_number:
                return
            load = held.load
        else:
            load = AgentLoad()
        load.apply_report(report, trio.current_time() * 1000)
        view = AgentView(identity, identity.address, report, load)
        self._views[identity.name] = view

    def _on_lost(self, connection: Connection) -> None:
        held = self._views.get(connection.identity.name)
        if held is not None and held.identity.start_id == connection.identity.start_id:
            del self._views[connection.identity.name]

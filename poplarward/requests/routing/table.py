"""Table of the agents that an entry host is connected to."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ...protocol import Connection, Peers, ProcessIdentity
from ...protocol.reports import AgentReport
from ...transport import Address
from .load import AgentLoad

__all__ = ["AgentTable", "AgentView"]


class AgentView(NamedTuple):
    """State of an agent as seen by an entry host.

    Attributes
    ----------
    report : AgentReport
        The agent's latest load report.
    load : AgentLoad
        Estimated load, corrected by this entry host's own requests.
    """

    identity: ProcessIdentity
    address: Address
    report: AgentReport
    load: AgentLoad


class AgentTable:
    """Connected agents with their latest load reports.

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
        """Return the connected agents that have reported."""
        return list(self._views.values())

    def is_idle(self, connection: Connection) -> bool:
        """Return whether this entry host has no request at a connection's agent."""
        known = self._views.get(connection.identity.name)
        return known is None or known.load.n_in_flight == 0

    async def _on_report(self, connection: Connection, report: AgentReport) -> None:
        identity = connection.identity
        known = self._views.get(identity.name)
        if known is not None and known.identity.start_id == identity.start_id:
            if known.report.report_number >= report.report_number:
                return
            load = known.load
        else:
            load = AgentLoad()
        load.apply_report(report, trio.current_time() * 1000)
        view = AgentView(identity, identity.address, report, load)
        self._views[identity.name] = view

    def _on_lost(self, connection: Connection) -> None:
        known = self._views.get(connection.identity.name)
        if (
            known is not None
            and known.identity.start_id == connection.identity.start_id
        ):
            del self._views[connection.identity.name]

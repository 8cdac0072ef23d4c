"""Reports a host's active map and its ranks' counts to coordinators."""

from __future__ import annotations

from ...protocol import Connection, Peers
from ...protocol.expert_maps import (
    ExpertCounts,
    GetExpertCounts,
    GetMap,
    MapContents,
)
from .engine import EngineControl

__all__ = ["register_reports"]


def register_reports(peers: Peers, engine: EngineControl) -> None:
    """Register handlers for requests for an engine's map and counts."""

    async def on_get_map(connection: Connection, request: GetMap) -> MapContents:
        status = await engine.status()
        return MapContents(status.active, await engine.layers())

    async def on_get_counts(
        connection: Connection, request: GetExpertCounts
    ) -> ExpertCounts:
        status = await engine.status()
        counts = ExpertCounts(status.step, status.active, await engine.counts())
        return counts.to_packed() if request.accepts_packed else counts

    peers.register(GetMap, on_get_map)
    peers.register(GetExpertCounts, on_get_counts)

"""Orders an engine over HTTP."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from ...errors import (
    EngineRefused,
    EngineUnreachable,
    UpstreamUnreachable,
    WeightsUnavailable,
)
from ...protocol.expert_maps import MapId, RankCounts, SlotChange
from ...transport import HttpClient
from .engine import EngineStatus, Hold

__all__ = ["HttpEngineControl"]

ORDER_TIMEOUT_MS = 2000.0
STAGE_TIMEOUT_MS = 60_000.0


class HttpEngineControl:
    """Client of an engine's ``/experts`` paths; satisfies `EngineControl`.

    Status 409 is a refusal, 424 tells that weights could not be read.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def status(self) -> EngineStatus:
        """Return where the host's ranks are."""
        document = await self._call("GET", "/experts/status")
        hold = document["hold"]
        pending = document["pending"]
        return EngineStatus(
            document["step"],
            MapId(*document["active"]),
            None if pending is None else MapId(*pending),
            hold and Hold(MapId(*hold["map_id"]), hold["step"], hold["note"]),
        )

    async def layers(self) -> list[list[list[int]]]:
        """Return the experts of the map in use, by layer, rank and slot."""
        return await self._call("GET", "/experts/layers")

    async def counts(self) -> list[RankCounts]:
        """Return the mean counts of a step for each rank, since the last call."""
        return [
            RankCounts(*item) for item in await self._call("GET", "/experts/counts")
        ]

    async def stage(
        self, fence: int, map_id: MapId, changes: Sequence[SlotChange]
    ) -> None:
        """Read the weights of a map into spare memory."""
        order = {"fence": fence, "map_id": map_id, "changes": list(changes)}
        await self._call("POST", "/experts/stage", order, STAGE_TIMEOUT_MS)

    async def hold(self, fence: int, map_id: MapId, step: int, note: str) -> None:
        """Let no rank begin a step from ``step`` on, until the release."""
        order = {"fence": fence, "map_id": map_id, "step": step, "note": note}
        await self._call("POST", "/experts/hold", order)

    async def release(self, fence: int, map_id: MapId, switch: bool) -> None:
        """End the hold of a map; with ``switch`` its step is the first to use it."""
        order = {"fence": fence, "map_id": map_id, "switch": switch}
        await self._call("POST", "/experts/release", order)

    async def _call(
        self,
        method: str,
        path: str,
        order: Any = None,
        timeout_ms: float = ORDER_TIMEOUT_MS,
    ) -> Any:
        body = b"" if order is None else json.dumps(order).encode()
        headers = [("content-type", "application/json")]
        try:
            response = await self._client.call(method, path, headers, body, timeout_ms)
        except UpstreamUnreachable as error:
            raise EngineUnreachable(str(error)) from error
        match response.status:
            case 200:
                return json.loads(response.body)
            case 409:
                raise EngineRefused(response.body.decode())
            case 424:
                raise WeightsUnavailable(response.body.decode())
            case status:
                raise EngineUnreachable(f"status {status}")

"""Commands to an engine over HTTP."""

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
from ...transport.decoding import decode_json
from .engine import EngineStatus, Hold

__all__ = ["HttpEngineControl"]

COMMAND_TIMEOUT_MS = 2000.0
STAGE_TIMEOUT_MS = 60_000.0


class HttpEngineControl:
    """Client of an engine's ``/experts`` paths; implements `EngineControl`.

    Status 409 means that the command was refused, 424 that weights could not be read.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def status(self) -> EngineStatus:
        """Return the state of the host's ranks."""
        document = await self._call("GET", "/experts/status")
        try:
            hold = document["hold"]
            pending = document["pending"]
            return EngineStatus(
                document["step"],
                MapId(*document["active"]),
                None if pending is None else MapId(*pending),
                hold and Hold(MapId(*hold["map_id"]), hold["step"], hold["note"]),
            )
        except (KeyError, TypeError) as error:
            raise EngineUnreachable(f"invalid response: {error!r}") from error

    async def layers(self) -> list[list[list[int]]]:
        """Return the experts of the active map, by layer, rank and slot."""
        return await self._call("GET", "/experts/layers")

    async def counts(self) -> list[RankCounts]:
        """Return each rank's mean counts per step since the last call."""
        items = await self._call("GET", "/experts/counts")
        try:
            return [RankCounts(*item) for item in items]
        except TypeError as error:
            raise EngineUnreachable(f"invalid response: {error!r}") from error

    async def stage(
        self, fence: int, map_id: MapId, changes: Sequence[SlotChange]
    ) -> None:
        """Read the weights of a map into spare memory."""
        command = {"fence": fence, "map_id": map_id, "changes": list(changes)}
        await self._call("POST", "/experts/stage", command, STAGE_TIMEOUT_MS)

    async def hold(self, fence: int, map_id: MapId, step: int, note: str) -> None:
        """Prevent ranks from beginning ``step`` and later steps until the release."""
        command = {"fence": fence, "map_id": map_id, "step": step, "note": note}
        await self._call("POST", "/experts/hold", command)

    async def release(self, fence: int, map_id: MapId, switch: bool) -> None:
        """End the hold for a map; with ``switch`` its step is the first to use it."""
        command = {"fence": fence, "map_id": map_id, "switch": switch}
        await self._call("POST", "/experts/release", command)

    async def _call(
        self,
        method: str,
        path: str,
        command: Any = None,
        timeout_ms: float = COMMAND_TIMEOUT_MS,
    ) -> Any:
        body = b"" if command is None else json.dumps(command).encode()
        headers = [("content-type", "application/json")]
        try:
            response = await self._client.call(method, path, headers, body, timeout_ms)
        except UpstreamUnreachable as error:
            raise EngineUnreachable(str(error)) from error
        match response.status:
            case 200:
                try:
                    return decode_json(response.body)
                except ValueError as error:
                    raise EngineUnreachable(f"invalid response: {error}") from error
            case 409:
                raise EngineRefused(response.body.decode())
            case 424:
                raise WeightsUnavailable(response.body.decode())
            case status:
                raise EngineUnreachable(f"status {status}")

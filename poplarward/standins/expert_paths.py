"""Serves the engines of a stand-in rank group over HTTP.

Each host of the group listens on a port of its own. ``GET /record`` of the first
returns the reference record, ``PUT /faults`` of any sets the faults of its ranks.
"""

from __future__ import annotations

import json
from typing import Any

from ..coordination.rebalancing import initial_layers
from ..errors import EngineRefused, EngineUnreachable, WeightsUnavailable
from ..protocol.expert_maps import MapId, SlotChange
from ..transport import HttpRequest, Responder
from .engine import EngineStandin
from .rank_group import HostEngine, RankGroupStandin

__all__ = ["ExpertEndpoints", "new_rank_group"]

MAX_BODY_BYTES = 4 * 1024 * 1024
N_EXPERTS = 8
N_LAYERS = 2
POPULAR_EXPERTS = (2, 3)


def new_rank_group(n_hosts: int, step_ms: float, checks_fence: bool) -> Any:
    """Return a group with one rank a host and skewed demand for its experts."""
    n_slots = -(-N_EXPERTS // n_hosts) + 1
    layers = initial_layers(n_hosts, N_EXPERTS, N_LAYERS, n_slots)
    group = RankGroupStandin(n_hosts, layers, step_ms, checks_fence)
    group.loads = [
        400.0 if expert in POPULAR_EXPERTS else 60.0 for expert in range(N_EXPERTS)
    ]
    return group


class ExpertEndpoints:
    """Serves one host of the group: the ``/experts`` paths, and those of an engine."""

    def __init__(
        self, group: RankGroupStandin, engine: HostEngine, completions: EngineStandin
    ):
        self._group = group
        self._engine = engine
        self._completions = completions

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        if request.path == "/record":
            await responder.respond_json(200, self._record())
        elif request.path == "/faults":
            faults = json.loads(await request.body(MAX_BODY_BYTES))
            for name, value in faults.items():
                setattr(self._engine, name, value)
            self._engine.wake()
            await responder.respond_json(200, {})
        elif request.path.startswith("/experts/"):
            await self._handle_command(request, responder)
        else:
            await self._completions.handle(request, responder)

    async def _handle_command(self, request: HttpRequest, responder: Responder) -> None:
        try:
            result = await self._execute(request)
        except EngineRefused as error:
            await responder.respond(409, str(error).encode())
        except WeightsUnavailable as error:
            await responder.respond(424, str(error).encode())
        except EngineUnreachable as error:
            await responder.respond(503, str(error).encode())
        else:
            await responder.respond_json(200, result)

    async def _execute(self, request: HttpRequest) -> Any:
        engine, body = self._engine, await request.body(MAX_BODY_BYTES)
        command = json.loads(body) if body else {}
        match request.method, request.path.removeprefix("/experts/"):
            case "GET", "status":
                status = await engine.status()
                hold = status.hold and status.hold._asdict()
                return {**status._asdict(), "hold": hold}
            case "GET", "layers":
                return await engine.layers()
            case "GET", "counts":
                return await engine.counts()
            case "POST", "stage":
                changes = [SlotChange(*change) for change in command["changes"]]
                await engine.stage(command["fence"], MapId(*command["map_id"]), changes)
            case "POST", "hold":
                map_id = MapId(*command["map_id"])
                await engine.hold(
                    command["fence"], map_id, command["step"], command["note"]
                )
            case "POST", "release":
                map_id = MapId(*command["map_id"])
                await engine.release(command["fence"], map_id, command["switch"])
            case _:
                raise EngineRefused("no such order")
        return {}

    def _record(self) -> dict[str, Any]:
        return {
            "n_steps": len(self._group.step_ends),
            "mixed_steps": self._group.mixed_steps(),
            "active": [list(engine.active) for engine in self._group.engines],
            "holds": [
                engine.current_hold is not None for engine in self._group.engines
            ],
        }

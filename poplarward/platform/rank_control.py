"""Calls to ranks: reports, token counts and commands."""

from __future__ import annotations

import functools
import json
from typing import Any

from ..coordination.rebalancing.placement import Layer
from ..direct.rank_group import ArmedMap, CommandResult, RankReport
from ..errors import FindingsError
from ..telemetry.logs import get_logger
from ..transport.decoding import decode_json
from ..transport.http1_exchange import RawHeaders
from .fields import FieldReader, is_integer
from .upstream_calls import TIMED_OUT, UpstreamCalls

__all__ = ["PlatformRankControl", "decode_report"]

READ_TIMEOUT_S = 0.4  # Reports and counts take a few ms.
COMMAND_TIMEOUT_S = 0.15  # Commands too; one without a response is sent again.

log = get_logger("ranks")


class PlatformRankControl:
    """Calls the ranks among the upstreams.

    See `poplarward.direct.rank_group.RankControl`.

    Parameters
    ----------
    calls : UpstreamCalls
    link_mbps : float
        Rate of this host's link, over which the maps for a whole group are sent.
    """

    def __init__(self, calls: UpstreamCalls, link_mbps: float):
        self._calls = calls
        self._link_bytes_per_s = link_mbps * 1e6 / 8

    async def report(self, upstream_id: str) -> RankReport | None:
        """Return the rank's state."""
        document = await self._get(upstream_id, "/report")
        if document is None:
            return None
        try:
            return decode_report(upstream_id, document)
        except FindingsError as error:
            log.warning("ranks.report_invalid", upstream=upstream_id, reason=str(error))
            return None

    async def counts(self, upstream_id: str) -> tuple[int, list[int]] | None:
        """Return the current pass and each expert's tokens so far, layer by layer."""
        document = await self._get(upstream_id, "/picked")
        if document is None:
            return None
        reader = FieldReader("picked", document)
        step, counts = reader.integer("step"), reader.list_of("counts")
        if reader.findings or not all(map(is_integer, counts)):
            log.warning("ranks.counts_invalid", upstream=upstream_id)
            return None
        return step, counts

    async def layers(self, upstream_id: str) -> list[tuple[int, ...]] | None:
        """Return the experts that the rank serves now, by layer."""
        document = await self._get(upstream_id, "/picked?lists=1")
        if document is None:
            return None
        reader = FieldReader("picked", document)
        rows = reader.table("map").list_of("experts")
        if reader.findings or not all(isinstance(row, list) for row in rows):
            log.warning("ranks.layers_invalid", upstream=upstream_id)
            return None
        return [tuple(row) for row in rows]

    async def prepare(
        self, upstream_id: str, epoch: int, version: int, layers: list[Layer]
    ) -> CommandResult:
        """Command the rank to copy those experts of a map that it lacks."""
        body = _encode_prepare(epoch, version, tuple(layers))
        n_ranks = len(layers[0])
        # The whole map is sent to all ranks at once, over the same link.
        timeout_s = COMMAND_TIMEOUT_S + n_ranks * len(body) / self._link_bytes_per_s
        return await self._send(
            upstream_id, {"operation": "prepare", "version": version}, body, timeout_s
        )

    async def arm(
        self, upstream_id: str, epoch: int, version: int, step: int
    ) -> CommandResult:
        """Command the rank to switch to a prepared map at the start of a pass."""
        return await self._send_short(
            upstream_id, epoch, {"operation": "arm", "version": version, "step": step}
        )

    async def disarm(self, upstream_id: str, epoch: int, version: int) -> CommandResult:
        """Cancel an armed map."""
        return await self._send_short(
            upstream_id, epoch, {"operation": "disarm", "version": version}
        )

    async def hold(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Keep the whole group from beginning a pass, until released."""
        return await self._send_short(
            upstream_id, epoch, {"operation": "hold", "step": step}
        )

    async def release(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Release a held pass."""
        return await self._send_short(
            upstream_id, epoch, {"operation": "go", "step": step}
        )

    async def _send_short(
        self, upstream_id: str, epoch: int, command: dict[str, Any]
    ) -> CommandResult:
        body = json.dumps({**command, "epoch": epoch}).encode()
        return await self._send(upstream_id, command, body, COMMAND_TIMEOUT_S)

    async def _send(
        self, upstream_id: str, command: dict[str, Any], body: bytes, timeout_s: float
    ) -> CommandResult:
        headers: RawHeaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        status, text = await self._calls.call(
            upstream_id, "POST", "/order", timeout_s, headers, body
        )
        match status:
            case 200 | 202:
                result = CommandResult.ACCEPTED
            case 400 | 409 | 412 | 421 | 503:
                result = CommandResult.REFUSED
            case _:
                result = CommandResult.UNKNOWN
        if result is not CommandResult.ACCEPTED:
            log.info(
                "ranks.command_failed",
                upstream=upstream_id,
                operation=command["operation"],
                step=command.get("step"),
                version=command.get("version"),
                status=status,
                response=text[:200].decode("latin-1"),
            )
        return result

    async def _get(self, upstream_id: str, path: str) -> Any | None:
        status, body = await self._read(upstream_id, path, float("inf"))
        if status == 0 and body != TIMED_OUT:
            # The upstream may have dropped the connection while it was idle.
            status, body = await self._read(upstream_id, path, 0.0)
        if status != 200:
            log.info(
                "ranks.read_failed", upstream=upstream_id, path=path, status=status
            )
            return None
        try:
            return decode_json(body)
        except ValueError as error:
            log.warning(
                "ranks.response_invalid", upstream=upstream_id, reason=str(error)
            )
            return None

    async def _read(
        self, upstream_id: str, path: str, max_idle_s: float
    ) -> tuple[int, bytes]:
        return await self._calls.call(
            upstream_id, "GET", path, READ_TIMEOUT_S, max_idle_s=max_idle_s
        )


@functools.lru_cache(maxsize=2)
def _encode_prepare(epoch: int, version: int, layers: tuple[Layer, ...]) -> bytes:
    command = {
        "operation": "prepare",
        "version": version,
        "map": layers,
        "epoch": epoch,
    }
    return json.dumps(command, separators=(",", ":")).encode()


def decode_report(upstream_id: str, document: Any) -> RankReport:
    """Return a report; raises `FindingsError`."""
    reader = FieldReader(f"report of {upstream_id}", document)
    group = reader.table("group")
    state = group.text("state")
    report = RankReport(
        upstream_id=upstream_id,
        group=group.text("name"),
        epoch=group.integer("epoch"),
        rank=group.integer("rank"),
        n_ranks=reader.integer("size"),
        is_open=state == "open",
        step=reader.integer("step"),
        # "map" is the version of the map in use, not the map itself.
        map_version=reader.integer("map"),
        prepared_version=_optional(reader, "prepared", "version"),
        armed=_armed(reader),
        held_step=_optional(reader, "held", "step"),
        # Above 1 if the rank is slow.
        slowness=reader.number("pace", 1.0),
    )
    reader.raise_findings()
    return report


def _optional(reader: FieldReader, name: str, field: str) -> int | None:
    """Return a number, or a field of it if it is a table; None if it is missing."""
    if reader.is_table(name):
        return reader.table(name).integer(field)
    return reader.integer(name, None)


def _armed(reader: FieldReader) -> ArmedMap | None:
    version = _optional(reader, "armed", "version")
    if version is None:
        return None
    step = None
    if reader.is_table("armed"):
        step = reader.table("armed").integer("step", None)
    return ArmedMap(version, step)

"""Calls to model workers: reports, counts and orders."""

from __future__ import annotations

import functools
import json
from typing import Any

import trio

from ..coordination.rebalancing.placement import Layer
from ..direct.rank_group import ArmedMap, CommandResult, RankReport
from ..direct.upstreams import UpstreamTable
from ..errors import FindingsError, UpstreamUnreachable
from ..telemetry.logs import get_logger
from ..transport.http1_client import SAFE_IDLE_S
from .fields import FieldReader

__all__ = ["PlatformRankControl", "decode_report"]

READ_TIMEOUT_S = 0.4  # Reports and counts are answered in a few ms.
COMMAND_TIMEOUT_S = 0.15  # Orders too; one without an answer is given again.
TIMED_OUT = b"timeout"
MAX_ANSWER_BYTES = 4_194_304

log = get_logger("ranks")


class PlatformRankControl:
    """Speaks to the workers in an upstream table.

    See `poplarward.direct.rank_group.RankControl`.

    Parameters
    ----------
    upstreams : UpstreamTable
    link_mbps : float
        Rate of this host's link, which a whole group's maps have to pass.
    """

    def __init__(self, upstreams: UpstreamTable, link_mbps: float):
        self._upstreams = upstreams
        self._link_bytes_per_s = link_mbps * 1e6 / 8

    async def report(self, upstream_id: str) -> RankReport | None:
        """Return the rank's state."""
        document = await self._get(upstream_id, "/report")
        if document is None:
            return None
        try:
            return decode_report(upstream_id, document)
        except FindingsError as error:
            log.warning("ranks.bad_report", upstream=upstream_id, reason=str(error))
            return None

    async def counts(self, upstream_id: str) -> tuple[int, list[int]] | None:
        """Return the pass and, layer by layer, the tokens each expert had so far."""
        document = await self._get(upstream_id, "/picked")
        if document is None:
            return None
        reader = FieldReader("picked", document)
        step, counts = reader.integer("step"), reader.list_of("counts")
        if reader.findings or not all(isinstance(count, int) for count in counts):
            log.warning("ranks.bad_counts", upstream=upstream_id)
            return None
        return step, counts

    async def layers(self, upstream_id: str) -> list[tuple[int, ...]] | None:
        """Return the experts that the rank holds now, by layer."""
        document = await self._get(upstream_id, "/picked?lists=1")
        if document is None:
            return None
        reader = FieldReader("picked", document)
        rows = reader.table("map").list_of("experts")
        if reader.findings or not all(isinstance(row, list) for row in rows):
            log.warning("ranks.bad_lists", upstream=upstream_id)
            return None
        return [tuple(row) for row in rows]

    async def prepare(
        self, upstream_id: str, epoch: int, version: int, layers: list[Layer]
    ) -> CommandResult:
        """Have the rank copy the experts of a map that are new to it."""
        body = _prepare_body(epoch, version, tuple(layers))
        n_ranks = len(layers[0])
        # All ranks are ordered at once, each with the whole map.
        timeout_s = COMMAND_TIMEOUT_S + n_ranks * len(body) / self._link_bytes_per_s
        return await self._order(
            upstream_id, {"operation": "prepare", "version": version}, body, timeout_s
        )

    async def arm(
        self, upstream_id: str, epoch: int, version: int, step: int
    ) -> CommandResult:
        """Have the rank switch to a map as a pass begins."""
        return await self._short_order(
            upstream_id, epoch, {"operation": "arm", "version": version, "step": step}
        )

    async def disarm(self, upstream_id: str, epoch: int, version: int) -> CommandResult:
        """Take back an armed map."""
        return await self._short_order(
            upstream_id, epoch, {"operation": "disarm", "version": version}
        )

    async def hold(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """Keep the whole group from beginning a pass."""
        return await self._short_order(
            upstream_id, epoch, {"operation": "hold", "step": step}
        )

    async def release(self, upstream_id: str, epoch: int, step: int) -> CommandResult:
        """End a hold."""
        return await self._short_order(
            upstream_id, epoch, {"operation": "go", "step": step}
        )

    async def _short_order(
        self, upstream_id: str, epoch: int, order: dict[str, Any]
    ) -> CommandResult:
        body = json.dumps({**order, "epoch": epoch}).encode()
        return await self._order(upstream_id, order, body, COMMAND_TIMEOUT_S)

    async def _order(
        self, upstream_id: str, order: dict[str, Any], body: bytes, timeout_s: float
    ) -> CommandResult:
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        status, text = await self._call(
            upstream_id, "POST", "/order", headers, body, timeout_s
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
                "ranks.order",
                upstream=upstream_id,
                order=order["operation"],
                step=order.get("step"),
                version=order.get("version"),
                status=status,
                answer=text[:200].decode("latin-1"),
            )
        return result

    async def _get(self, upstream_id: str, path: str) -> Any | None:
        call = upstream_id, "GET", path, [], b"", READ_TIMEOUT_S
        status, body = await self._call(*call, max_idle_s=float("inf"))
        if status == 0 and body != TIMED_OUT:
            # The connection may have been dropped while it was idle.
            status, body = await self._call(*call, max_idle_s=0.0)
        if status != 200:
            log.info("ranks.no_answer", upstream=upstream_id, path=path, status=status)
            return None
        try:
            return json.loads(body)
        except ValueError as error:
            log.warning("ranks.unreadable", upstream=upstream_id, reason=str(error))
            return None

    async def _call(
        self,
        upstream_id: str,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
        max_idle_s: float = SAFE_IDLE_S,
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 without an answer."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return 0, b"unknown upstream"
        host = (b"Host", upstream.entry.address.encode())
        instance = (b"Poplarward-Expect-Instance", upstream_id.encode())
        connection = None
        is_whole = False
        try:
            with trio.fail_after(timeout_s):
                connection = await upstream.pool.take(max_idle_s)
                await connection.send(method, path, [host, instance, *headers], body)
                head = await connection.read_head()
                content = await connection.read_body(MAX_ANSWER_BYTES)
                is_whole = True
                return head.status, content
        except (UpstreamUnreachable, trio.TooSlowError) as error:
            return 0, str(error).encode() or TIMED_OUT
        finally:
            if connection is not None and is_whole:
                await upstream.pool.give_back(connection)
            elif connection is not None:
                await connection.close()


@functools.lru_cache(maxsize=2)
def _prepare_body(epoch: int, version: int, layers: tuple[Layer, ...]) -> bytes:
    order = {"operation": "prepare", "version": version, "map": layers, "epoch": epoch}
    return json.dumps(order, separators=(",", ":")).encode()


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
        # "map" is the version in use, not the map.
        map_version=reader.integer("map"),
        prepared_version=_optional(reader, "prepared", "version"),
        armed=_armed(reader),
        held_step=_optional(reader, "held", "step"),
        # Over 1 where the worker is slow.
        slowness=reader.number("pace", 1.0),
    )
    reader.check()
    return report


def _optional(reader: FieldReader, name: str, field: str) -> int | None:
    """Return a number, or a table's field; None where nothing is there."""
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

"""Calls of an entry host itself to upstreams, apart from callers' requests."""

from __future__ import annotations

import trio

from ..direct.clock import now_ms
from ..direct.own_responses import read_own_head
from ..direct.upstreams import UpstreamTable
from ..errors import UpstreamUnreachable
from ..transport.http1_client import SAFE_IDLE_S
from ..transport.http1_exchange import RawHeaders
from .headers import PlatformHeaders

__all__ = ["TIMED_OUT", "UpstreamCalls"]

TIMED_OUT = b"timeout"
MAX_RESPONSE_BYTES = 1_048_576  # Reports and counts have some kilobytes.


class UpstreamCalls:
    """Calls upstreams of a table, and records what their responses ask for.

    Parameters
    ----------
    upstreams : UpstreamTable
    headers : PlatformHeaders
    """

    def __init__(self, upstreams: UpstreamTable, headers: PlatformHeaders):
        self._upstreams = upstreams
        self._headers = headers

    async def call(
        self,
        upstream_id: str,
        method: str,
        path: str,
        timeout_s: float,
        headers: RawHeaders = (),
        body: bytes = b"",
        max_idle_s: float = SAFE_IDLE_S,
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 without a response."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return 0, b"unknown upstream"
        host = (b"Host", upstream.entry.address.encode())
        instance = (b"Poplarward-Expect-Instance", upstream_id.encode())
        connection = None
        is_whole = False
        sent_at_ms = now_ms()
        try:
            with trio.fail_after(timeout_s):
                connection = await upstream.pool.acquire(max_idle_s)
                await connection.send(method, path, [host, instance, *headers], body)
                # Upstreams name no id in responses to calls like these.
                head, _ = await read_own_head(
                    connection, self._headers, upstream, None, sent_at_ms
                )
                content = await connection.read_body(MAX_RESPONSE_BYTES)
                is_whole = True
        except (UpstreamUnreachable, trio.TooSlowError) as error:
            return 0, str(error).encode() or TIMED_OUT
        finally:
            if connection is not None and is_whole:
                await upstream.pool.release(connection)
            elif connection is not None:
                await connection.close()
        return head.status, content

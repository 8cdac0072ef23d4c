"""Finds the response to a request on a connection that has carried others.

A faulty upstream may send a response to an earlier request once more, where the
response to the next one is expected.
"""

from __future__ import annotations

from ..errors import UpstreamUnreachable
from ..telemetry.logs import get_logger
from ..transport.http1_client import Http1Connection, ResponseHead
from .clock import now_ms
from .ports import CallProtocol, ResponseMetadata
from .upstreams import Upstream

__all__ = ["MAX_RESPONSE_BYTES", "read_own_head"]

MAX_RESPONSE_BYTES = 16_777_216  # Plain responses are buffered; far above usual sizes.
MAX_SKIPPED_RESPONSES = 3  # Late responses to earlier requests that are discarded.

log = get_logger("attempts")


async def read_own_head(
    connection: Http1Connection,
    protocol: CallProtocol,
    upstream: Upstream,
    request_id: str | None,
    sent_at_ms: float,
) -> tuple[ResponseHead, ResponseMetadata]:
    """Return the head of the response to a request, and what its headers state.

    Records what each response asks for, and skips those to other requests. Raises
    `UpstreamUnreachable` if there are only such. ``request_id`` is None for a request
    that was sent without an id, and whose response has none.
    """
    for _ in range(MAX_SKIPPED_RESPONSES):
        head = await connection.read_head()
        metadata = protocol.read_response(head)
        if metadata.request_id is None:
            # Only the first response on a connection belongs to no earlier request.
            is_own = request_id is None or connection.n_responses == 1
        else:
            is_own = metadata.request_id == request_id
        if not metadata.is_misdirected:
            # When the request of a late response was sent is not known.
            upstream.notices.record(
                metadata.notice, sent_at_ms if is_own else float("-inf"), now_ms()
            )
        if is_own:
            return head, metadata
        log.warning(
            "response.mismatched",
            request=request_id,
            response_to=metadata.request_id,
            upstream=upstream.entry.id,
        )
        await connection.skip_body(MAX_RESPONSE_BYTES)
        if not connection.expect_another_response():
            break
    raise UpstreamUnreachable("responses to other requests", sent=True)

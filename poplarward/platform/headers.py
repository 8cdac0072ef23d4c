"""Headers of callers' requests and upstreams' answers."""

from __future__ import annotations

from ..direct.model import CallerRequest
from ..direct.ports import ForwardingContext, ResponseMetadata
from ..transport.http1_client import ResponseHead, header_value
from ..transport.http1_server import RawHeaders, RequestHead

__all__ = ["PlatformHeaders"]

_PREFIX = b"Poplarward-"
_REQUEST_ID = b"poplarward-request-id"
_DEADLINE = b"poplarward-deadline-ms"
_INSTANCE = b"poplarward-expect-instance"
_TENANT = b"poplarward-tenant"
_URGENCY = b"poplarward-request-urgency"
_STAMP = b"poplarward-server-stamp"
_NOT_RUN = b"poplarward-not-run"
_TOKEN_COUNTS = b"poplarward-token-counts"
_LENGTH_HINT = b"poplarward-length-hint"
_AT_FAULT = b"at-server"
_LAST_EVENT = b"last-event-id"

_MISDIRECTED = 421
_MAX_URGENCY = 9

_CHANNEL_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_SET_BY_SYSTEM = frozenset(
    {b"authorization", _DEADLINE, _INSTANCE, _TENANT, _URGENCY, _LAST_EVENT}
)


class PlatformHeaders:
    """Reads and writes the headers of the platform's callers and upstreams.

    See `poplarward.direct.ports.CallProtocol`.
    """

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Return what a request says of itself."""
        headers = {name.lower(): value for name, value in head.headers}
        deadline = _integer(headers.get(_DEADLINE))
        prompt, _, answer = headers.get(_TOKEN_COUNTS, b"").partition(b",")
        host = headers.get(b"host", b"").decode("latin-1")
        return CallerRequest(
            id=headers.get(_REQUEST_ID, b"").decode("latin-1"),
            host=host.partition(":")[0].lower(),
            path=head.target,
            time_left_ms=None if deadline is None else float(deadline),
            key=_bearer(headers.get(b"authorization")),
            last_event_id=_integer(headers.get(_LAST_EVENT)),
            prompt_tokens=_integer(prompt) or 0,
            max_answer_tokens=_integer(answer) or 0,
            expected_tokens=_integer(headers.get(_LENGTH_HINT)),
        )

    def forwarded_headers(
        self, head: RequestHead, body: bytes, added: ForwardingContext
    ) -> RawHeaders:
        """Return the headers for an upstream."""
        headers = _without_channel(head.headers, _SET_BY_SYSTEM)
        headers.append((_PREFIX + b"Deadline-Ms", b"%d" % max(1, added.time_left_ms)))
        headers.append((_PREFIX + b"Expect-Instance", added.upstream_id.encode()))
        urgency = min(_MAX_URGENCY, max(0, added.priority))
        headers.append((_PREFIX + b"Request-Urgency", b"%d" % urgency))
        if added.workspace is not None:
            headers.append((_PREFIX + b"Tenant", added.workspace.encode()))
        if added.last_event_id is not None:
            headers.append((b"Last-Event-Id", b"%d" % added.last_event_id))
        if body or header_value(head.headers, b"content-length") is not None:
            headers.append((b"Content-Length", b"%d" % len(body)))
        return headers

    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return what an answer says of itself."""
        request_id = head.get(_REQUEST_ID)
        at_fault = head.get(_AT_FAULT)
        return ResponseMetadata(
            request_id=None if request_id is None else request_id.decode("latin-1"),
            is_not_run=head.get(_NOT_RUN) is not None,
            is_misdirected=head.status == _MISDIRECTED,
            is_stamped=head.get(_STAMP) is not None,
            faulty_upstream_id=None if at_fault is None else at_fault.decode("latin-1"),
        )

    def returned_headers(self, head: ResponseHead) -> RawHeaders:
        """Return an answer's headers for the caller, without those of the channel."""
        return _without_channel(head.headers, frozenset())

    def refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> RawHeaders:
        """Return the headers of an answer of our own."""
        headers: RawHeaders = []
        if request is not None and request.id:
            headers.append((_PREFIX + b"Request-Id", request.id.encode("latin-1")))
        if retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)))
        return headers


def _without_channel(headers: RawHeaders, more: frozenset[bytes]) -> RawHeaders:
    """Return the headers that concern more than one connection."""
    dropped = _CHANNEL_HEADERS | more
    named = header_value(headers, b"connection")
    if named is not None:
        dropped |= {name.strip().lower() for name in named.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _bearer(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None


def _integer(value: bytes | None) -> int | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value)

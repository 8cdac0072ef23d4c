"""Headers of callers' requests and upstreams' responses."""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio

from ..direct.model import CallerRequest
from ..direct.ports import ForwardingContext, ResponseMetadata
from ..direct.upstream_notices import Notice
from ..telemetry.logs import get_logger
from ..transport.decoding import decode_digits
from ..transport.http1_client import ResponseHead, header_value
from ..transport.http1_exchange import RawHeaders, RequestHead

__all__ = ["PlatformHeaders"]

log = get_logger("headers")

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
_PROMPT_PARTS = b"poplarward-prompt-prefix"
_AT_FAULT = b"at-server"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_LAST_EVENT = b"last-event-id"

_MISDIRECTED = 421
_UNAVAILABLE = 503
_MAX_URGENCY = 9
_MAX_SHARED_PARTS = 8
_NUMBER = re.compile(rb"([0-9]{1,10}(\.[0-9]{0,20})?|\.[0-9]{1,20})(e[+-]?[0-9])?")
_IS_LEAVING = {b"1": True, b"0": False}
_MAX_RETRY_AFTER_S = 3_600.0  # Longer ones are taken for a fault of the upstream.
_LOG_INTERVAL_S = 10.0
_UNREADABLE_EVENTS = {
    _LIMIT: "upstream.limit_unreadable",
    _LEAVING: "upstream.leaving_unreadable",
    _RETRY_AFTER: "upstream.retry_after_unreadable",
}
_PROMPT_PART = re.compile(rb"\s*([0-9a-fA-F]{1,32}):[0-9]{1,9}\s*")

_CONNECTION_HEADERS = frozenset(
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
_REPLACED_HEADERS = frozenset(
    {b"authorization", _DEADLINE, _INSTANCE, _TENANT, _URGENCY, _LAST_EVENT}
)


@dataclass
class _UnreadableHeader:
    logged_at: float = float("-inf")
    n_since_logged: int = 0


class PlatformHeaders:
    """Reads and writes the headers of the platform's callers and upstreams.

    See `poplarward.direct.ports.CallProtocol`.
    """

    def __init__(self) -> None:
        self._unreadable: dict[bytes, _UnreadableHeader] = {}

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Return the metadata of a caller's request."""
        headers = {name.lower(): value for name, value in head.headers}
        deadline = decode_digits(headers.get(_DEADLINE))
        prompt, _, answer = headers.get(_TOKEN_COUNTS, b"").partition(b",")
        host = headers.get(b"host", b"").decode("latin-1")
        return CallerRequest(
            id=headers.get(_REQUEST_ID, b"").decode("latin-1"),
            host=host.partition(":")[0].lower(),
            path=head.target,
            time_left_ms=None if deadline is None else float(deadline),
            key=_bearer_token(headers.get(b"authorization")),
            last_event_id=decode_digits(headers.get(_LAST_EVENT)),
            prompt_tokens=decode_digits(prompt) or 0,
            max_answer_tokens=decode_digits(answer) or 0,
            expected_tokens=decode_digits(headers.get(_LENGTH_HINT)),
            shared_parts=_decode_shared_parts(headers.get(_PROMPT_PARTS)),
        )

    def forwarded_headers(
        self, head: RequestHead, body: bytes, added: ForwardingContext
    ) -> RawHeaders:
        """Return the headers of a request to an upstream."""
        headers = _without_connection_headers(head.headers, _REPLACED_HEADERS)
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
        """Return the metadata of an upstream's response."""
        request_id = head.get(_REQUEST_ID)
        at_fault = head.get(_AT_FAULT)
        return ResponseMetadata(
            request_id=None if request_id is None else request_id.decode("latin-1"),
            is_not_run=head.get(_NOT_RUN) is not None,
            is_misdirected=head.status == _MISDIRECTED,
            is_stamped=head.get(_STAMP) is not None,
            faulty_upstream_id=None if at_fault is None else at_fault.decode("latin-1"),
            limit_per_s=self._decode_number(head, _LIMIT),
            notice=self._read_notice(head),
        )

    def _read_notice(self, head: ResponseHead) -> Notice:
        leaving = head.get(_LEAVING)
        is_leaving = False
        if leaving is not None:
            is_leaving = _IS_LEAVING.get(leaving.strip())
            if is_leaving is None:
                self._log_unreadable(_LEAVING, leaving)
        if head.status != _UNAVAILABLE:
            return Notice(is_leaving)
        seconds = self._decode_number(head, _RETRY_AFTER, _MAX_RETRY_AFTER_S)
        return Notice(is_leaving, None if seconds is None else 1000 * seconds)

    def _decode_number(
        self, head: ResponseHead, name: bytes, limit: float = float("inf")
    ) -> float | None:
        """Return a header's number up to a limit; None if it can't be read."""
        value = head.get(name)
        if value is None:
            return None
        text = value.strip().lower()
        if _NUMBER.fullmatch(text) and (number := float(text)) <= limit:
            return number
        self._log_unreadable(name, value)
        return None

    def _log_unreadable(self, name: bytes, value: bytes) -> None:
        """Log a header that can't be read, at most every 10 s, with their number."""
        header = self._unreadable.setdefault(name, _UnreadableHeader())
        header.n_since_logged += 1
        now = trio.current_time()
        if now < header.logged_at + _LOG_INTERVAL_S:
            return
        log.warning(
            _UNREADABLE_EVENTS[name],
            value=repr(value[:40]),
            n=header.n_since_logged,
        )
        header.logged_at, header.n_since_logged = now, 0

    def returned_headers(self, head: ResponseHead) -> RawHeaders:
        """Return a response's headers for the caller, without connection headers."""
        return _without_connection_headers(head.headers, frozenset())

    def refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> RawHeaders:
        """Return the headers of a response that this host generates itself."""
        headers: RawHeaders = []
        if request is not None and request.id:
            headers.append((_PREFIX + b"Request-Id", request.id.encode("latin-1")))
        if retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)))
        return headers


def _without_connection_headers(
    headers: RawHeaders, more: frozenset[bytes]
) -> RawHeaders:
    """Return the headers without those of one connection and those in `more`."""
    dropped = _CONNECTION_HEADERS | more
    listed = header_value(headers, b"connection")
    if listed is not None:
        dropped |= {name.strip().lower() for name in listed.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _decode_shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which is not shared.

    Entries that can't be read are left out.

    Examples
    --------
    >>> _decode_shared_parts(b"5C1e:800, 91bd:410,e440:250")
    ('5c1e', '91bd')
    """
    if value is None:
        return ()
    entries = value.split(b",", _MAX_SHARED_PARTS)[:-1]
    matches = map(_PROMPT_PART.fullmatch, entries)
    ids = (match[1].decode().lower() for match in matches if match is not None)
    return tuple(dict.fromkeys(ids))


def _bearer_token(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None

"""Parses and validates a caller's HTTP request."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import trio

from ..protocol.requests import PriorityClass
from ..transport import HttpRequest
from .caller import CallerError, CallerRequest
from .configuration_index import ConfigurationIndex
from .routing.affinity import prefix_digest

__all__ = ["parse_caller_request", "parse_key_request"]

MAX_BODY_BYTES = 256 * 1024
BODY_TIMEOUT_S = 10.0
DEFAULT_DEADLINE_MS = {PriorityClass.URGENT: 5_000, PriorityClass.DRAFTING: 60_000}
MAX_KEY_CHARACTERS = 200
CHARACTERS_PER_TOKEN = 4
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
SERVICES_PREFIX = "/v1/services/"


class _Target(NamedTuple):
    """The target of a request, parsed from its path and body."""

    upstream: str
    path: str
    repeatable: bool
    default_class: PriorityClass
    prefix_digest: str = ""
    n_tokens: int = 1
    n_prompt_tokens: int = 0


async def parse_caller_request(
    request: HttpRequest, index: ConfigurationIndex
) -> CallerRequest:
    """Return the validated request with its target and priority class.

    Raises `CallerError` with the HTTP status of the refusal, `BodyTooLarge`, or
    `CallerDisconnected`.
    """
    workspace = index.workspace(request.headers.get("authorization", ""))
    body = await _read_body(request)
    target = _parse_target(request, body, index)
    service_name = request.headers.get("poplarward-service", "")
    service = index.service(workspace, service_name, target.upstream)
    priority_class = index.priority_class(service, target.default_class)
    deadline_ms = (
        service["deadline_ms"] if service else DEFAULT_DEADLINE_MS[priority_class]
    )
    return CallerRequest(
        workspace=workspace,
        upstream=target.upstream,
        priority_class=priority_class,
        deadline_ms=deadline_ms,
        repeatable=target.repeatable,
        method=request.method,
        path=target.path,
        headers=[
            (name, request.headers[name])
            for name in FORWARDED_HEADERS
            if name in request.headers
        ],
        body=body,
        idempotency_key=_parse_key(request),
        prefix_digest=target.prefix_digest,
        share=index.share(workspace),
        n_tokens=target.n_tokens,
        n_prompt_tokens=target.n_prompt_tokens,
    )


async def parse_key_request(request: HttpRequest) -> str:
    """Return the plain service that a key is requested for; raises `CallerError`."""
    try:
        document = json.loads(await _read_body(request))
    except (ValueError, RecursionError):
        raise CallerError(400, "the body is not JSON") from None
    if not isinstance(document, dict) or not isinstance(document.get("service"), str):
        raise CallerError(400, "'service' is missing or not a string")
    return document["service"]


async def _read_body(request: HttpRequest) -> bytes:
    with trio.move_on_after(BODY_TIMEOUT_S):
        return await request.body(MAX_BODY_BYTES)
    raise CallerError(408, f"the body did not arrive within {BODY_TIMEOUT_S:g} s")


def _parse_target(
    request: HttpRequest, body: bytes, index: ConfigurationIndex
) -> _Target:
    if (request.method, request.path) == ("POST", "/v1/completions"):
        document = _parse_completion(body)
        pool = index.model_pool(document["model"])
        prompt = document["prompt"]
        n_prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN
        return _Target(
            pool,
            request.target,
            True,
            PriorityClass.DRAFTING,
            prefix_digest(prompt),
            document.get("max_tokens", 1) + n_prompt_tokens,
            n_prompt_tokens,
        )
    if not request.target.startswith(SERVICES_PREFIX):
        raise CallerError(404, f"no such path: {request.path[:80]}")
    name, _, remainder = request.target.removeprefix(SERVICES_PREFIX).partition("/")
    path = "/" + remainder
    _validate_path(path)
    repeatable = index.is_repeatable(name, request.method, path)
    return _Target(name, path, repeatable, PriorityClass.URGENT)


def _parse_completion(body: bytes) -> dict[str, Any]:
    """Return the document of a completion request with validated fields."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise CallerError(400, "the body is not JSON") from None
    if not isinstance(document, dict):
        raise CallerError(400, "the body is not a JSON object")
    for name, kind in (("model", str), ("prompt", str)):
        if not isinstance(document.get(name), kind):
            raise CallerError(400, f"{name!r} is missing or not a string")
    max_tokens = document.get("max_tokens", 1)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise CallerError(400, "'max_tokens' is not a positive integer")
    return document


def _validate_path(path: str) -> None:
    """Refuse paths that the upstream may interpret as another call."""
    route = path.partition("?")[0]
    if "//" in route or "%" in route or any(s in (".", "..") for s in route.split("/")):
        raise CallerError(400, "the path has empty, dot or encoded segments")


def _parse_key(request: HttpRequest) -> str:
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise CallerError(400, f"the key is over {MAX_KEY_CHARACTERS} characters")
    return key

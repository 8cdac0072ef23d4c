"""Serves the operators' calls to those who show a valid credential."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Any

from ..protocol.generated.poplarward.v1.operations_connect import (
    OperationsASGIApplication,
)
from .service import OperationsService

__all__ = ["operations_application"]


def operations_application(
    service: OperationsService, operator_tokens: Mapping[str, str]
) -> Any:
    """Return the ASGI application that serves operators.

    Parameters
    ----------
    service : OperationsService
        Implements the calls.
    operator_tokens : mapping of str to str
        Bearer tokens of the operators, by operator's name.
    """
    application = OperationsASGIApplication(service)

    async def guarded(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http" and not _is_operator(scope, operator_tokens):
            await send({"type": "http.response.start", "status": 401, "headers": []})
            await send({"type": "http.response.body", "body": b""})
            return
        await application(scope, receive, send)

    return guarded


def _is_operator(scope: dict[str, Any], tokens: Mapping[str, str]) -> bool:
    headers = dict(scope["headers"])
    scheme, _, given = headers.get(b"authorization", b"").partition(b" ")
    is_known = [hmac.compare_digest(given, token.encode()) for token in tokens.values()]
    return scheme.lower() == b"bearer" and any(is_known)

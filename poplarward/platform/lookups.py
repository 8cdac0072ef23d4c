"""Answers callers that ask which addresses to connect to."""

from __future__ import annotations

import json

from ..transport.http1_server import Exchange

__all__ = ["answer_lookup"]

ADDRESS_TTL_S = 1  # Callers hear of a host that has stopped or appeared within it.
MAX_ADDRESSES = 64  # More are not used.


async def answer_lookup(exchange: Exchange, addresses: list[str]) -> None:
    """Answer with the addresses of the hosts that serve."""
    if not addresses:
        await exchange.respond(503, [], b"")
        return
    body = json.dumps({"addresses": addresses[:MAX_ADDRESSES], "ttlS": ADDRESS_TTL_S})
    headers = [(b"Content-Type", b"application/json")]
    await exchange.respond(200, headers, body.encode())

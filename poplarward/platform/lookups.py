"""Responds to callers that look up which addresses to connect to."""

from __future__ import annotations

import json

from ..transport.http1_exchange import Exchange

__all__ = ["respond_to_lookup"]

ADDRESS_TTL_S = 1  # Callers learn of a stopped or new host within this time.
MAX_ADDRESSES = 64  # Callers use no more.


async def respond_to_lookup(exchange: Exchange, addresses: list[str]) -> None:
    """Respond with the addresses of the serving hosts, or 503 if there are none."""
    if not addresses:
        await exchange.respond(503, [], b"")
        return
    body = json.dumps({"addresses": addresses[:MAX_ADDRESSES], "ttlS": ADDRESS_TTL_S})
    headers = [(b"Content-Type", b"application/json")]
    await exchange.respond(200, headers, body.encode())

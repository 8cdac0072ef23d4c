"""Stand-in of the plain services: bookings and deposits, balances and payments.

Its record of every posting shows whether a payment ran twice.
"""

from __future__ import annotations

import json
from typing import Any

import trio

from ..transport import HttpRequest, Responder

__all__ = ["LedgerStandin"]

MAX_BODY_BYTES = 64 * 1024


class LedgerStandin:
    """A ledger that makes a posting for every call, repeated ones included.

    Attributes
    ----------
    postings : list of dict
        Every posting in order, with the reference that the caller gave.
    """

    def __init__(self, work_ms: float = 2.0):
        self.postings: list[dict[str, Any]] = []
        self._work_s = work_ms / 1000

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        parts = request.path.strip("/").split("/")
        match request.method, parts:
            case "POST", ["deposits" | "payments" as account]:
                await self._post(request, responder, account)
            case "GET", ["bookings" | "balances", reference]:
                await trio.sleep(self._work_s)
                n = sum(p["reference"] == reference for p in self.postings)
                await responder.respond_json(200, {"reference": reference, "n": n})
            case "GET", ["postings"]:
                await responder.respond_json(200, self.postings)
            case _:
                await responder.respond_json(404, {"error": "no such path"})

    async def _post(
        self, request: HttpRequest, responder: Responder, account: str
    ) -> None:
        document = json.loads(await request.body(MAX_BODY_BYTES))
        posting = {"account": account, **document, "number": len(self.postings) + 1}
        self.postings.append(posting)
        await trio.sleep(self._work_s)
        await responder.respond_json(201, posting)

"""Clients of a deployment that behave like its users' applications."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import trio

from poplarward.errors import UpstreamUnreachable
from poplarward.standins.engine import completion_words
from poplarward.transport import HttpClient

__all__ = ["AttemptResult", "Caller", "ClassTally"]

CALL_TIMEOUT_MS = 20_000
MAX_ATTEMPTS = 40
MIN_BACKOFF_S = 0.1


class AttemptResult(NamedTuple):
    """Response to one attempt of a request.

    Attributes
    ----------
    outcome : str
        ``ran``, ``not-run`` or ``unknown``, as the response states; ``unknown`` if
        the connection was lost.
    """

    status: int
    outcome: str
    body: bytes
    retry_after_ms: float


@dataclass
class ClassTally:
    """Results of one class of requests."""

    n_sent: int = 0
    n_whole: int = 0
    n_wrong: int = 0
    n_unanswered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)


class Caller:
    """Discovers addresses of entry hosts, caches them, and sends requests.

    Parameters
    ----------
    first_addresses : list of str
        Addresses to send the first discovery request to.
    token : str
        The workspace's bearer token.
    """

    def __init__(self, first_addresses: list[str], token: str, rng: random.Random):
        self._first_addresses = first_addresses
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self._headers = [
            ("authorization", f"Bearer {token}"),
            ("content-type", "application/json"),
        ]
        self._rng = rng
        self._clients: dict[str, HttpClient] = {}

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    async def draft(
        self, tally: ClassTally, model: str, prompt: str, n_tokens: int
    ) -> None:
        """Stream a completion and check that it is complete and for this prompt."""
        document = {"model": model, "prompt": prompt, "max_tokens": n_tokens}
        result = await self._send(
            tally, "POST", "/v1/completions", json.dumps(document).encode()
        )
        if result is not None:
            expected = completion_words(prompt, n_tokens)
            self._record_correctness(tally, _read_words(result.body) == expected)

    async def look_up(self, tally: ClassTally, reference: str) -> None:
        """Look a booking up."""
        path = f"/v1/services/bookings/bookings/{reference}"
        result = await self._send(tally, "GET", path, b"")
        if result is not None:
            document = json.loads(result.body)
            self._record_correctness(tally, document["reference"] == reference)

    async def deposit(self, tally: ClassTally, reference: str, cents: int) -> None:
        """Record a deposit under an idempotency key, which makes retries safe."""
        document = {"reference": reference, "cents": cents}
        result = await self._send(
            tally,
            "POST",
            "/v1/services/bookings/deposits",
            json.dumps(document).encode(),
            [("idempotency-key", f"deposit-{reference}")],
        )
        if result is not None:
            recorded = json.loads(result.body)
            self._record_correctness(tally, recorded["reference"] == reference)

    def _record_correctness(self, tally: ClassTally, is_correct: bool) -> None:
        if is_correct:
            tally.n_whole += 1
        else:
            tally.n_wrong += 1

    async def _send(
        self,
        tally: ClassTally,
        method: str,
        path: str,
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> AttemptResult | None:
        """Send a request, with retries, until it succeeds; None if it never does."""
        tally.n_sent += 1
        started_at = trio.current_time()
        for _ in range(MAX_ATTEMPTS):
            result = await self._attempt(
                method, path, body, [*self._headers, *(headers or [])]
            )
            tally.outcomes[result.outcome] += 1
            if result.status in (200, 201):
                tally.latencies_ms.append((trio.current_time() - started_at) * 1000)
                return result
            is_keyed = bool(headers)
            if result.outcome != "not-run" and method == "POST" and not is_keyed:
                # A draft can be retried: running it twice does no harm.
                self._expires_at = 0.0
            backoff_s = max(result.retry_after_ms / 1000, MIN_BACKOFF_S)
            await trio.sleep(backoff_s * (0.5 + self._rng.random()))
        tally.n_unanswered += 1
        return None

    async def _attempt(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]]
    ) -> AttemptResult:
        try:
            client = await self._client()
            response = await client.call(method, path, headers, body, CALL_TIMEOUT_MS)
        except UpstreamUnreachable as error:
            self._expires_at = 0.0
            return AttemptResult(0, "unknown" if error.sent else "not-run", b"", 0)
        response_headers = dict(response.headers)
        outcome = response_headers.get("poplarward-outcome", "unknown")
        retry_after_ms = float(response_headers.get("retry-after", 0)) * 1000
        if response.status == 200 and b"event: error" in response.body:
            return AttemptResult(502, "unknown", response.body, retry_after_ms)
        return AttemptResult(response.status, outcome, response.body, retry_after_ms)

    async def _client(self) -> HttpClient:
        """Return a client of a random cached address."""
        if trio.current_time() >= self._expires_at:
            await self._refresh_addresses()
        address = self._rng.choice(self._addresses)
        return self._client_for(address)

    async def _refresh_addresses(self) -> None:
        known = [*self._addresses, *self._first_addresses]
        self._rng.shuffle(known)
        for address in known:
            try:
                reply = await self._client_for(address).call(
                    "GET", "/v1/addresses", timeout_ms=2000
                )
            except UpstreamUnreachable:
                continue
            document: dict[str, Any] = json.loads(reply.body)
            if reply.status == 200 and document["addresses"]:
                self._addresses = document["addresses"]
                self._expires_at = trio.current_time() + document["keep_ms"] / 1000
                return
        raise UpstreamUnreachable("no entry host responds", sent=False)

    def _client_for(self, address: str) -> HttpClient:
        if address not in self._clients:
            self._clients[address] = HttpClient(f"http://{address}")
        return self._clients[address]


def _read_words(body: bytes) -> list[str]:
    events = body.decode().split("\n\n")
    documents = [json.loads(e[6:]) for e in events if e.startswith("data: {")]
    return [document["choices"][0]["text"] for document in documents]

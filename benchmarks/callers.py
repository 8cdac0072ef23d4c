"""Callers of a deployment, as its users' applications behave."""

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

__all__ = ["Answer", "Caller", "ClassTally"]

CALL_TIMEOUT_MS = 20_000
MAX_ATTEMPTS = 40
MIN_BACKOFF_S = 0.1


class Answer(NamedTuple):
    """What a caller got in one try.

    Attributes
    ----------
    outcome : str
        ``ran``, ``not-run`` or ``unknown``, as the system said; ``unknown`` if the
        connection was cut.
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
    """Asks for addresses, keeps them for as long as told, and sends requests.

    Parameters
    ----------
    first_addresses : list of str
        Callers' addresses to ask first.
    token : str
        The workspace's bearer token.
    """

    def __init__(self, first_addresses: list[str], token: str, rng: random.Random):
        self._first_addresses = first_addresses
        self._addresses: list[str] = []
        self._kept_until = 0.0
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
        """Stream a completion and check that it is whole and the caller's own."""
        document = {"model": model, "prompt": prompt, "max_tokens": n_tokens}
        answer = await self._send(
            tally, "POST", "/v1/completions", json.dumps(document).encode()
        )
        if answer is not None:
            expected = completion_words(prompt, n_tokens)
            self._judge(tally, _read_words(answer.body) == expected)

    async def look_up(self, tally: ClassTally, reference: str) -> None:
        """Look a booking up."""
        path = f"/v1/services/bookings/bookings/{reference}"
        answer = await self._send(tally, "GET", path, b"")
        if answer is not None:
            document = json.loads(answer.body)
            self._judge(tally, document["reference"] == reference)

    async def deposit(self, tally: ClassTally, reference: str, cents: int) -> None:
        """Record a deposit under a key; resends it if that is safe."""
        document = {"reference": reference, "cents": cents}
        answer = await self._send(
            tally,
            "POST",
            "/v1/services/bookings/deposits",
            json.dumps(document).encode(),
            [("idempotency-key", f"deposit-{reference}")],
        )
        if answer is not None:
            posted = json.loads(answer.body)
            self._judge(tally, posted["reference"] == reference)

    def _judge(self, tally: ClassTally, is_right: bool) -> None:
        if is_right:
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
    ) -> Answer | None:
        """Send a request until it has a final answer; None if it gets none."""
        tally.n_sent += 1
        began = trio.current_time()
        for _ in range(MAX_ATTEMPTS):
            answer = await self._try_once(
                method, path, body, [*self._headers, *(headers or [])]
            )
            tally.outcomes[answer.outcome] += 1
            if answer.status in (200, 201):
                tally.latencies_ms.append((trio.current_time() - began) * 1000)
                return answer
            is_keyed = bool(headers)
            if answer.outcome != "not-run" and method == "POST" and not is_keyed:
                # A draft may be asked for again; it does no harm to run twice.
                self._kept_until = 0.0
            pause_s = max(answer.retry_after_ms / 1000, MIN_BACKOFF_S)
            await trio.sleep(pause_s * (0.5 + self._rng.random()))
        tally.n_unanswered += 1
        return None

    async def _try_once(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]]
    ) -> Answer:
        try:
            client = await self._client()
            response = await client.call(method, path, headers, body, CALL_TIMEOUT_MS)
        except UpstreamUnreachable as error:
            self._kept_until = 0.0
            return Answer(0, "unknown" if error.sent else "not-run", b"", 0)
        given = dict(response.headers)
        outcome = given.get("poplarward-outcome", "unknown")
        retry_after_ms = float(given.get("retry-after", 0)) * 1000
        if response.status == 200 and b"event: error" in response.body:
            return Answer(502, "unknown", response.body, retry_after_ms)
        return Answer(response.status, outcome, response.body, retry_after_ms)

    async def _client(self) -> HttpClient:
        """Return a client of one of the named addresses."""
        if trio.current_time() >= self._kept_until:
            await self._ask_addresses()
        address = self._rng.choice(self._addresses)
        return self._client_of(address)

    async def _ask_addresses(self) -> None:
        known = [*self._addresses, *self._first_addresses]
        self._rng.shuffle(known)
        for address in known:
            try:
                reply = await self._client_of(address).call(
                    "GET", "/v1/addresses", timeout_ms=2000
                )
            except UpstreamUnreachable:
                continue
            document: dict[str, Any] = json.loads(reply.body)
            if reply.status == 200 and document["addresses"]:
                self._addresses = document["addresses"]
                self._kept_until = trio.current_time() + document["keep_ms"] / 1000
                return
        raise UpstreamUnreachable("no entry host answers", sent=False)

    def _client_of(self, address: str) -> HttpClient:
        if address not in self._clients:
            self._clients[address] = HttpClient(f"http://{address}")
        return self._clients[address]


def _read_words(body: bytes) -> list[str]:
    events = body.decode().split("\n\n")
    documents = [json.loads(e[6:]) for e in events if e.startswith("data: {")]
    return [document["choices"][0]["text"] for document in documents]

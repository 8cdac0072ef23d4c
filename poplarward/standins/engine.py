"""Stand-in of a model engine whose ranks advance in lock-step.

It answers ``POST /v1/completions`` as a stream of server-sent events, one token an
event, and resumes after ``resume_after`` tokens. The text depends on the prompt
alone, so that a resumed or retried answer can be compared with an uninterrupted one.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

import trio
import xxhash

from ..transport import HttpRequest, Responder

__all__ = ["EngineStandin", "EngineTiming", "completion_words"]

MAX_BODY_BYTES = 1024 * 1024
VOCABULARY = "fur amber hive stripe canvas clover paw frame linen nectar brush comb"


@dataclass(frozen=True)
class EngineTiming:
    """How long the engine's steps take.

    Attributes
    ----------
    step_ms : float
        Time of one step, in which each running request gets one token.
    n_slots : int
        Requests that run at once; others wait, urgent ones first.
    """

    step_ms: float = 10.0
    n_slots: int = 32


def completion_words(prompt: str, n_tokens: int) -> list[str]:
    """Return the words that the stand-in generates for a prompt."""
    words = VOCABULARY.split()
    seed = xxhash.xxh64_intdigest(prompt.encode())
    return [words[(seed >> (i % 48)) % len(words)] + f"-{i} " for i in range(n_tokens)]


class EngineStandin:
    """One upstream host of a model group.

    Attributes
    ----------
    n_running, n_waiting : int
        Requests in a slot, and waiting for one.
    n_requests : int
        Requests received since the start.
    n_tokens_made : int
        Tokens generated since the start.

    Parameters
    ----------
    timing : EngineTiming, optional
    crash_marker : str
        Text in a prompt that crashes the engine in the prompt's first step.
    crash : callable, optional
        Kills the engine and everything that runs on it.
    """

    def __init__(
        self,
        timing: EngineTiming | None = None,
        crash_marker: str = "",
        crash: Callable[[], None] | None = None,
    ):
        self._crash_marker = crash_marker
        self._crash = crash
        self.timing = timing or EngineTiming()
        self.n_running = 0
        self.n_waiting = 0
        self.n_requests = 0
        self.n_tokens_made = 0
        self._slots = trio.Semaphore(self.timing.n_slots)
        self._stepped = trio.Event()

    async def run(self) -> None:
        """Step until cancelled."""
        while True:
            await trio.sleep(self.timing.step_ms / 1000)
            self._stepped.set()
            self._stepped = trio.Event()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        match request.method, request.path:
            case "POST", "/v1/completions":
                await self._complete(request, responder)
            case "GET", "/load":
                await responder.respond_json(200, self._load())
            case _:
                await responder.respond_json(404, {"error": "no such path"})

    def _load(self) -> dict[str, int]:
        return {
            "n_running": self.n_running,
            "n_waiting": self.n_waiting,
            "n_slots": self.timing.n_slots,
            "n_requests": self.n_requests,
            "n_tokens_made": self.n_tokens_made,
        }

    async def _complete(self, request: HttpRequest, responder: Responder) -> None:
        self.n_requests += 1
        document = json.loads(await request.body(MAX_BODY_BYTES))
        n_tokens = int(document.get("max_tokens", 16))
        first = int(document.get("resume_after", 0))
        words = completion_words(document["prompt"], n_tokens)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request.cancel_on_disconnect, nursery.cancel_scope)
            if self._crash is not None and self._crash_marker in document["prompt"]:
                await self._stepped.wait()
                self._crash()
            await self._generate(responder, words, first)
            nursery.cancel_scope.cancel()

    async def _generate(
        self, responder: Responder, words: list[str], first: int
    ) -> None:
        self.n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.n_waiting -= 1
        self.n_running += 1
        try:
            await responder.start(200, [("content-type", "text/event-stream")])
            for index in range(first, len(words)):
                await self._stepped.wait()
                self.n_tokens_made += 1
                event = {"index": index, "choices": [{"text": words[index]}]}
                await responder.write(f"data: {json.dumps(event)}\n\n".encode())
            await responder.finish(b"data: [DONE]\n\n")
        finally:
            self.n_running -= 1
            self._slots.release()

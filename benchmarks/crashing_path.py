"""In-memory engines that crash on marked prompts, and callers that retry them.

Used by the tests and the benchmark of requests that crash upstreams.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import trio

from benchmarks.memory_path import MemoryPath, MemoryUpstream, RecordingResponder, draft
from poplarward.requests.attempt_ends import QUARANTINE_REASON
from poplarward.standins.engine import EngineStandin, EngineTiming, completion_words

__all__ = ["MARKER", "CrashingEngines", "draft_until_answered"]

MARKER = "melt the glaze"


class CrashingEngines:
    """Engines that crash on a prompt with `MARKER` and restart after a delay.

    Attributes
    ----------
    n_crashes : int
        Number of crashes so far.
    """

    def __init__(self, path: MemoryPath, restart_ms: float = 2_000.0):
        self.n_crashes = 0
        self.clients: dict[str, MemoryUpstream] = {}
        self._path = path
        self._restart_ms = restart_ms

    async def start(
        self,
        n_engines: int,
        step_ms: float = 20.0,
        n_slots: int = 16,
        **options: Any,
    ) -> None:
        """Start engines, each with its agent."""
        for number in range(1, n_engines + 1):
            name = f"agent-{number}"

            def crash(name: str = name) -> None:
                self.crash(name)

            timing = EngineTiming(step_ms, n_slots)
            engine = EngineStandin(timing, MARKER, crash)
            self._path.nursery.start_soon(engine.run)
            client = MemoryUpstream(self._path.nursery, engine.handle)
            self.clients[name] = client
            host = f"10.2.0.{number}"
            created_options = {key: make() for key, make in options.items()}
            await self._path.start_agent(
                name, host, "engine", "drafts", client, n_slots, **created_options
            )

    def crash(self, name: str) -> None:
        """Abort the requests in flight on an engine and restart it after a delay."""
        client = self.clients[name]
        if client.is_up:
            self.n_crashes += 1
            client.crash()
            self._path.nursery.start_soon(self._restart, client)

    async def _restart(self, client: MemoryUpstream) -> None:
        await trio.sleep(self._restart_ms / 1000)
        client.is_up = True


async def draft_until_answered(
    entries: list[Any],
    prompt: str,
    outcomes: Counter[str],
    n_attempts: int = 1,
    backoff_ms: float = 1_000.0,
    n_tokens: int = 20,
) -> None:
    """Send a prompt, with retries on the next entry hosts, and count its outcome."""
    for number in range(n_attempts):
        caller = RecordingResponder()
        await entries[number % len(entries)].run(draft(prompt, n_tokens), caller)
        if caller.status == 422 or QUARANTINE_REASON.encode() in caller.body:
            outcomes["refused"] += 1
            return
        if caller.status == 200 and b"event: error" not in caller.body:
            is_whole = caller.words() == completion_words(prompt, n_tokens)
            outcomes["whole" if is_whole else "wrong"] += 1
            return
        await trio.sleep(backoff_ms / 1000)
    outcomes["failed"] += 1

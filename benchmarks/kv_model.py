"""Streams and an engine with limited KV memory, for the admission benchmark.

Time goes in ticks of several engine steps; in a tick each decoding stream makes one
token a step. When the memory can't take the next tokens, the engine evicts the
stream that started last and computes its prompt and tokens anew once there is room.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

__all__ = ["ARRIVAL_MIXES", "Arrival", "Engine", "Running", "arrivals"]

STEPS_PER_TICK = 8
STEP_MS = 20.0
TICK_MS = STEPS_PER_TICK * STEP_MS
PREFILL_SHARE_PER_TICK = 1 / 16
ESTIMATE_ERROR = 0.1


class StreamClass(NamedTuple):
    """A kind of stream: log-normal lengths, cut at a maximum."""

    name: str
    n_prompt_least: int
    n_prompt_most: int
    n_median_tokens: float
    sigma: float
    max_tokens: int


BRIEFS = StreamClass("briefs", 200, 700, 130.0, 0.6, 512)
LETTERS = StreamClass("letters", 250, 400, 240.0, 0.35, 1024)
SUMMARIES = StreamClass("summaries", 1000, 4000, 300.0, 1.2, 4096)

ARRIVAL_MIXES: dict[str, dict[StreamClass, float]] = {
    "briefs": {BRIEFS: 0.9, LETTERS: 0.1},
    "even": {BRIEFS: 0.4, LETTERS: 0.4, SUMMARIES: 0.2},
    "summaries": {BRIEFS: 0.3, SUMMARIES: 0.7},
}


class Arrival(NamedTuple):
    """A stream of the common arrivals; its length is unknown to admission."""

    at_ms: float
    workspace: str
    n_prompt_tokens: int
    n_estimated_prompt: int
    max_tokens: int
    n_output_tokens: int


def arrivals(
    mix: str,
    limit_tokens: int,
    load: float,
    drift: float,
    duration_ms: float,
    seed: int,
) -> list[Arrival]:
    """Return streams in order of time.

    Parameters
    ----------
    mix : str
        Which of `ARRIVAL_MIXES`.
    limit_tokens : int
        KV memory of the engine.
    load : float
        Memory that the streams would hold on average, over the limit, before drift.
    drift : float
        Factor by which lengths have grown at the end, from one third of the time on.
    """
    rng = random.Random(f"{mix} {seed}")
    shares = ARRIVAL_MIXES[mix]
    classes = list(shares)
    weights = list(shares.values())
    sizes = [_token_ms(rng, each) for each in rng.choices(classes, weights, k=4000)]
    rate_per_ms = load * limit_tokens / (sum(sizes) / len(sizes))
    found = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_ms)
        drawn = rng.choices(classes, weights)[0]
        elapsed = max(0.0, now_ms / duration_ms - 1 / 3) * 1.5
        # Workspaces send batches: a burst of streams of one kind at once.
        n_streams = 8 if rng.random() < 0.02 else 1
        for _ in range(n_streams):
            n_prompt, n_output = _draw(rng, drawn, 1 + (drift - 1) * elapsed)
            error = rng.lognormvariate(0.0, ESTIMATE_ERROR)
            found.append(
                Arrival(
                    now_ms,
                    drawn.name,
                    n_prompt,
                    round(n_prompt * error),
                    drawn.max_tokens,
                    n_output,
                )
            )
    return found


def _draw(rng: random.Random, drawn: StreamClass, factor: float) -> tuple[int, int]:
    n_prompt = rng.randint(drawn.n_prompt_least, drawn.n_prompt_most)
    length = factor * drawn.n_median_tokens * rng.lognormvariate(0.0, drawn.sigma)
    return n_prompt, max(1, min(drawn.max_tokens, round(length)))


def _token_ms(rng: random.Random, drawn: StreamClass) -> float:
    n_prompt, n_output = _draw(rng, drawn, 1.0)
    # Bursts add 0.14 streams to each arrival.
    return 1.14 * n_output * STEP_MS * (n_prompt + n_output / 2)


class Running:
    """A stream that was admitted."""

    def __init__(self, arrival: Arrival):
        self.arrival = arrival
        self.n_made = 0
        self.n_to_prefill = arrival.n_prompt_tokens

    @property
    def n_held(self) -> int:
        """Tokens that it holds while it is not evicted."""
        return self.arrival.n_prompt_tokens + self.n_made


class Engine:
    """Runs admitted streams in the order of their start."""

    def __init__(self, limit_tokens: int):
        self.limit_tokens = limit_tokens
        self.running: list[Running] = []
        self.evicted: deque[Running] = deque()
        self.n_evictions = 0
        self.n_recomputed_tokens = 0
        self.n_prefilled_tokens = 0

    @property
    def n_used(self) -> int:
        """Tokens in memory."""
        return sum(stream.n_held for stream in self.running)

    def admit(self, stream: Running) -> None:
        """Take a stream; it starts as soon as its prompt has room."""
        self.evicted.append(stream)

    def tick(self) -> list[Running]:
        """Advance by one tick; returns the streams that ended."""
        n_used = self.n_used
        while self.evicted and n_used + self.evicted[0].n_held <= self.limit_tokens:
            stream = self.evicted.popleft()
            self.running.append(stream)
            n_used += stream.n_held
        budget = round(self.limit_tokens * PREFILL_SHARE_PER_TICK)
        growing = []
        for stream in self.running:
            taken = min(budget, stream.n_to_prefill)
            stream.n_to_prefill -= taken
            budget -= taken
            self.n_prefilled_tokens += taken
            if stream.n_to_prefill == 0:
                growing.append(stream)
        while n_used + STEPS_PER_TICK * len(growing) > self.limit_tokens:
            if len(self.running) == 1:
                break
            n_used -= self._evict_last(growing)
        ended = []
        for stream in growing:
            left = stream.arrival.n_output_tokens - stream.n_made
            stream.n_made += min(left, STEPS_PER_TICK)
            if left <= STEPS_PER_TICK:
                ended.append(stream)
        done = set(map(id, ended))
        self.running = [each for each in self.running if id(each) not in done]
        return ended

    def _evict_last(self, growing: list[Running]) -> int:
        victim = self.running.pop()
        if victim in growing:
            growing.remove(victim)
        self.n_evictions += 1
        self.n_recomputed_tokens += victim.n_held - victim.n_to_prefill
        victim.n_to_prefill = victim.n_held
        self.evicted.appendleft(victim)
        return victim.n_held

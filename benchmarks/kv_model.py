"""Streams and an engine with limited KV memory, for the admission benchmark.

Time advances in ticks of several engine steps; each decoding stream generates one token
per step. When the next tokens do not fit in memory, the engine evicts the stream that
started last and recomputes its prompt and output once there is enough memory.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

__all__ = ["ARRIVAL_MIXES", "AdmittedStream", "Arrival", "Engine", "arrivals"]

STEPS_PER_TICK = 8
STEP_MS = 20.0
TICK_MS = STEPS_PER_TICK * STEP_MS
PREFILL_FRACTION_PER_TICK = 1 / 16
ESTIMATE_ERROR = 0.1


class StreamClass(NamedTuple):
    """A class of streams with log-normal output lengths, truncated at a maximum."""

    name: str
    n_prompt_min: int
    n_prompt_max: int
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
    """A stream of the shared arrivals; admission does not know its output length."""

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
    """Return the streams, ordered by arrival time.

    Parameters
    ----------
    mix : str
        Name of one of `ARRIVAL_MIXES`.
    limit_tokens : int
        KV memory of the engine, in tokens.
    load : float
        Mean memory demand of the streams before drift, relative to the limit.
    drift : float
        Factor by which output lengths have grown at the end; growth starts after one
        third of the duration.
    """
    rng = random.Random(f"{mix} {seed}")
    class_weights = ARRIVAL_MIXES[mix]
    classes = list(class_weights)
    weights = list(class_weights.values())
    sizes = [_token_ms(rng, each) for each in rng.choices(classes, weights, k=4000)]
    rate_per_ms = load * limit_tokens / (sum(sizes) / len(sizes))
    streams = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_ms)
        stream_class = rng.choices(classes, weights)[0]
        elapsed = max(0.0, now_ms / duration_ms - 1 / 3) * 1.5
        # Workspaces send batches: bursts of simultaneous streams of one class.
        n_streams = 8 if rng.random() < 0.02 else 1
        for _ in range(n_streams):
            n_prompt, n_output = _draw(rng, stream_class, 1 + (drift - 1) * elapsed)
            error = rng.lognormvariate(0.0, ESTIMATE_ERROR)
            streams.append(
                Arrival(
                    now_ms,
                    stream_class.name,
                    n_prompt,
                    round(n_prompt * error),
                    stream_class.max_tokens,
                    n_output,
                )
            )
    return streams


def _draw(
    rng: random.Random, stream_class: StreamClass, factor: float
) -> tuple[int, int]:
    n_prompt = rng.randint(stream_class.n_prompt_min, stream_class.n_prompt_max)
    length = (
        factor
        * stream_class.n_median_tokens
        * rng.lognormvariate(0.0, stream_class.sigma)
    )
    return n_prompt, max(1, min(stream_class.max_tokens, round(length)))


def _token_ms(rng: random.Random, stream_class: StreamClass) -> float:
    n_prompt, n_output = _draw(rng, stream_class, 1.0)
    # Bursts add 0.14 streams to each arrival on average.
    return 1.14 * n_output * STEP_MS * (n_prompt + n_output / 2)


class AdmittedStream:
    """A stream that was admitted."""

    def __init__(self, arrival: Arrival):
        self.arrival = arrival
        self.n_made = 0
        self.n_to_prefill = arrival.n_prompt_tokens

    @property
    def n_kv_tokens(self) -> int:
        """KV tokens of the stream while it is not evicted."""
        return self.arrival.n_prompt_tokens + self.n_made


class Engine:
    """Runs admitted streams in the order in which they start."""

    def __init__(self, limit_tokens: int):
        self.limit_tokens = limit_tokens
        self.running: list[AdmittedStream] = []
        self.evicted: deque[AdmittedStream] = deque()
        self.n_evictions = 0
        self.n_recomputed_tokens = 0
        self.n_prefilled_tokens = 0

    @property
    def n_used(self) -> int:
        """KV tokens in memory."""
        return sum(stream.n_kv_tokens for stream in self.running)

    def admit(self, stream: AdmittedStream) -> None:
        """Queue an admitted stream; it starts once its prompt fits in memory."""
        self.evicted.append(stream)

    def tick(self) -> list[AdmittedStream]:
        """Advance by one tick and return the streams that ended."""
        n_used = self.n_used
        while (
            self.evicted and n_used + self.evicted[0].n_kv_tokens <= self.limit_tokens
        ):
            stream = self.evicted.popleft()
            self.running.append(stream)
            n_used += stream.n_kv_tokens
        budget = round(self.limit_tokens * PREFILL_FRACTION_PER_TICK)
        decoding = []
        for stream in self.running:
            n_tokens = min(budget, stream.n_to_prefill)
            stream.n_to_prefill -= n_tokens
            budget -= n_tokens
            self.n_prefilled_tokens += n_tokens
            if stream.n_to_prefill == 0:
                decoding.append(stream)
        while n_used + STEPS_PER_TICK * len(decoding) > self.limit_tokens:
            if len(self.running) == 1:
                break
            n_used -= self._evict_last(decoding)
        ended = []
        for stream in decoding:
            n_remaining = stream.arrival.n_output_tokens - stream.n_made
            stream.n_made += min(n_remaining, STEPS_PER_TICK)
            if n_remaining <= STEPS_PER_TICK:
                ended.append(stream)
        ended_ids = set(map(id, ended))
        self.running = [each for each in self.running if id(each) not in ended_ids]
        return ended

    def _evict_last(self, decoding: list[AdmittedStream]) -> int:
        victim = self.running.pop()
        if victim in decoding:
            decoding.remove(victim)
        self.n_evictions += 1
        self.n_recomputed_tokens += victim.n_kv_tokens - victim.n_to_prefill
        victim.n_to_prefill = victim.n_kv_tokens
        self.evicted.appendleft(victim)
        return victim.n_kv_tokens

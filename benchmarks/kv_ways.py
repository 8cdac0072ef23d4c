"""Ways to admit streams to an engine's KV memory that the benchmark compares.

A way sees the prompt's length as estimated, the most tokens a stream may make, the
tokens it has made, and the lengths of the streams that ended, by workspace. The
measured one calls the code that the agent uses.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

from poplarward.requests.kv_admission import KvMemory, KvReservation

from .kv_conditional import KvAdmission, KvStream
from .kv_model import Arrival, Running

__all__ = ["WAYS", "Way"]

N_SAMPLES = 256
N_THETAS = 12


class Way:
    """Keeps the admitted streams; the ways derive from it."""

    def __init__(self, limit_tokens: int):
        self.limit_tokens = limit_tokens
        self.streams: dict[int, Running] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Whether a stream may start now."""
        raise NotImplementedError

    def begin(self, stream: Running) -> None:
        """Note that a stream was admitted."""
        self.streams[id(stream)] = stream

    def end(self, stream: Running) -> None:
        """Note that a stream has ended."""
        del self.streams[id(stream)]


class Slots(Way):
    """A number of streams, as the agent does without any setting for memory."""

    def __init__(self, limit_tokens: int, tokens_per_slot: int):
        super().__init__(limit_tokens)
        self.n_slots = limit_tokens // tokens_per_slot

    def may_start(self, arrival: Arrival) -> bool:
        """Whether a slot is free."""
        return len(self.streams) < self.n_slots


class Peak(Way):
    """What each stream can hold at most."""

    def may_start(self, arrival: Arrival) -> bool:
        """Whether all fit with the most tokens they may make."""
        n_tokens = arrival.n_estimated_prompt + arrival.max_tokens
        for stream in self.streams.values():
            other = stream.arrival
            n_tokens += other.n_estimated_prompt + other.max_tokens
        return not self.streams or n_tokens <= self.limit_tokens


class Measured(Way):
    """What the streams hold now, and some room for what they will make."""

    def __init__(self, limit_tokens: int, headroom: float):
        super().__init__(limit_tokens)
        self.memory = KvMemory(limit_tokens, headroom)
        self.shares: dict[int, KvReservation] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Whether the prompt fits below the headroom."""
        for key, stream in self.streams.items():
            share = self.shares[key]
            estimate = stream.arrival.n_estimated_prompt
            share.grow(estimate + stream.n_made - share.n_tokens)
        return self.memory.has_room(arrival.n_estimated_prompt)

    def begin(self, stream: Running) -> None:
        """Count the prompt in."""
        super().begin(stream)
        estimate = stream.arrival.n_estimated_prompt
        self.shares[id(stream)] = self.memory.take(estimate)

    def end(self, stream: Running) -> None:
        """Count a stream out."""
        super().end(stream)
        self.shares.pop(id(stream)).release()


class _Sampled(Way):
    """Keeps the last streams of each workspace: prompt and length."""

    def __init__(self, limit_tokens: int):
        super().__init__(limit_tokens)
        self.samples: dict[str, deque[tuple[int, int]]] = {}
        self.values: dict[str, list[float]] = {}

    def end(self, stream: Running) -> None:
        """Keep the stream's prompt and length."""
        super().end(stream)
        arrival = stream.arrival
        kept = self.samples.setdefault(arrival.workspace, deque(maxlen=N_SAMPLES))
        kept.append((arrival.n_estimated_prompt, stream.n_made))
        if len(kept) < 20 or stream.n_made % 8 == 0:
            self.values.pop(arrival.workspace, None)

    def may_start(self, arrival: Arrival) -> bool:
        """Whether the workspaces' values, added up, allow one more."""
        counts = Counter(s.arrival.workspace for s in self.streams.values())
        counts[arrival.workspace] += 1
        totals: list[float] = []
        for workspace, n_streams in counts.items():
            values = self._values_of(workspace, arrival)
            totals = totals or [0.0] * len(values)
            totals = [
                total + n_streams * value
                for total, value in zip(totals, values, strict=True)
            ]
        return not self.streams or self.allows(totals)

    def _values_of(self, workspace: str, arrival: Arrival) -> list[float]:
        if workspace not in self.values:
            kept = self.samples.get(workspace)
            unknown = (arrival.n_estimated_prompt, arrival.max_tokens)
            self.values[workspace] = self.value(list(kept or [unknown]))
        return self.values[workspace]

    def value(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return what one stream of a workspace counts for."""
        raise NotImplementedError

    def allows(self, totals: list[float]) -> bool:
        """Whether the sum of all streams is allowed."""
        raise NotImplementedError


class Mean(_Sampled):
    """What a stream of its workspace holds on average over its time."""

    def value(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return the mean tokens held."""
        held = sum(length * (prompt + length / 2) for prompt, length in samples)
        return [held / sum(length for _, length in samples)]

    def allows(self, totals: list[float]) -> bool:
        """Whether the means fit."""
        return totals[0] <= self.limit_tokens


class Bandwidths(_Sampled):
    """Effective bandwidth of each workspace at the overflow target.

    A stream counts as its size at a random moment of its time, so the sum is linear
    in the streams of each workspace, for each of several theta.
    """

    def __init__(self, limit_tokens: int, target: float):
        super().__init__(limit_tokens)
        self.log_target = math.log(target)
        least = -self.log_target / limit_tokens
        self.thetas = [least * 1.5**n for n in range(1, N_THETAS + 1)]

    def value(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return the logarithm of the moment generating function at each theta."""
        n_moments = sum(length for _, length in samples)
        found = []
        for theta in self.thetas:
            # The integral of exp(theta * held) over each sample's time.
            moments = sum(
                math.exp(min(600.0, theta * prompt))
                * math.expm1(min(100.0, theta * length))
                for prompt, length in samples
            )
            found.append(math.log(moments / theta / n_moments))
        return found

    def allows(self, totals: list[float]) -> bool:
        """Whether any theta bounds the chance of an overflow by the target."""
        exponents = [
            total - theta * self.limit_tokens
            for total, theta in zip(totals, self.thetas, strict=True)
        ]
        return min(exponents) <= self.log_target


class Conditional(Way):
    """Effective bandwidths, given what each stream holds now."""

    def __init__(self, limit_tokens: int, target: float):
        super().__init__(limit_tokens)
        self.admission = KvAdmission(limit_tokens, target)
        self.held: dict[int, KvStream] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Whether the bound on an overflow is below the target."""
        for key, stream in self.streams.items():
            self.held[key].n_made_tokens = stream.n_made
        return self.admission.may_start(_kv_stream(arrival))

    def begin(self, stream: Running) -> None:
        """Count a stream in."""
        super().begin(stream)
        held = self.held[id(stream)] = _kv_stream(stream.arrival)
        self.admission.begin(held)

    def end(self, stream: Running) -> None:
        """Count a stream out."""
        super().end(stream)
        held = self.held.pop(id(stream))
        held.n_made_tokens = stream.n_made
        self.admission.end(held, is_whole=True)


def _kv_stream(arrival: Arrival) -> KvStream:
    return KvStream(arrival.workspace, arrival.n_estimated_prompt, arrival.max_tokens)


WAYS: dict[str, Callable[[int], Way]] = {
    "slots_1024": partial(Slots, tokens_per_slot=1024),
    "slots_4096": partial(Slots, tokens_per_slot=4096),
    "mean": Mean,
    "peak": Peak,
    "measured_5": partial(Measured, headroom=0.05),
    "measured_10": partial(Measured, headroom=0.1),
    "measured_15": partial(Measured, headroom=0.15),
    "measured_20": partial(Measured, headroom=0.2),
    "bandwidths_1e-2": partial(Bandwidths, target=1e-2),
    "bandwidths_1e-3": partial(Bandwidths, target=1e-3),
    "bandwidths_1e-4": partial(Bandwidths, target=1e-4),
    "conditional_1e-2": partial(Conditional, target=1e-2),
    "conditional_1e-3": partial(Conditional, target=1e-3),
    "conditional_1e-4": partial(Conditional, target=1e-4),
    "conditional_1e-8": partial(Conditional, target=1e-8),
}

"""Admission policies for the KV memory of an engine that the benchmark compares.

A policy knows the estimated prompt length, the maximum output and the tokens generated
so far of each stream, and the lengths of completed streams by workspace. `Measured`
calls the code that the agent uses.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

from poplarward.requests.kv_admission import KvMemory, KvReservation

from .kv_conditional import KvAdmission, KvStream
from .kv_model import AdmittedStream, Arrival

__all__ = ["WAYS", "AdmissionPolicy"]

N_SAMPLES = 256
N_THETAS = 12


class AdmissionPolicy:
    """Base class of the admission policies; keeps the admitted streams."""

    def __init__(self, limit_tokens: int):
        self.limit_tokens = limit_tokens
        self.streams: dict[int, AdmittedStream] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether a stream may start now."""
        raise NotImplementedError

    def begin(self, stream: AdmittedStream) -> None:
        """Record that a stream was admitted."""
        self.streams[id(stream)] = stream

    def end(self, stream: AdmittedStream) -> None:
        """Record that a stream has ended."""
        del self.streams[id(stream)]


class SlotLimit(AdmissionPolicy):
    """Limits the number of streams, as the agent does without a memory setting."""

    def __init__(self, limit_tokens: int, tokens_per_slot: int):
        super().__init__(limit_tokens)
        self.n_slots = limit_tokens // tokens_per_slot

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether a slot is free."""
        return len(self.streams) < self.n_slots


class PeakReservation(AdmissionPolicy):
    """Reserves the maximum memory of each stream."""

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether all streams fit at their maximum output."""
        n_tokens = arrival.n_estimated_prompt + arrival.max_tokens
        for stream in self.streams.values():
            other = stream.arrival
            n_tokens += other.n_estimated_prompt + other.max_tokens
        return not self.streams or n_tokens <= self.limit_tokens


class Measured(AdmissionPolicy):
    """Counts the memory in use and keeps headroom for the tokens still to come."""

    def __init__(self, limit_tokens: int, headroom: float):
        super().__init__(limit_tokens)
        self.memory = KvMemory(limit_tokens, headroom)
        self.reservations: dict[int, KvReservation] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether the prompt fits in the memory without the headroom."""
        for key, stream in self.streams.items():
            reservation = self.reservations[key]
            estimate = stream.arrival.n_estimated_prompt
            reservation.grow(estimate + stream.n_made - reservation.n_tokens)
        return self.memory.has_room(arrival.n_estimated_prompt)

    def begin(self, stream: AdmittedStream) -> None:
        """Record a stream and reserve memory for its prompt."""
        super().begin(stream)
        estimate = stream.arrival.n_estimated_prompt
        self.reservations[id(stream)] = self.memory.take(estimate)

    def end(self, stream: AdmittedStream) -> None:
        """Record the end of a stream and release its memory."""
        super().end(stream)
        self.reservations.pop(id(stream)).release()


class _HistoryPolicy(AdmissionPolicy):
    """Keeps prompt and output lengths of the latest streams of each workspace."""

    def __init__(self, limit_tokens: int):
        super().__init__(limit_tokens)
        self.samples: dict[str, deque[tuple[int, int]]] = {}
        self.demands: dict[str, list[float]] = {}

    def end(self, stream: AdmittedStream) -> None:
        """Record the prompt and output length of the stream."""
        super().end(stream)
        arrival = stream.arrival
        samples = self.samples.setdefault(arrival.workspace, deque(maxlen=N_SAMPLES))
        samples.append((arrival.n_estimated_prompt, stream.n_made))
        if len(samples) < 20 or stream.n_made % 8 == 0:
            self.demands.pop(arrival.workspace, None)

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether the total demand of all workspaces allows one more stream."""
        counts = Counter(s.arrival.workspace for s in self.streams.values())
        counts[arrival.workspace] += 1
        totals: list[float] = []
        for workspace, n_streams in counts.items():
            values = self._demand_of(workspace, arrival)
            totals = totals or [0.0] * len(values)
            totals = [
                total + n_streams * value
                for total, value in zip(totals, values, strict=True)
            ]
        return not self.streams or self.allows(totals)

    def _demand_of(self, workspace: str, arrival: Arrival) -> list[float]:
        if workspace not in self.demands:
            samples = self.samples.get(workspace)
            worst_case = (arrival.n_estimated_prompt, arrival.max_tokens)
            self.demands[workspace] = self.stream_demand(list(samples or [worst_case]))
        return self.demands[workspace]

    def stream_demand(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return the demand that one stream of a workspace adds to the totals."""
        raise NotImplementedError

    def allows(self, totals: list[float]) -> bool:
        """Return whether the total demand of all streams is within the limit."""
        raise NotImplementedError


class MeanDemand(_HistoryPolicy):
    """Counts each stream at the mean memory use of its workspace's streams."""

    def stream_demand(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return the time-averaged tokens in memory of a stream."""
        token_steps = sum(length * (prompt + length / 2) for prompt, length in samples)
        return [token_steps / sum(length for _, length in samples)]

    def allows(self, totals: list[float]) -> bool:
        """Return whether the sum of the means fits."""
        return totals[0] <= self.limit_tokens


class EffectiveBandwidths(_HistoryPolicy):
    """Counts each stream at the effective bandwidth for the overflow target.

    The memory use of a stream is its size at a random time in its life, so for each
    theta the total is linear in the number of streams of each workspace.
    """

    def __init__(self, limit_tokens: int, target: float):
        super().__init__(limit_tokens)
        self.log_target = math.log(target)
        min_theta = -self.log_target / limit_tokens
        self.thetas = [min_theta * 1.5**n for n in range(1, N_THETAS + 1)]

    def stream_demand(self, samples: list[tuple[int, int]]) -> list[float]:
        """Return the logarithm of the moment-generating function at each theta."""
        n_moments = sum(length for _, length in samples)
        log_moments = []
        for theta in self.thetas:
            # Integral of exp(theta * size) over the life of each sample.
            moments = sum(
                math.exp(min(600.0, theta * prompt))
                * math.expm1(min(100.0, theta * length))
                for prompt, length in samples
            )
            log_moments.append(math.log(moments / theta / n_moments))
        return log_moments

    def allows(self, totals: list[float]) -> bool:
        """Return whether any theta bounds the overflow probability by the target."""
        exponents = [
            total - theta * self.limit_tokens
            for total, theta in zip(totals, self.thetas, strict=True)
        ]
        return min(exponents) <= self.log_target


class ConditionalBandwidths(AdmissionPolicy):
    """Effective bandwidths, conditional on the current size of each stream."""

    def __init__(self, limit_tokens: int, target: float):
        super().__init__(limit_tokens)
        self.admission = KvAdmission(limit_tokens, target)
        self.kv_streams: dict[int, KvStream] = {}

    def may_start(self, arrival: Arrival) -> bool:
        """Return whether the bound on the overflow probability is below the target."""
        for key, stream in self.streams.items():
            self.kv_streams[key].n_made_tokens = stream.n_made
        return self.admission.may_start(_kv_stream(arrival))

    def begin(self, stream: AdmittedStream) -> None:
        """Record an admitted stream."""
        super().begin(stream)
        kv_stream = self.kv_streams[id(stream)] = _kv_stream(stream.arrival)
        self.admission.begin(kv_stream)

    def end(self, stream: AdmittedStream) -> None:
        """Record the end of a stream."""
        super().end(stream)
        kv_stream = self.kv_streams.pop(id(stream))
        kv_stream.n_made_tokens = stream.n_made
        self.admission.end(kv_stream, is_complete=True)


def _kv_stream(arrival: Arrival) -> KvStream:
    return KvStream(arrival.workspace, arrival.n_estimated_prompt, arrival.max_tokens)


WAYS: dict[str, Callable[[int], AdmissionPolicy]] = {
    "slots_1024": partial(SlotLimit, tokens_per_slot=1024),
    "slots_4096": partial(SlotLimit, tokens_per_slot=4096),
    "mean": MeanDemand,
    "peak": PeakReservation,
    "measured_5": partial(Measured, headroom=0.05),
    "measured_10": partial(Measured, headroom=0.1),
    "measured_15": partial(Measured, headroom=0.15),
    "measured_20": partial(Measured, headroom=0.2),
    "bandwidths_1e-2": partial(EffectiveBandwidths, target=1e-2),
    "bandwidths_1e-3": partial(EffectiveBandwidths, target=1e-3),
    "bandwidths_1e-4": partial(EffectiveBandwidths, target=1e-4),
    "conditional_1e-2": partial(ConditionalBandwidths, target=1e-2),
    "conditional_1e-3": partial(ConditionalBandwidths, target=1e-3),
    "conditional_1e-4": partial(ConditionalBandwidths, target=1e-4),
    "conditional_1e-8": partial(ConditionalBandwidths, target=1e-8),
}

"""Compares the journal of payments with one stored record per key, in virtual time.

The times include the store's delay and rate limit and the ledger's work, but no
processor time.

Usage:
  payments [--json] [--payments N] [--seed N]
  payments (-h | --help)

Options:
  --json        Print one JSON document; a line a case otherwise.
  --payments N  Payments in each case [default: 300].
  --seed N      Varies arrivals and keys [default: 1].
  -h --help     Show this text.
"""

from __future__ import annotations

import json
import random
from typing import Any, NamedTuple

import trio
from docopt import docopt

from benchmarks.memory_path import (
    MemoryPath,
    MemoryUpstream,
    RecordingResponder,
    payment,
    run_in_virtual_time,
)
from benchmarks.naive_payments import NaivePayments
from poplarward.requests.payments import IdempotencyGuard
from poplarward.standins.ledger import LedgerStandin
from poplarward.standins.object_store import MemoryObjectStore, StoreFaults
from poplarward.telemetry import configure_logs

__all__ = ["main"]

WORK_MS = 5.0
WRITES_PER_S = 400.0
HEALTHY_DELAY_MS = 4.0
SLOW_DELAY_MS = 250.0
SETTLE_S = 5.0


class Case(NamedTuple):
    """One run: state of the store, number of agents and offered load."""

    store: str
    n_agents: int
    payments_per_s: float


CASES = (
    Case("healthy", 3, 20),
    Case("healthy", 3, 100),
    Case("healthy", 3, 400),
    Case("healthy", 12, 100),
    Case("healthy", 12, 400),
    Case("healthy", 12, 1600),
    Case("slow", 3, 100),
    Case("slow", 3, 400),
    Case("absent", 3, 100),
    Case("absent, issued keys", 3, 100),
)


def main() -> None:
    """Run the benchmark and print its results."""
    arguments = docopt(__doc__)
    configure_logs("benchmark", "error")
    n_payments, seed = int(arguments["--payments"]), int(arguments["--seed"])
    results = []
    for case in CASES:
        for design in ("record a key", "journal"):
            if design == "record a key" and "issued" in case.store:
                continue
            figures = run_in_virtual_time(seed, _run, case, design, n_payments, seed)
            results.append({**case._asdict(), "way": design, **figures})
    if arguments["--json"]:
        document = {"benchmark": "payments", "seed": seed, "n_payments": n_payments}
        print(json.dumps({**document, "results": results}, indent=1))
        return
    for result in results:
        print("  ".join(f"{name}={value}" for name, value in result.items()))


def _make_guard(design: str, store: MemoryObjectStore, identity: Any) -> Any:
    if design == "journal":
        return IdempotencyGuard(store, identity, "ledger", identity.start_id)
    return NaivePayments(store, identity)


async def _run(case: Case, design: str, n_payments: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    delay_ms = SLOW_DELAY_MS if case.store == "slow" else HEALTHY_DELAY_MS
    store = MemoryObjectStore(
        StoreFaults(delay_ms=delay_ms, writes_per_s=WRITES_PER_S), seed
    )
    ledger = LedgerStandin(WORK_MS)
    calls: list[tuple[RecordingResponder, float]] = []
    async with trio.open_nursery() as nursery:
        path = MemoryPath(nursery)
        for number in range(case.n_agents):
            client = MemoryUpstream(nursery, ledger.handle)
            await path.start_agent(
                f"agent-{number}",
                f"10.2.0.{number + 1}",
                "plain",
                "ledger",
                client,
                n_slots=256,
                payments=lambda identity: _make_guard(design, store, identity),
            )
        entry = await path.start_entry()
        if case.store.startswith("absent"):
            store.set_down(True)
        started_at = trio.current_time()
        async with trio.open_nursery() as callers:
            for number in range(n_payments):
                key = f"k-{number}-{rng.random()}"
                if "issued" in case.store:
                    key = await entry.keys.issue("ledger")
                callers.start_soon(_pay, entry, key, calls)
                await trio.sleep(rng.expovariate(case.payments_per_s))
        duration_s = trio.current_time() - started_at
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    return _summarize(calls, duration_s, store, ledger)


async def _pay(
    entry: Any, key: str, calls: list[tuple[RecordingResponder, float]]
) -> None:
    caller = RecordingResponder()
    started_at = trio.current_time()
    await entry.run(payment(key, key), caller)
    calls.append((caller, (trio.current_time() - started_at) * 1000))


def _summarize(
    calls: list[tuple[RecordingResponder, float]],
    duration_s: float,
    store: MemoryObjectStore,
    ledger: LedgerStandin,
) -> dict[str, Any]:
    paid = sorted(ms - WORK_MS for caller, ms in calls if caller.status == 201)
    refused = sorted(ms for caller, ms in calls if caller.outcome == "not-run")
    references = [posting["reference"] for posting in ledger.postings]
    return {
        "paid": len(paid),
        "not_run": len(refused),
        "doubled": len(references) - len(set(references)),
        "writes_per_payment": round(store.counts.n_writes / len(calls), 3),
        "refused_by_rate": store.counts.n_refused,
        "added_p50_ms": _quantile(paid, 0.5),
        "added_p99_ms": _quantile(paid, 0.99),
        "refusal_p99_ms": _quantile(refused, 0.99),
        "paid_per_s": round(len(paid) / duration_s, 1),
    }


def _quantile(ordered: list[float], fraction: float) -> float | None:
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 1)


if __name__ == "__main__":
    main()

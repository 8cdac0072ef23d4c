"""A machine freezes while a deposit that crashes its worker is in flight."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

TARGET = "/deposit/crashing"
BODY = b"{}"
BUDGET_MS = 8_000
CRASH_AFTER_S = 0.05
DOWN_S = 3.0  # Of a worker that crashes.
FREEZE_S = 4.0
SEND_INTERVAL_S = 0.8
PROMISES = (408, 421, 429, 503)  # Not run, and never will be.


async def run(deployment: harness.Deployment) -> bool:
    """Return whether no deposit that has run is answered with a promise."""
    record = deployment.record
    routes = [harness.route("deposit", "unsafe", timeoutMs=BUDGET_MS)]
    await deployment.start(routes, n_workers=6, n_entries=3)
    frozen, *others = deployment.entries
    has_begun = asyncio.Event()
    restarts: list[asyncio.Task] = []

    async def answer(worker, request, writer) -> bool:
        if request.target != TARGET:
            return False
        worker.begin(request)
        has_begun.set()
        await asyncio.sleep(CRASH_AFTER_S)
        record.write(f"{worker.name}: crashes")
        restarts.append(asyncio.create_task(worker.crash(DOWN_S)))
        return True

    for worker in deployment.workers:
        worker.answer = answer

    def send(number: int) -> asyncio.Task:
        call = deployment.channel(number).call("POST", TARGET, BUDGET_MS, body=BODY)
        return asyncio.create_task(call)

    calls = [send(0)]
    await has_begun.wait()
    if harness.HAS_TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
    ends_at = record.now() + FREEZE_S
    # The request comes again, at the other machines.
    for number in range(3):
        await asyncio.sleep(SEND_INTERVAL_S)
        calls.append(send(1 + number % len(others)))
    await asyncio.sleep(ends_at - record.now())
    if harness.HAS_TROUBLE:
        frozen.send_signal(signal.SIGCONT)
    results = await asyncio.gather(*calls)
    await asyncio.gather(*restarts)
    ran = {a.request_id for worker in deployment.workers for a in worker.ran}
    false = [r for r in results if r.status in PROMISES and r.request_id in ran]
    for result in false:
        record.write(f"{result.request_id} has run and was answered {result.status}")
    return not false


harness.main(run)

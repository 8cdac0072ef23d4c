"""A control role moves from a frozen or killed entry host to another."""

from __future__ import annotations

import signal

import pytest
import trio

from benchmarks.deployment import Deployment, model_group


async def first_to_acquire(deployment, names):
    with trio.fail_after(30):
        while True:
            for name in names:
                log = deployment.processes[name].log.read_text()
                if "event=lease.acquired " in log:
                    return name
            await trio.sleep(0.02)


def last_fence(process):
    lines = [
        line
        for line in process.log.read_text().splitlines()
        if "lease.acquired" in line
    ]
    fields = dict(part.split("=", 1) for part in lines[-1].split() if "=" in part)
    return int(fields["fence"])


@pytest.mark.parametrize("failure", [signal.SIGSTOP, signal.SIGKILL])
async def test_role_moves_from_a_lost_holder(failure):
    names = ["entry-1", "entry-2"]
    async with Deployment() as deployment:
        for name in names:
            await deployment.start_entry(name, "rennes", lease_length_ms=1500)
        await deployment.apply("entry-1", model_group("drafts", "portrait"))
        first = await first_to_acquire(deployment, names)
        second = next(name for name in names if name != first)
        holder, rival = deployment.processes[first], deployment.processes[second]
        old_fence = last_fence(holder)
        holder.signal(failure)
        await deployment.wait_for_event(rival, "lease.acquired")
        assert last_fence(rival) > old_fence
        if failure is signal.SIGSTOP:
            holder.signal(signal.SIGCONT)
            await deployment.wait_for_event(holder, "lease.lost")

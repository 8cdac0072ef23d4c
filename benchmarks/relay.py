"""Measure the cost of the relay, compared with requests sent directly to an upstream.

Starts one engine stand-in, one agent and one entry host, and streams the same
completions from the engine directly and through the entry host, alternately.

Usage:
  benchmarks.relay [options]

Options:
  --json         Print one JSON document.
  --seed N       Seed of the prompts [default: 1].
  --streams N    Concurrent streams [default: 32].
  --tokens N     Tokens of each answer [default: 100].
  --rounds N     Rounds of direct and of relayed streams [default: 3].
  --step-ms MS   Duration of an engine step [default: 20].
  --held N       Slow streams held open to measure memory [default: 1000].
  --profile DIR  Directory for profiles of the entry host and the agent.
"""

from __future__ import annotations

import json
import os
import random
import statistics
from pathlib import Path
from typing import Any, NamedTuple

import trio
from docopt import docopt

from poplarward.transport import HttpClient

from .deployment import Deployment, model_group, workspace

HEADERS = [("authorization", "Bearer caller"), ("content-type", "application/json")]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HELD_TOKENS = 600
HELD_STEP_MS = 1_000
HELD_START_S = 5.0
HELD_SETTLE_S = 4.0


class StreamTimes(NamedTuple):
    """Latencies of one streamed response."""

    first_ms: float
    gaps_ms: list[float]
    n_pieces: int


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def stream_once(
    client: HttpClient, prompt: str, n_tokens: int, model: str = "portrait"
) -> StreamTimes:
    """Stream one completion and record the arrival times of its chunks."""
    body = json.dumps(
        {"model": model, "prompt": prompt, "max_tokens": n_tokens}
    ).encode()
    started_at = trio.current_time()
    arrivals: list[float] = []
    n_pieces = 0
    async with client.stream(
        "POST", "/v1/completions", HEADERS, body, 30_000
    ) as response:
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
        async for chunk in response.chunks():
            n_pieces += chunk.count(b"\n\n")
            arrivals.append(trio.current_time())
    gaps_ms = [(b - a) * 1000 for a, b in zip(arrivals, arrivals[1:], strict=False)]
    return StreamTimes((arrivals[0] - started_at) * 1000, gaps_ms, n_pieces)


async def stream_many(
    url: str, rng: random.Random, n_streams: int, n_tokens: int
) -> list[StreamTimes]:
    """Stream several completions concurrently."""
    client = HttpClient(url, n_connections=n_streams)
    times: list[StreamTimes] = []

    async def stream(prompt: str) -> None:
        times.append(await stream_once(client, prompt, n_tokens))

    async with trio.open_nursery() as nursery:
        for _ in range(n_streams):
            nursery.start_soon(stream, f"prompt {rng.random()}")
    await client.close()
    return times


def percentiles(values: list[float]) -> dict[str, float]:
    """Return p50, p95 and p99 of some values, in milliseconds."""
    cuts = statistics.quantiles(values, n=100)
    return {f"p{p}": round(cuts[p - 1], 2) for p in (50, 95, 99)}


async def start_group(
    deployment: Deployment, group: str, model: str, step_ms: float, n_slots: int
) -> str:
    """Start the engine and agent of a model group; return the URL of the engine."""
    engine = await deployment.start_standin(
        f"engine-{group}",
        "engine",
        ["--step-ms", str(step_ms), "--slots", str(n_slots)],
    )
    url = f"http://{engine.host}:7000"
    await deployment.start_agent(
        f"agent-{group}", "rennes", "engine", group, url, n_slots=n_slots
    )
    return url


async def measure_memory(
    deployment: Deployment, url: str, n_streams: int
) -> dict[str, float]:
    """Return the memory per open stream in the entry host and the agent, in bytes."""
    pids = {
        name: deployment.processes[name].popen.pid for name in ("entry-1", "agent-held")
    }
    before = {name: rss_bytes(pid) for name, pid in pids.items()}
    client = HttpClient(url, n_connections=n_streams)
    async with trio.open_nursery() as nursery:
        for i in range(n_streams):
            await trio.sleep(HELD_START_S / n_streams)
            nursery.start_soon(
                stream_once, client, f"held {i}", HELD_TOKENS, "portrait-held"
            )
        await trio.sleep(HELD_SETTLE_S)
        after = {name: rss_bytes(pid) for name, pid in pids.items()}
        nursery.cancel_scope.cancel()
    with trio.CancelScope(shield=True):
        await client.close()
    return {
        name.partition("-")[0]: round((after[name] - before[name]) / n_streams)
        for name in pids
    }


async def run(
    seed: int,
    n_streams: int,
    n_tokens: int,
    n_rounds: int,
    step_ms: float,
    n_held: int,
    profile_directory: str,
) -> dict[str, Any]:
    """Measure direct and relayed streams and return the results."""
    rng = random.Random(seed)
    async with Deployment(profile_directory=profile_directory) as deployment:
        direct_url = await start_group(
            deployment, "drafts", "portrait", step_ms, n_slots=256
        )
        await start_group(deployment, "held", "portrait-held", HELD_STEP_MS, 2 * n_held)
        await deployment.start_entry("entry-1", "rennes")
        await deployment.apply("entry-1", workspace("ateliers", "caller"))
        await deployment.apply("entry-1", model_group("drafts", "portrait"))
        await deployment.apply("entry-1", model_group("held", "portrait-held"))
        entry_url = "http://" + deployment.settings["entry-1"]["callers_listen"]
        await wait_until_served(entry_url)
        direct: list[StreamTimes] = []
        relayed: list[StreamTimes] = []
        cpu_used_s = dict.fromkeys(("entry-1", "agent-drafts", "engine-drafts"), 0.0)
        relayed_s = 0.0
        for _ in range(n_rounds):
            direct += await stream_many(direct_url, rng, n_streams, n_tokens)
            before = {n: cpu_s(deployment.processes[n].popen.pid) for n in cpu_used_s}
            started_at = trio.current_time()
            relayed += await stream_many(entry_url, rng, n_streams, n_tokens)
            relayed_s += trio.current_time() - started_at
            for name, start_s in before.items():
                cpu_used_s[name] += (
                    cpu_s(deployment.processes[name].popen.pid) - start_s
                )
        memory = await measure_memory(deployment, entry_url, n_held)
        for name in ("entry-1", "agent-drafts"):
            await deployment.processes[name].stop()
    n_pieces = sum(times.n_pieces for times in relayed)
    return {
        "seed": seed,
        "n_streams": n_streams,
        "n_tokens": n_tokens,
        "step_ms": step_ms,
        "n_pieces": n_pieces,
        "requests_per_s": round(len(relayed) / relayed_s, 1),
        "pieces_per_s": round(n_pieces / relayed_s),
        "first_token_ms": {
            "direct": percentiles([t.first_ms for t in direct]),
            "relayed": percentiles([t.first_ms for t in relayed]),
        },
        "between_tokens_ms": {
            "direct": percentiles([g for t in direct for g in t.gaps_ms]),
            "relayed": percentiles([g for t in relayed for g in t.gaps_ms]),
        },
        "cpu_ms_per_1000_pieces": {
            name: round(1e6 * seconds / n_pieces, 1)
            for name, seconds in cpu_used_s.items()
        },
        "entry_pieces_per_core_s": round(n_pieces / cpu_used_s["entry-1"]),
        "agent_pieces_per_core_s": round(n_pieces / cpu_used_s["agent-drafts"]),
        "n_held": n_held,
        "bytes_per_open_stream": memory,
    }


async def wait_until_served(entry_url: str) -> None:
    """Wait until the entry host has its configuration and a connected agent."""
    client = HttpClient(entry_url)
    with trio.fail_after(20):
        while True:
            try:
                await stream_once(client, "warm up", 1)
                break
            except RuntimeError:
                await trio.sleep(0.1)
    await client.close()


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    results = trio.run(
        run,
        int(arguments["--seed"]),
        int(arguments["--streams"]),
        int(arguments["--tokens"]),
        int(arguments["--rounds"]),
        float(arguments["--step-ms"]),
        int(arguments["--held"]),
        arguments["--profile"] or "",
    )
    if arguments["--json"]:
        print(json.dumps(results))
    else:
        for name, value in results.items():
            print(f"{name:28} {value}")


if __name__ == "__main__":
    main()

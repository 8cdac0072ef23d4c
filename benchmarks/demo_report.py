"""Reads the records of the demonstration's upstreams and reports the results."""

from __future__ import annotations

import json
import statistics
from collections import Counter
from typing import Any, NamedTuple

from poplarward.protocol.generated.poplarward.v1 import operations_pb2 as pb
from poplarward.transport import HttpClient

from .callers import ClassTally
from .demo_deployment import N_ENTRIES, N_LEDGERS, print_progress
from .deployment import Deployment

__all__ = ["Findings", "print_report", "read_findings", "violated_guarantees"]


class Findings(NamedTuple):
    """Results read from the upstreams' own records.

    Attributes
    ----------
    n_steps, n_mixed_steps : int
        Steps of the rank group, and those with more than one expert map.
    group : GroupStatus
        Status of the rank group, from the entry host that leads it.
    n_doubled : int
        Number of duplicate records of deposits in the ledgers.
    """

    n_steps: int
    n_mixed_steps: int
    group: pb.GroupStatus
    n_doubled: int


async def read_findings(deployment: Deployment) -> Findings:
    """Read the findings from the upstreams of a deployment."""
    record = await _read_json(deployment, "ranks", "/record")
    return Findings(
        record["n_steps"],
        len(record["mixed_steps"]),
        await _read_group_status(deployment),
        await _count_duplicate_postings(deployment),
    )


async def _read_json(deployment: Deployment, name: str, path: str) -> Any:
    client = HttpClient(f"http://{deployment.processes[name].host}:7000")
    reply = await client.call("GET", path)
    await client.close()
    return json.loads(reply.body)


async def _read_group_status(deployment: Deployment) -> pb.GroupStatus:
    """Return the rank group's status from the entry host that leads it."""
    latest = pb.GroupStatus(name="palettes")
    for i in range(N_ENTRIES):
        if deployment.processes[f"entry-{i}"].popen.poll() is not None:
            continue
        status = await deployment.operate(
            f"entry-{i}", "GetStatus", pb.GetStatusRequest(), pb.GetStatusResponse
        )
        for group in status.groups:
            if group.name == latest.name and group.skew > 0:
                latest = group
    return latest


async def _count_duplicate_postings(deployment: Deployment) -> int:
    references: Counter[str] = Counter()
    for i in range(N_LEDGERS):
        postings = await _read_json(deployment, f"ledger-{i}", "/postings")
        references.update(posting["reference"] for posting in postings)
    return sum(n - 1 for n in references.values())


def print_report(tallies: dict[str, ClassTally], findings: Findings) -> None:
    """Print one line for each class, and the findings."""
    print_progress("")
    print_progress(
        f"{'class':10}{'sent':>7}{'whole':>7}{'wrong':>7}{'none':>6}"
        f"{'not-run':>9}{'unknown':>9}{'p50 ms':>9}{'p95 ms':>9}"
    )
    for name, tally in tallies.items():
        cuts = statistics.quantiles(tally.latencies_ms or [0, 0], n=20)
        print_progress(
            f"{name:10}{tally.n_sent:7}{tally.n_whole:7}{tally.n_wrong:7}"
            f"{tally.n_unanswered:6}{tally.outcomes['not-run']:9}"
            f"{tally.outcomes['unknown']:9}{cuts[9]:9.0f}{cuts[18]:9.0f}"
        )
    print_progress(
        "not-run and unknown count tries; whole counts requests answered in full"
    )
    print_progress(
        f"rank group: {findings.n_steps} steps, {findings.n_mixed_steps} with"
        f" more than one map; {findings.group.n_experts_moved} experts moved, skew"
        f" {findings.group.skew:.2f} at the end"
    )
    print_progress(
        f"doubled deposits in the ledgers' own records: {findings.n_doubled}"
    )


def violated_guarantees(
    tallies: dict[str, ClassTally], findings: Findings, stopped: list[int]
) -> list[str]:
    """Return a description of each guarantee that was violated."""
    violations = []
    for name, tally in tallies.items():
        if tally.n_wrong:
            violations.append(f"{tally.n_wrong} {name} answers were wrong or not whole")
        n_missing = tally.n_sent - tally.n_whole - tally.n_wrong
        if n_missing:
            violations.append(f"{n_missing} {name} requests got no answer")
    if findings.n_doubled:
        violations.append(f"{findings.n_doubled} deposits were recorded twice")
    if findings.n_mixed_steps:
        violations.append(
            f"{findings.n_mixed_steps} steps used more than one expert map"
        )
    if stopped != [0]:
        violations.append("the planned stop of an entry host did not end in order")
    return violations

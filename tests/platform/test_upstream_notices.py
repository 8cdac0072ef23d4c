"""Upstreams that leave, or ask for a pause, get no requests that they do not want.

Guards against hosts that read neither notice and send on as if nothing was said.
"""

from __future__ import annotations

import trio

from tests.platform.notice_scenarios import N_UPSTREAMS, NoticeScenario, play

DRAIN_S = 2.0
KNOWN_AFTER_S = 0.5  # Requests that are on their way when an upstream refuses.
MAX_WHILE_PAUSED = 2
MIN_SERVED = 0.98
MAX_REFUSAL_S = 0.25
SIDE_BY_SIDE = 3  # All callers, upstreams and heartbeats pass through this process.

LEAVING = (
    NoticeScenario("two leave", n_leaving=2),
    NoticeScenario("two leave, streams", kind="stream", n_leaving=2),
    NoticeScenario("two leave, payments", kind="unsafe", n_leaving=2),
    NoticeScenario("two start anew", n_leaving=2, leaving=(3.0, 99.0), restart_at=6.0),
    NoticeScenario("two stay after all", n_leaving=2, leaving=(2.0, 4.0)),
)
PAUSING = (
    NoticeScenario("two pause", n_pausing=2),
    NoticeScenario("two pause, payments", kind="unsafe", n_pausing=2),
    NoticeScenario("all pause", n_pausing=N_UPSTREAMS),
    NoticeScenario("all pause, streams", kind="stream", n_pausing=N_UPSTREAMS),
    NoticeScenario("decimal", n_pausing=N_UPSTREAMS, retry_after=b"1.75"),
    NoticeScenario("nonsense", n_pausing=2, retry_after=b"soon"),
    NoticeScenario("for ages", n_pausing=2, retry_after=b"999999999"),
)


async def findings_of(scenarios, check, folder):
    """Play scenarios side by side; return what each of them breaks."""
    findings = []
    places = trio.CapacityLimiter(SIDE_BY_SIDE)

    async def play_one(number, scenario):
        async with places:
            record = await play(scenario, number, folder / str(number))
        findings.extend(f"{scenario.name}: {text}" for text in check(scenario, record))
        n_late = n_after_leaving(scenario, record)
        print(
            f"{scenario.name}: {n_late} requests at upstreams that "
            f"left, {n_while_paused(scenario, record)} in a pause, "
            f"{served_share(record.results):.3f} served"
        )

    async with trio.open_nursery() as nursery:
        for number, scenario in enumerate(scenarios):
            nursery.start_soon(play_one, number, scenario)
    return sorted(findings)


def n_after_leaving(scenario, record):
    """Count requests that reached an upstream from a host long after it said so."""
    stays_from = record.began + scenario.leaving[1]
    return sum(
        arrival.at < stays_from
        and arrival.sent_at > upstream.left.get(arrival.host, float("inf")) + DRAIN_S
        for upstream in record.upstreams
        for arrival in upstream.arrivals
    )


def n_while_paused(scenario, record):
    """Return the most requests from one host to one upstream in a pause."""
    try:
        pause_s = float(scenario.retry_after)
    except ValueError:
        return 0
    return max(
        (
            sum(
                arrival.host == host
                and at + KNOWN_AFTER_S < arrival.at < at + min(pause_s, 60.0)
                for arrival in upstream.arrivals
            )
            for upstream in record.upstreams
            for host, at in upstream.refused
        ),
        default=0,
    )


def served_share(results):
    """Return the share of requests that were served."""
    return sum(result.status == 200 for result in results) / max(1, len(results))


def check_leaving(scenario, record):
    """Return what a record breaks of what must hold for upstreams that leave."""
    if n_late := n_after_leaving(scenario, record):
        yield f"{n_late} requests at upstreams that said they leave"
    if (share := served_share(record.results)) < MIN_SERVED:
        yield f"{share:.3f} served"
    until = scenario.leaving[1]
    if until < 99.0:
        returned = [
            arrival
            for upstream in record.upstreams[: scenario.n_leaving]
            for arrival in upstream.arrivals
            if arrival.at > record.began + until + 1.0
        ]
        if not returned:
            yield "upstreams that stay are not used again"
    if scenario.restart_at:
        n_starts = len(record.upstreams) - N_UPSTREAMS
        used = [u for u in record.upstreams[N_UPSTREAMS:] if len(u.arrivals) > 10]
        if n_starts != scenario.n_leaving or len(used) != n_starts:
            yield "upstreams that started anew are not used"
    if not any("upstream.leaving" in log for log in record.logs):
        yield "not logged"


def check_pausing(scenario, record):
    """Return what a record breaks of what must hold for upstreams that pause."""
    is_readable = scenario.retry_after not in (b"soon", b"999999999")
    if is_readable and (n_sent := n_while_paused(scenario, record)) > MAX_WHILE_PAUSED:
        yield f"{n_sent} requests in a pause"
    refusals = [r for r in record.results if r.status == 503]
    if scenario.n_pausing < N_UPSTREAMS:
        if (share := served_share(record.results)) < MIN_SERVED:
            yield f"{share:.3f} served"
        expected = "upstream.paused" if is_readable else "upstream.retry_after_unread"
        if not all(expected in log for log in record.logs):
            yield "not logged"
        return
    late = [r for r in refusals if r.took_s > MAX_REFUSAL_S]
    if len(late) > len(refusals) / 100:
        yield f"{len(late)} of {len(refusals)} refusals late"
    if not refusals or any(r.retry_after_s is None for r in refusals):
        yield "no refusal, or one without Retry-After"
    # By then each upstream that refused at the beginning of a period serves again.
    served_from_s = scenario.refusing_s + float(scenario.retry_after) + 0.5
    again = [
        r
        for r in record.results
        if (r.sent_at - record.began) % scenario.period_s > served_from_s
    ]
    if (share := served_share(again)) < MIN_SERVED:
        yield f"{share:.3f} served after the pause"
    early = [
        r
        for r in refusals
        if r.retry_after_s > float(scenario.retry_after) + scenario.refusing_s
    ]
    if early:
        yield f"{len(early)} callers sent away for longer than the pause"


async def test_upstreams_that_leave_get_no_new_requests(tmp_path):
    assert await findings_of(LEAVING, check_leaving, tmp_path) == []


async def test_upstreams_that_ask_for_a_pause_get_it(tmp_path):
    assert await findings_of(PAUSING, check_pausing, tmp_path) == []

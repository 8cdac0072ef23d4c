"""The datagram in which an entry host tells the others its state."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import cbor2

from ..errors import DecodeError
from ..protocol.verdicts import SharedVerdict, Suspicion, Verdict
from .upstream_limits import LimitReport

__all__ = ["HostHeartbeat", "decode_heartbeat", "encode_heartbeat"]

FORMAT = 1


class HostHeartbeat(NamedTuple):
    """The state that an entry host sends to the others.

    Attributes
    ----------
    host : str
    start_id : str
        New for each start of the process.
    sequence_number : int
        Increases with each heartbeat of a start.
    address : str
        Address for callers.
    is_serving : bool
        Whether callers should be sent there.
    loads : dict
        Requests in flight by upstream.
    slowness : dict
        Slow ranks, as known to the leader, which reads their reports.
    is_leader : bool
        Whether the host manages the rank groups' maps.
    slowed_services : sequence of str
        Services whose streams have just slowed down together at this host.
    post_shift_skews : dict
        By service, the highest recent skew (the busiest rank's work over the mean) of a
        map made for another demand, as measured by the leader.
    link_mbps : float
        Rate of the host's link, 0 if unknown.
    verdicts : sequence of SharedVerdict
        Verdicts on requests that crash upstreams; not all that the host has.
    part_verdicts : sequence of SharedVerdict
        Verdicts on parts of prompts. Earlier releases, which would take them for
        requests, don't read this field.
    limits : sequence of LimitReport
        Limits that upstreams name, and the host's use of them; not all that it has.
    waiting_services : sequence of str
        Services that requests wait for at this host.
    configuration_version : int
        Version of the configuration that is in force at this host, 0 without one.
    """

    host: str
    start_id: str
    sequence_number: int
    address: str
    is_serving: bool
    loads: dict[str, int]
    slowness: dict[str, float]
    is_leader: bool
    slowed_services: Sequence[str] = ()
    post_shift_skews: dict[str, float] = {}
    link_mbps: float = 0.0
    verdicts: Sequence[SharedVerdict] = ()
    part_verdicts: Sequence[SharedVerdict] = ()
    limits: Sequence[LimitReport] = ()
    waiting_services: Sequence[str] = ()
    configuration_version: int = 0


def encode_heartbeat(heartbeat: HostHeartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
    limits = [_compact(report) for report in heartbeat.limits]
    return cbor2.dumps([FORMAT, *heartbeat._replace(limits=limits)])


def decode_heartbeat(data: bytes) -> HostHeartbeat:
    """Return the heartbeat in a datagram; raises `DecodeError`.

    Examples
    --------
    >>> heartbeat = HostHeartbeat(
    ...     "entry-1", "a1", 7, "10.0.0.1:80", True, {"u-1": 2}, {}, False
    ... )
    >>> decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat
    True
    """
    try:
        version, *fields = cbor2.loads(data)
        # Later releases may send more fields, and earlier ones fewer.
        heartbeat = HostHeartbeat(*fields[: len(HostHeartbeat._fields)])
        loads = {str(key): int(n) for key, n in heartbeat.loads.items()}
        slowness = {str(key): float(x) for key, x in heartbeat.slowness.items()}
        slowed = tuple(map(str, heartbeat.slowed_services))
        skews = {str(key): float(x) for key, x in heartbeat.post_shift_skews.items()}
        is_valid = isinstance(heartbeat.host, str) and isinstance(
            heartbeat.sequence_number, int
        )
        link_mbps = float(heartbeat.link_mbps)
        verdicts = tuple(map(_decode_verdict, heartbeat.verdicts))
        part_verdicts = tuple(map(_decode_verdict, heartbeat.part_verdicts))
        limits = tuple(map(_decode_limit, heartbeat.limits))
        waiting = tuple(map(str, heartbeat.waiting_services))
        version_in_force = int(heartbeat.configuration_version)
    except (
        cbor2.CBORDecodeError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,  # Of a number without a counterpart of the other type.
    ) as error:
        raise DecodeError(f"not a heartbeat: {error}") from error
    if version != FORMAT or not is_valid:
        raise DecodeError(f"heartbeat of format {version}")
    return heartbeat._replace(
        loads=loads,
        slowness=slowness,
        slowed_services=slowed,
        post_shift_skews=skews,
        link_mbps=link_mbps,
        verdicts=verdicts,
        part_verdicts=part_verdicts,
        limits=limits,
        waiting_services=waiting,
        configuration_version=version_in_force,
    )


def _decode_verdict(fields: Sequence[Any]) -> SharedVerdict:
    """Return a decoded verdict; raises `TypeError` or `ValueError` if it is invalid."""
    suspicion, crash_ids, *more = fields
    digest, verdict, n_rounds, n_crashes, left_ms = map(int, suspicion[:5])
    n_requests, has_run, n_trials = map(int, (*more[:3], 0, 0, 0)[:3])
    return SharedVerdict(
        Suspicion(digest, Verdict(verdict), n_rounds, n_crashes, left_ms),
        tuple(map(int, crash_ids)),
        n_requests,
        bool(has_run),
        n_trials,
    )


def _compact(report: LimitReport) -> LimitReport:
    """Return a report with whole numbers, which take fewer bytes, where possible."""
    limit_per_s = report.limit_per_s
    if limit_per_s.is_integer():
        limit_per_s = int(limit_per_s)
    return report._replace(limit_per_s=limit_per_s, age_ms=round(report.age_ms))


def _decode_limit(fields: Sequence[Any]) -> LimitReport:
    """Return a decoded report; raises `TypeError` or `ValueError` if it is invalid."""
    start, limit_per_s, age_ms, n_sent = fields[:4]
    report = LimitReport(int(start), float(limit_per_s), float(age_ms), int(n_sent))
    if not (report.limit_per_s >= 0 and report.age_ms >= 0 and report.n_sent >= 0):
        raise ValueError(f"limit {report}")
    return report

"""Reads the settings file that the platform gives to each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import NamedTuple

from ..errors import Finding, FindingsError
from .fields import FieldReader

__all__ = ["PlatformSettings", "read_platform_settings"]


class PlatformSettings(NamedTuple):
    """Settings of one process, as the platform gives them.

    Attributes
    ----------
    host, ip, data_centre : str
        The platform's terms are node for a host and zone for a data centre.
    callers_address, ready_address, directory_address : str
        Where this process serves callers, readiness checks and address look-ups.
    exchange_port : int
        UDP port of the entry hosts' heartbeats: the first port of the process's range.
    seed_ips : tuple of str
        Hosts to contact first; they may be down.
    store_address : str
    max_sockets : int
        File descriptors, less those reserved for files.
    memory_mb : float
        Memory that the process may use.
    link_mbps : float
        Rate of this host's own link.
    revocation_ms, shutdown_ms, drain_ms, stall_ms : float
        The platform's time limits: for a revoked key to stop working, for a shutdown,
        for an upstream that is gone to get no more requests, and for a stall (unused).
    retry_ratio, retry_fixed, retry_window_s : float
        The platform's retry budget: retries per request, plus a fixed number, within a
        window.
    """

    host: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    directory_address: str
    exchange_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    max_sockets: int
    memory_mb: float
    link_mbps: float
    revocation_ms: float
    shutdown_ms: float
    retry_ratio: float
    retry_fixed: float
    retry_window_s: float
    drain_ms: float
    stall_ms: float


DEFAULT_MEMORY_MB = 160.0  # If the platform gives none; few hosts have less.
DEFAULT_LINK_MBPS = 100.0  # If the platform gives none; few hosts have less.
FILE_DESCRIPTORS_FOR_FILES = 200  # Part of `maxFds` that the platform reserves.


def read_platform_settings(path: str) -> PlatformSettings:
    """Return the settings in a file; raises `FindingsError` with every finding."""
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise FindingsError([Finding(path, str(error), "a TOML file")]) from error
    reader = FieldReader(path, document)
    listen = reader.table("listen")
    bounds = reader.table("bounds")
    ports = reader.list_of("portRange")
    if not ports or not isinstance(ports[0], int):
        reader.add_finding("portRange", ports, "two port numbers")
        ports = [0]
    settings = PlatformSettings(
        host=reader.text("nodeName"),
        ip=reader.text("ip"),
        data_centre=reader.text("zone"),
        callers_address=_address(listen, "front"),
        ready_address=_address(listen, "ready"),
        directory_address=_address(listen, "directory"),
        exchange_port=ports[0],
        seed_ips=tuple(
            seed.rpartition(":")[0]
            for seed in reader.list_of("seeds", [])
            if isinstance(seed, str)
        ),
        store_address=_address(reader.table("platform"), "address"),
        max_sockets=reader.table("limits").integer("maxFds")
        - FILE_DESCRIPTORS_FOR_FILES,
        memory_mb=reader.table("limits").number("memoryMb", 0.0) or DEFAULT_MEMORY_MB,
        link_mbps=reader.table("limits").number("linkMbps", DEFAULT_LINK_MBPS),
        revocation_ms=bounds.number("revokeMs"),
        shutdown_ms=bounds.number("graceS") * 1000,
        retry_ratio=bounds.number("retryBudgetRatio"),
        retry_fixed=bounds.number("retryBudgetSlack"),
        retry_window_s=bounds.number("budgetWindowS"),
        drain_ms=bounds.number("drainMs"),
        stall_ms=bounds.number("stall_ms", 1500.0),
    )
    reader.raise_findings()
    return settings


def _address(reader: FieldReader, name: str) -> str:
    value = reader.text(name)
    if value and not value.rpartition(":")[2].isdigit():
        reader.add_finding(name, value, "an IP number and a port")
    return value

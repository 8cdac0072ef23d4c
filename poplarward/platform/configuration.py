"""Decodes the operator's configuration and the registry's entries of upstreams."""

from __future__ import annotations

import re
from typing import Any

from ..direct.model import (
    Configuration,
    EngineProfile,
    Repeatability,
    Route,
    Service,
    ServiceWeight,
    UpstreamEntry,
    Workspace,
)
from ..transport.http1_exchange import CallerLimits
from .fields import FieldReader

__all__ = [
    "CONFIGURATION_NAME",
    "decode_configuration",
    "decode_host",
    "decode_upstream",
]

CONFIGURATION_NAME = "main"

_REPEATABILITY = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}
_IS_LEAVING = {"ready": False, "draining": True}


def decode_configuration(spec: Any) -> Configuration:
    """Return a configuration; raises `FindingsError`."""
    reader = FieldReader("config", spec)
    findings = reader.findings
    limits = reader.table("limits")
    configuration = Configuration(
        version=reader.integer("version"),
        routes=tuple(
            _route(FieldReader(f"config.routes[{i}]", table, findings))
            for i, table in enumerate(reader.list_of("routes"))
        ),
        services={
            service.name: service
            for service in (
                _service(FieldReader(f"config.services[{i}]", table, findings))
                for i, table in enumerate(reader.list_of("services"))
            )
        },
        limits=CallerLimits(
            limits.integer("maxHeaderBytes"),
            limits.integer("maxBodyBytes"),
            limits.number("headerTimeoutMs"),
            limits.number("idleTimeoutMs"),
        ),
        workspaces=tuple(
            _workspace(FieldReader(f"config.tenants[{i}]", table, findings))
            for i, table in enumerate(reader.list_of("tenants", []))
        ),
    )
    reader.raise_findings()
    return configuration


def _route(reader: FieldReader) -> Route:
    kind = reader.text("kind")
    if kind not in _REPEATABILITY:
        reader.add_finding("kind", kind, ", ".join(_REPEATABILITY))
    return Route(
        name=reader.text("name"),
        host=reader.text("host"),
        path_prefix=reader.text("pathPrefix"),
        repeatability=_REPEATABILITY.get(kind, Repeatability.ONCE),
        timeout_ms=reader.number("timeoutMs"),
        latency_objective_ms=reader.number("targetLatencyMs"),
        pause_objective_ms=reader.number("gapTargetMs", 0.0),
        priority=reader.integer("priority"),
        targets=_targets(reader),
        max_attempts=reader.integer("maxAttempts", 1),
        is_public=reader.flag("public", False),
        is_resumable=reader.flag("resumable", False),
    )


def _targets(reader: FieldReader) -> tuple[ServiceWeight, ...]:
    if not reader.has("trafficSplit"):
        return (ServiceWeight(reader.text("service"), 1.0),)
    parts = [
        FieldReader("trafficSplit", part, reader.findings)
        for part in reader.list_of("trafficSplit")
    ]
    return tuple(ServiceWeight(p.text("service"), p.number("weight")) for p in parts)


def _service(reader: FieldReader) -> Service:
    engine = None
    if reader.has("engine"):
        engine = _engine(reader.table("engine"))
    return Service(
        reader.text("name"),
        reader.integer("maxConns"),
        engine,
        reader.text("healthPath", ""),
    )


def _engine(reader: FieldReader) -> EngineProfile:
    usual = reader.table("usual")
    return EngineProfile(
        n_slots=reader.integer("slots"),
        # Despite its name, this is the size of the whole memory, in tokens.
        kv_tokens=reader.integer("kvCapacity"),
        step_ms=reader.number("step_ms"),
        per_sequence_ms=reader.number("per_seq_ms", 0.0),
        context_ms_per_k_tokens=reader.number("context_per_k", 0.0),
        prefill_tokens_per_s=reader.number("read_per_s"),
        steps_per_pass=reader.integer("stride", 1),
        report_lag_ms=reader.number("report_lag_ms", 0.0),
        mean_prompt_tokens=usual.number("prompt", 0.0),
        mean_answer_tokens=usual.number("answer", 0.0),
        # A "set" is a set of layers that share one placement of experts.
        n_layers=reader.integer("sets", 0),
        n_experts=reader.integer("experts", 0),
        n_expert_slots=reader.integer("places", 0),
        n_spare_slots=reader.integer("spare", 0),
        expert_mb=reader.number("expertMb", 0.0),
        link_mbps=reader.number("linkMbps", 0.0),
        expert_share=reader.number("expertShare", 0.0),
    )


def _workspace(reader: FieldReader) -> Workspace:
    priority = reader.integer("priority") if reader.has("priority") else None
    return Workspace(reader.text("name"), tuple(reader.texts("apiKeys")), priority)


def decode_upstream(upstream_id: str, spec: Any) -> UpstreamEntry:
    """Return a registry entry; raises `FindingsError`.

    Other programs write entries too, which may have any content.
    """
    reader = FieldReader(f"servers/{upstream_id}", spec)
    for name, text in (
        ("id", upstream_id),
        ("service", reader.text("service")),
        ("zone", reader.text("zone")),
    ):
        if not _is_readable(text):
            reader.add_finding(name, text, "printable characters")
    state = reader.text("state")
    if state not in _IS_LEAVING:
        reader.add_finding("state", state, ", ".join(_IS_LEAVING))
    address = reader.text("address")
    host, _, port = address.rpartition(":")
    if not (_is_ipv4(host) and _is_below(65_536, port) and int(port)):
        reader.add_finding("address", address, "an IP number and a port")
    n_slots = reader.integer("slots")
    if n_slots < 1:
        reader.add_finding("slots", n_slots, "1 or more")
    entry = UpstreamEntry(
        id=upstream_id,
        service=reader.text("service"),
        address=address,
        data_centre=reader.text("zone"),
        n_slots=n_slots,
        is_draining=_IS_LEAVING.get(state, True),
        # Start of the upstream's process, by its own clock.
        started_at_ms=reader.integer("born", 0),
    )
    reader.raise_findings()
    return entry


def decode_host(name: str, spec: Any) -> tuple[str, int]:
    """Return where a host receives heartbeats; raises `FindingsError`."""
    reader = FieldReader(f"hosts/{name}", spec)
    ip, port = reader.text("ip"), reader.integer("port")
    if not _is_ipv4(ip):
        reader.add_finding("ip", ip, "an IP number")
    if not 0 < port < 65_536:
        reader.add_finding("port", port, "a port")
    reader.raise_findings()
    return ip, port


def _is_readable(text: str) -> bool:
    """Whether a text can be a header's value, and is not empty.

    Bytes that are no UTF-8 are decoded to unpaired surrogates, which are not printable.
    """
    return text.isprintable() and bool(text) and text == text.strip()


def _is_ipv4(text: str) -> bool:
    parts = text.split(".")
    return len(parts) == 4 and all(_is_below(256, part) for part in parts)


def _is_below(limit: int, text: str) -> bool:
    """Whether a text is a decimal number below a limit of at most five digits."""
    return re.fullmatch("[0-9]{1,5}", text) is not None and int(text) < limit

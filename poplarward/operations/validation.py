"""Validates resources, alone and against the resources that they refer to."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from ..errors import Finding, FindingsError
from ..state import ConfigurationView, check_spec

__all__ = ["check_deletion", "check_resource"]

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

_POSITIVE_FIELDS = {
    "modelgroups": ("n_ranks", "n_experts", "n_layers", "expert_bytes"),
    "services": ("deadline_ms",),
    "workspaces": ("share", "requests_per_s", "tokens_per_s"),
}
_UPSTREAM_KINDS = ("modelgroups", "plainservices")


def check_resource(
    view: ConfigurationView, kind: str, name: str, spec: Any
) -> dict[str, Any]:
    """Return a checked spec; raises `FindingsError` with every finding."""
    findings = list(_name_findings(name))
    try:
        spec = check_spec(kind, name, spec)
    except FindingsError as error:
        findings.extend(error.findings)
    place = f"{kind}/{name}: $"
    findings.extend(_value_findings(place, kind, spec))
    findings.extend(_reference_findings(view, place, kind, name, spec))
    if findings:
        raise FindingsError(findings)
    return spec


def check_deletion(view: ConfigurationView, kind: str, name: str) -> None:
    """Raise `FindingsError` with every resource that refers to this one."""
    findings = [
        Finding(f"{kind}/{name}", f"named by {user}", "a resource that none names")
        for user in _users(view, kind, name)
    ]
    if findings:
        raise FindingsError(findings)


def _name_findings(name: str) -> Iterator[Finding]:
    if not NAME_PATTERN.fullmatch(name):
        allowed = "1 to 63 of a-z, 0-9, '.' and '-', not '.' or '-' at an end"
        yield Finding("$.resource.name", repr(name)[:80], allowed)


def _value_findings(place: str, kind: str, spec: Any) -> Iterator[Finding]:
    for field in _POSITIVE_FIELDS.get(kind, ()):
        value = spec.get(field, 1)
        if isinstance(value, int | float) and not 0 < value < float("inf"):
            yield Finding(f"{place}.{field}", repr(value), "a number greater than 0")
    for field in ("skew_weight", "rebalance_cost_weight"):
        value = spec.get(field, 0)
        if isinstance(value, int | float) and not 0 <= value < float("inf"):
            yield Finding(f"{place}.{field}", repr(value), "a number not below 0")
    for index, digest in enumerate(spec.get("token_sha256", [])):
        if not DIGEST_PATTERN.fullmatch(str(digest)):
            allowed = "64 hexadecimal digits, in lower case"
            yield Finding(f"{place}.token_sha256[{index}]", repr(digest)[:80], allowed)
    for index, call in enumerate(spec.get("calls", [])):
        if not str(call.get("path_prefix", "")).startswith("/"):
            found = repr(call.get("path_prefix"))[:80]
            field = f"{place}.calls[{index}].path_prefix"
            yield Finding(field, found, "a path that begins with '/'")


def _reference_findings(
    view: ConfigurationView, place: str, kind: str, name: str, spec: Any
) -> Iterator[Finding]:
    match kind:
        case "services":
            upstream = spec.get("upstream", "")
            if not any(view.get(k, upstream) for k in _UPSTREAM_KINDS):
                allowed = "a model group or plain service in force"
                yield Finding(f"{place}.upstream", repr(upstream)[:80], allowed)
        case "workspaces":
            for index, service in enumerate(spec.get("services", [])):
                if view.get("services", service) is None:
                    field = f"{place}.services[{index}]"
                    yield Finding(field, repr(service)[:80], "a service in force")
            yield from _shared_digests(view, place, name, spec)
        case "modelgroups":
            yield from _shared_model(view, place, name, spec)
    for other in _UPSTREAM_KINDS:
        if kind in _UPSTREAM_KINDS and other != kind and view.get(other, name):
            yield Finding(place, f"the name of one of {other}", "a name of its own")


def _shared_digests(
    view: ConfigurationView, place: str, name: str, spec: Any
) -> Iterator[Finding]:
    holders = {
        digest: other
        for other, held in view.specs("workspaces")
        if other != name
        for digest in held["token_sha256"]
    }
    for index, digest in enumerate(spec.get("token_sha256", [])):
        if digest in holders:
            found = f"a credential of workspace {holders[digest]}"
            field = f"{place}.token_sha256[{index}]"
            yield Finding(field, found, "a credential of one workspace")


def _shared_model(
    view: ConfigurationView, place: str, name: str, spec: Any
) -> Iterator[Finding]:
    for other, held in view.specs("modelgroups"):
        if other != name and held["model"] == spec.get("model"):
            found = f"{held['model']!r}, which group {other} serves"
            yield Finding(f"{place}.model", found, "a model that no other group serves")


def _users(view: ConfigurationView, kind: str, name: str) -> Iterator[str]:
    if kind in _UPSTREAM_KINDS:
        for user, spec in view.specs("services"):
            if spec["upstream"] == name:
                yield f"services/{user}"
    if kind == "services":
        for user, spec in view.specs("workspaces"):
            if name in spec["services"]:
                yield f"workspaces/{user}"

"""Settings of the programs, read from JSON and checked whole."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Literal, NotRequired, TypeVar

from pydantic import TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from ..errors import Finding, FindingsError

__all__ = ["AgentSettings", "EntrySettings", "TlsSettings", "read_settings"]


@with_config({"extra": "forbid"})
class TlsSettings(TypedDict):
    """PEM files of a listener or a client, by path."""

    certificate: str
    key: str
    authority: NotRequired[str]


@with_config({"extra": "forbid"})
class EntrySettings(TypedDict):
    """Settings of ``poplarward-entry``.

    Addresses are an IP number and a port, such as ``10.1.0.7:8000``.
    """

    name: str
    data_centre: str
    callers_listen: str
    operators_listen: str
    peers_listen: str
    platform_url: str
    peer_secret: str
    operator_tokens: dict[str, str]
    metrics_listen: NotRequired[str]
    callers_tls: NotRequired[TlsSettings]
    operators_tls: NotRequired[TlsSettings]
    peers_tls: NotRequired[TlsSettings]
    far_cost_requests: NotRequired[float]
    lease_length_ms: NotRequired[float]
    log_level: NotRequired[Literal["debug", "info", "warning", "error"]]


@with_config({"extra": "forbid"})
class UpstreamSection(TypedDict):
    """The upstream that an agent stands before."""

    kind: Literal["engine", "plain"]
    name: str
    url: str
    n_slots: int


@with_config({"extra": "forbid"})
class AgentSettings(TypedDict):
    """Settings of ``poplarward-agent``."""

    name: str
    data_centre: str
    peers_listen: str
    metrics_listen: str
    platform_url: str
    peer_secret: str
    upstream: UpstreamSection
    peers_tls: NotRequired[TlsSettings]
    log_level: NotRequired[Literal["debug", "info", "warning", "error"]]


_Settings = TypeVar("_Settings")


def read_settings(path: str, schema: type[_Settings]) -> _Settings:
    """Return the settings in a file; raises `FindingsError` with every finding."""
    try:
        document: Any = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        raise FindingsError([Finding(path, reason, "a readable file")]) from None
    except ValueError as error:
        raise FindingsError([Finding(path, str(error), "JSON")]) from None
    try:
        return TypeAdapter(schema).validate_python(document)
    except ValidationError as error:
        findings = [
            Finding(
                f"{path}: $." + ".".join(str(part) for part in item["loc"]),
                "nothing" if item["type"] == "missing" else repr(item["input"])[:80],
                item["msg"],
            )
            for item in error.errors()
        ]
        raise FindingsError(findings) from None

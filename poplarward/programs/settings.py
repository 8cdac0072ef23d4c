"""Reads the settings of the programs from JSON and reports every error at once."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired, TypeVar

from pydantic import Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from ..errors import Finding, FindingsError
from ..transport import (
    HttpAccess,
    TlsFiles,
    WebSocketNetwork,
    client_context,
    server_context,
)
from .settings_checks import settings_findings

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "TlsSettings",
    "peers_network",
    "platform_access",
    "read_settings",
    "tls_files",
    "upstream_access",
]


@with_config({"extra": "forbid"})
class TlsSettings(TypedDict):
    """PEM files of a listener or a client, by path."""

    certificate: str
    key: str
    authority: NotRequired[str]


@with_config({"extra": "forbid"})
class ClientTlsSettings(TypedDict):
    """PEM files for calls to a server, by path; the pair if it asks for mutual TLS."""

    authority: str
    certificate: NotRequired[str]
    key: NotRequired[str]


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
    platform_tls: NotRequired[ClientTlsSettings]
    platform_token: NotRequired[str]
    peer_secret: str
    operator_tokens: dict[str, str]
    metrics_listen: NotRequired[str]
    metrics_tls: NotRequired[TlsSettings]
    callers_tls: NotRequired[TlsSettings]
    operators_tls: NotRequired[TlsSettings]
    peers_tls: NotRequired[TlsSettings]
    far_cost_requests: NotRequired[float]
    lease_length_ms: NotRequired[float]
    address_keep_ms: NotRequired[float]
    log_level: NotRequired[Literal["debug", "info", "warning", "error"]]


@with_config({"extra": "forbid"})
class UpstreamSection(TypedDict):
    """The upstream that an agent serves.

    ``ranks`` lists the ranks of the model group that an engine's host runs; without
    it the host takes no part in changes of the expert map. ``kv_limit_tokens`` is
    the capacity of an engine's KV cache; without it only slots limit admission.
    ``kv_headroom_share`` is the fraction of it that admission keeps free.
    """

    kind: Literal["engine", "plain"]
    name: str
    url: str
    n_slots: int
    kv_limit_tokens: NotRequired[Annotated[int, Field(ge=0)]]
    kv_headroom_share: NotRequired[Annotated[float, Field(ge=0.0, lt=1.0)]]
    ranks: NotRequired[list[int]]
    tls: NotRequired[ClientTlsSettings]
    token: NotRequired[str]


@with_config({"extra": "forbid"})
class AgentSettings(TypedDict):
    """Settings of ``poplarward-agent``."""

    name: str
    data_centre: str
    peers_listen: str
    metrics_listen: str
    platform_url: str
    platform_tls: NotRequired[ClientTlsSettings]
    platform_token: NotRequired[str]
    peer_secret: str
    upstream: UpstreamSection
    stop_wait_ms: NotRequired[float]
    metrics_tls: NotRequired[TlsSettings]
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
        settings = TypeAdapter(schema).validate_python(document)
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
    findings = list(settings_findings(path, settings))
    if findings:
        raise FindingsError(findings)
    return settings


def tls_files(settings: Any, section: str) -> TlsFiles | None:
    """Return the files of a TLS section, None if it is left out."""
    return TlsFiles(**settings[section]) if section in settings else None


def platform_access(settings: Any) -> HttpAccess:
    """Return the TLS context and token for calls to the platform."""
    return _access(settings, "platform_tls", "platform_token")


def upstream_access(section: Any) -> HttpAccess:
    """Return the TLS context and token for calls to an agent's upstream."""
    return _access(section, "tls", "token")


def _access(section: Any, tls_name: str, token_name: str) -> HttpAccess:
    files = tls_files(section, tls_name)
    tls = None if files is None else client_context(files)
    return HttpAccess(tls, section.get(token_name, ""))


def peers_network(settings: Any) -> WebSocketNetwork:
    """Return the network between the processes; mutual TLS if it is set."""
    files = tls_files(settings, "peers_tls")
    if files is None:
        return WebSocketNetwork()
    return WebSocketNetwork(client_context(files), server_context(files))

"""Checks of settings beyond their types: addresses and files."""

from __future__ import annotations

import ipaddress
import ssl
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from ..errors import Finding
from ..transport import Address, TlsFiles, client_context

__all__ = ["settings_findings"]

MAX_PORT = 65_535
LISTENER_SECTIONS = ("callers_tls", "operators_tls", "metrics_tls", "peers_tls")


def settings_findings(path: str, settings: Mapping[str, Any]) -> Iterator[Finding]:
    """Yield the findings of settings whose types are valid."""
    for name, value in settings.items():
        if name.endswith("_listen"):
            yield from _address_findings(f"{path}: $.{name}", value)
        if name in LISTENER_SECTIONS:
            yield from _tls_findings(f"{path}: $.{name}", value)
    yield from _server_findings(f"{path}: $.platform_", settings, "platform_")
    if "upstream" in settings:
        yield from _server_findings(f"{path}: $.upstream.", settings["upstream"], "")
    if "peers_tls" in settings and "authority" not in settings["peers_tls"]:
        allowed = "a PEM file, since both ends show a certificate"
        yield Finding(f"{path}: $.peers_tls.authority", "nothing", allowed)


def _address_findings(place: str, text: str) -> Iterator[Finding]:
    try:
        address = Address.parse(text)
        ipaddress.ip_address(address.host)
        is_valid = 0 <= address.port <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        yield Finding(place, repr(text)[:80], "an IP number and a port")


def _server_findings(
    place: str, settings: Mapping[str, Any], prefix: str
) -> Iterator[Finding]:
    """Yield the findings on the address and TLS section of an external server."""
    url = settings[f"{prefix}url"]
    scheme, _, address = url.partition("://")
    if scheme not in ("http", "https"):
        yield Finding(f"{place}url", repr(url)[:80], "http:// or https://")
        return
    yield from _address_findings(f"{place}url", address.rstrip("/"))
    section = settings.get(f"{prefix}tls")
    if section is None:
        return
    if scheme == "http":
        allowed = "an https:// address, since there is a section on TLS"
        yield Finding(f"{place}url", repr(url)[:80], allowed)
    if ("certificate" in section) != ("key" in section):
        allowed = "both a certificate and its key, or neither"
        yield Finding(f"{place}tls", ", ".join(sorted(section)), allowed)
    else:
        yield from _tls_findings(f"{place}tls", section)


def _tls_findings(place: str, section: Mapping[str, str]) -> Iterator[Finding]:
    n_unreadable = 0
    for field, name in section.items():
        try:
            Path(name).read_bytes()
        except OSError as error:
            n_unreadable += 1
            found = f"{name}: {error.strerror}"
            yield Finding(f"{place}.{field}", found, "a readable PEM file")
    if n_unreadable:
        return
    try:
        client_context(TlsFiles(**section))
    except (ssl.SSLError, ValueError) as error:
        allowed = "PEM files, the key being the certificate's"
        yield Finding(place, str(error), allowed)

"""Checks of settings beyond their types: addresses and files."""

from __future__ import annotations

import ipaddress
import ssl
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from ..errors import Finding
from ..transport import Address, TlsFiles, server_context

__all__ = ["settings_findings"]

MAX_PORT = 65_535


def settings_findings(path: str, settings: Mapping[str, Any]) -> Iterator[Finding]:
    """Yield what is wrong in settings whose types are right."""
    for name, value in settings.items():
        if name.endswith("_listen"):
            yield from _address_findings(f"{path}: $.{name}", value)
        if name.endswith("_tls"):
            yield from _tls_findings(f"{path}: $.{name}", value)
    if "peers_tls" in settings and "authority" not in settings["peers_tls"]:
        allowed = "a PEM file, since both ends show a certificate"
        yield Finding(f"{path}: $.peers_tls.authority", "nothing", allowed)


def _address_findings(place: str, text: str) -> Iterator[Finding]:
    try:
        address = Address.parse(text)
        ipaddress.ip_address(address.host)
        is_right = 0 <= address.port <= MAX_PORT
    except ValueError:
        is_right = False
    if not is_right:
        yield Finding(place, repr(text)[:80], "an IP number and a port")


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
        server_context(TlsFiles(**section))
    except (ssl.SSLError, ValueError) as error:
        allowed = "PEM files, the key being the certificate's"
        yield Finding(place, str(error), allowed)

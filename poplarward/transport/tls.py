"""Contexts of TLS for the connections between the system's processes."""

from __future__ import annotations

import ssl
from typing import NamedTuple

__all__ = ["TlsFiles", "client_context", "server_context"]


class TlsFiles(NamedTuple):
    """Paths of PEM files.

    Attributes
    ----------
    certificate, key : str
        The own certificate chain and private key; empty for a client that shows
        none.
    authority : str
        Certificates that the other end must be signed by; empty if a client need
        not show one.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that accepts clients signed by the authority."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.load_verify_locations(files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that checks the server's certificate and shows the own one.

    The server's certificate must name the IP number that is connected to.
    """
    authority = files.authority or None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key)
    return context

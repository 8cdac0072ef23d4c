"""TLS contexts for connections between the system's processes."""

from __future__ import annotations

import ssl
from typing import NamedTuple

__all__ = ["TlsFiles", "client_context", "server_context"]


class TlsFiles(NamedTuple):
    """Paths of PEM files.

    Attributes
    ----------
    certificate, key : str
        Own certificate chain and private key; empty for a client without a
        certificate.
    authority : str
        Certificate authorities that must have signed the peer's certificate; empty
        if clients need no certificate.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that accepts clients with certificates of the authority."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.load_verify_locations(files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that verifies the server and presents the own certificate.

    The server's certificate must contain the IP address that is connected to.
    """
    authority = files.authority or None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key)
    return context

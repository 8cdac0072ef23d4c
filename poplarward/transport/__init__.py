"""Moves messages, as bytes, between the processes of the system.

A `Network` opens and accepts `Channel` objects. `WebSocketNetwork` is used between
hosts, `MemoryNetwork` in tests, where links may be delayed, cut or made to lose,
double or reorder messages.
"""

from .channels import Address, Channel, ChannelHandler, Network
from .http_client import HttpAccess, HttpClient, HttpResponse
from .http_server import (
    HttpRequest,
    Responder,
    asgi_application,
    serve_http,
)
from .memory import LinkFaults, MemoryNetwork
from .tls import TlsFiles, client_context, server_context
from .websocket import WebSocketNetwork

__all__ = [
    "Address",
    "Channel",
    "ChannelHandler",
    "HttpAccess",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "LinkFaults",
    "MemoryNetwork",
    "Network",
    "Responder",
    "TlsFiles",
    "WebSocketNetwork",
    "asgi_application",
    "client_context",
    "serve_http",
    "server_context",
]

"""Transports messages, as bytes, between the processes of the system.

A `Network` opens and accepts `Channel` objects. `WebSocketNetwork` is used between
hosts, `MemoryNetwork` in tests, where it can cut links and delay, drop and duplicate
messages.
"""

import lazy_loader

# Submodules are imported on first use, so that programs load only what they need.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "channels": ["Address", "Channel", "ChannelHandler", "Network"],
        "http_client": ["HttpAccess", "HttpClient", "HttpResponse"],
        "http_server": ["HttpRequest", "Responder", "asgi_application", "serve_http"],
        "memory": ["LinkFaults", "MemoryNetwork"],
        "tls": ["TlsFiles", "client_context", "server_context"],
        "websocket": ["WebSocketNetwork"],
    },
)

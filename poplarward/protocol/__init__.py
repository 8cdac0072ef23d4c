"""Typed messages between the processes of the system.

Messages are frozen dataclasses declared with `message` and encoded as CBOR arrays.
`Peers` sends them over the transport: it opens connections on demand, matches replies
to calls, and passes every message to the handler registered for its type.
"""

import lazy_loader

# Submodules are imported on first use, so that programs load only what they need.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "codec": ["decode", "encode", "message"],
        "connections": ["Connection"],
        "identity": ["ProcessIdentity", "RequestId"],
        "peers": ["Peers"],
    },
)

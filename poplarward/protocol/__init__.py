"""Typed messages between the processes of the system.

Messages are frozen dataclasses declared with `message`, coded as CBOR arrays.
`Peers` carries them over the transport: it opens links on demand, matches replies
to calls, and hands every message to the handler registered for its type.
"""

from .codec import decode, encode, message
from .connections import Connection
from .identity import ProcessIdentity, RequestId
from .peers import Peers

__all__ = [
    "Connection",
    "Peers",
    "ProcessIdentity",
    "RequestId",
    "decode",
    "encode",
    "message",
]

"""Derives a host's vote and the prepare request from the state of its engine."""

from __future__ import annotations

import base64

from ...errors import DecodeError
from ...protocol import decode, encode
from ...protocol.expert_maps import MapId, Member, PrepareMap, Vote
from .engine import EngineStatus

__all__ = [
    "decode_note",
    "encode_note",
    "other_members",
    "relative_position",
    "vote_from_status",
]


def vote_from_status(status: EngineStatus, map_id: MapId) -> Vote | None:
    """Return the vote that the engine's state implies, None if there is none."""
    if map_id in (status.active, status.pending):
        return Vote.COMMITTED
    if status.hold is not None and status.hold.map_id == map_id:
        return Vote.READY
    return None


def encode_note(request: PrepareMap) -> str:
    """Encode a request as the note of a hold."""
    return base64.b64encode(encode(request)).decode()


def decode_note(note: str) -> PrepareMap:
    """Decode the request in the note of a hold; raises `DecodeError`."""
    try:
        request = decode(base64.b64decode(note))
    except ValueError as error:
        raise DecodeError(f"invalid hold note: {error}") from error
    if not isinstance(request, PrepareMap):
        raise DecodeError("the hold note is not a prepare request")
    return request


def relative_position(request: PrepareMap, name: str) -> float:
    """Return a host's position among the members as a fraction from 0 to 1."""
    names = [member.name for member in request.members]
    return names.index(name) / len(names)


def other_members(request: PrepareMap, name: str) -> list[Member]:
    """Return the members other than the named host."""
    return [member for member in request.members if member.name != name]

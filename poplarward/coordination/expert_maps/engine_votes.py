"""Reads a host's vote, and the request it answers, from the state of its engine."""

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
    "position",
    "vote_from_status",
]


def vote_from_status(status: EngineStatus, map_id: MapId) -> Vote | None:
    """Return the vote that the engine's state stands for, None if there is none."""
    if map_id in (status.active, status.pending):
        return Vote.COMMITTED
    if status.hold is not None and status.hold.map_id == map_id:
        return Vote.READY
    return None


def encode_note(request: PrepareMap) -> str:
    """Return the note of a hold, from which the request can be read back."""
    return base64.b64encode(encode(request)).decode()


def decode_note(note: str) -> PrepareMap:
    """Return the request in the note of a hold; raises `DecodeError`."""
    try:
        request = decode(base64.b64decode(note))
    except ValueError as error:
        raise DecodeError(f"not a note: {error}") from error
    if not isinstance(request, PrepareMap):
        raise DecodeError("not the note of a request to prepare")
    return request


def position(request: PrepareMap, name: str) -> float:
    """Return a host's place among the members, from 0 to 1."""
    names = [member.name for member in request.members]
    return names.index(name) / len(names)


def other_members(request: PrepareMap, name: str) -> list[Member]:
    """Return the members other than the named host."""
    return [member for member in request.members if member.name != name]

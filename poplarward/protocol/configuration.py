"""Messages by which processes pass the configuration on and report what they hold."""

from __future__ import annotations

from typing import Any, NamedTuple

from .codec import message

__all__ = [
    "ConfigurationDelta",
    "ConfigurationPull",
    "ConfigurationUnchanged",
    "ResourceRecord",
    "RolloutReport",
    "RolloutRequest",
    "SnapshotChunk",
    "SubtreeReport",
]


class ResourceRecord(NamedTuple):
    """A resource at a version, as it goes over the wire; no spec once deleted."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


class SubtreeReport(NamedTuple):
    """What a process knows of the processes that follow it.

    Attributes
    ----------
    children_digest : int
        Digest of the names of the followers.
    children : list of str, optional
        The names; left out when the receiver holds them already.
    behind : list
        Name and revision of the followers that hold less than the sender.
    """

    children_digest: int
    children: list[str] | None
    behind: list[tuple[str, int]]


@message(150)
class ConfigurationPull:
    """Asks for what is newer; the reply is one of the next three messages.

    Attributes
    ----------
    revision, digest : int
        What the sender holds.
    is_following : bool
        Whether the receiver shall also push later changes on this connection.
    report : SubtreeReport, optional
        Sent to the process that is followed.
    snapshot_revision, chunk : int
        Names a later part of a snapshot whose first part came before.
    """

    revision: int
    digest: int
    is_following: bool
    report: SubtreeReport | None = None
    snapshot_revision: int = 0
    chunk: int = 0


@message(151)
class ConfigurationUnchanged:
    """Tells that the receiver has nothing newer than the sender of the pull.

    Attributes
    ----------
    revision : int
        What the replying process holds.
    is_same : bool
        Whether both hold the same resources, be it at different revisions.
    is_ready : bool
        Whether the replying process has itself learnt a current revision.
    wants_children : bool
        Whether the next report shall name the followers.
    """

    revision: int
    is_same: bool
    is_ready: bool
    wants_children: bool = False


@message(152)
class ConfigurationDelta:
    """Every change after one revision up to another, oldest first.

    Attributes
    ----------
    latest_revision : int
        What the sender holds; greater than `to_revision` if more is to be pulled.
    """

    from_revision: int
    to_revision: int
    records: list[ResourceRecord]
    latest_revision: int
    is_ready: bool
    wants_children: bool = False


@message(153)
class SnapshotChunk:
    """A part of all resources that exist at one revision."""

    revision: int
    chunk: int
    n_chunks: int
    records: list[ResourceRecord]
    is_ready: bool
    wants_children: bool = False


@message(154)
class RolloutRequest:
    """Asks a process for what it and its subtree of followers hold."""


@message(155)
class RolloutReport:
    """Name and revision in force of the sender and of its subtree of followers."""

    revisions: list[tuple[str, int]]

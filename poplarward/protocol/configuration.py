"""Messages for distributing the configuration and reporting applied revisions."""

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
    """A resource at a version, as sent on the wire; ``spec`` is None if deleted."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


class SubtreeReport(NamedTuple):
    """Configuration state of the processes that follow the sender.

    Attributes
    ----------
    children_digest : int
        Digest of the followers' names.
    children : list of str, optional
        The followers' names; None if the receiver has them already.
    behind : list
        Name and revision of the followers at an older revision than the sender.
    """

    children_digest: int
    children: list[str] | None
    behind: list[tuple[str, int]]


@message(150)
class ConfigurationPull:
    """Requests newer configuration; the reply is one of the next three messages.

    Attributes
    ----------
    revision, digest : int
        Revision and digest of the sender's configuration.
    is_following : bool
        Whether the receiver should also push later changes on this connection.
    report : SubtreeReport, optional
        Sent only to the process that the sender follows.
    snapshot_revision, chunk : int
        Request a later chunk of a snapshot whose first chunk was received.
    """

    revision: int
    digest: int
    is_following: bool
    report: SubtreeReport | None = None
    snapshot_revision: int = 0
    chunk: int = 0


@message(151)
class ConfigurationUnchanged:
    """Reply to a pull whose sender is already up to date with the replying process.

    Attributes
    ----------
    revision : int
        Revision of the replying process.
    is_same : bool
        Whether both have the same resources, possibly at different revisions.
    is_ready : bool
        Whether the replying process has itself received a current revision.
    wants_children : bool
        Whether the next report should include the followers' names.
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
        Revision of the sender; greater than `to_revision` if more is to be pulled.
    """

    from_revision: int
    to_revision: int
    records: list[ResourceRecord]
    latest_revision: int
    is_ready: bool
    wants_children: bool = False


@message(153)
class SnapshotChunk:
    """One chunk of a snapshot of all resources at one revision."""

    revision: int
    chunk: int
    n_chunks: int
    records: list[ResourceRecord]
    is_ready: bool
    wants_children: bool = False


@message(154)
class RolloutRequest:
    """Requests the applied revisions of a process and its subtree of followers."""


@message(155)
class RolloutReport:
    """Name and applied revision of the sender and of each process in its subtree."""

    revisions: list[tuple[str, int]]

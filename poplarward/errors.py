"""Exceptions raised by Poplarward.

Every exception of the package derives from `PoplarwardError`, so that one class
catches all of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "BodyTooLarge",
    "BufferFull",
    "CallRefused",
    "CallerDisconnected",
    "ChannelClosed",
    "ConflictError",
    "DecodeError",
    "EngineRefused",
    "EngineUnreachable",
    "Finding",
    "FindingsError",
    "FormatUnsupported",
    "NotFound",
    "PeerTimeout",
    "PeerUnreachable",
    "PoplarwardError",
    "Refused",
    "RevisionTooOld",
    "StaleFence",
    "StoreInterrupted",
    "StoreUnavailable",
    "StreamError",
    "UpstreamUnreachable",
    "WeightsUnavailable",
    "WriteUnknown",
]


class PoplarwardError(Exception):
    """Base class of all exceptions of this package."""


class BodyTooLarge(PoplarwardError):
    """The body of a request exceeds the limit."""


class BufferFull(PoplarwardError):
    """The responses in progress hold as much memory as they may."""


class CallRefused(PoplarwardError):
    """The peer's handler refused a call; the message is its reason."""


class CallerDisconnected(PoplarwardError):
    """The caller disconnected before its request was complete."""


class ChannelClosed(PoplarwardError):
    """A message channel was closed by one of its ends."""


class DecodeError(PoplarwardError):
    """Bytes received from another process are not a known message."""


class EngineRefused(PoplarwardError):
    """An engine refused a command and has not executed it."""


class EngineUnreachable(PoplarwardError):
    """An engine gave no usable response; it may have executed the command."""


class PeerUnreachable(PoplarwardError):
    """A connection to a peer could not be opened, or was lost."""


class PeerTimeout(PoplarwardError):
    """A peer did not reply to a call in time."""


class RevisionTooOld(PoplarwardError):
    """The changes since a revision are no longer available; list again."""


class StoreInterrupted(RevisionTooOld):
    """Contact with the store was lost since a revision was read.

    The store may have been replaced by an older copy, whose revisions name other
    changes; list again.
    """


class StaleFence(PoplarwardError):
    """A command was refused because a newer lease holder may have sent one."""


class StoreUnavailable(PoplarwardError):
    """The platform's object API gave no usable response."""


class StreamError(PoplarwardError):
    """A stream's events are out of order, or one is too large."""


class NotFound(PoplarwardError):
    """An object does not exist in the platform's object API."""


class ConflictError(PoplarwardError):
    """A conditional update was refused because the object has another version."""


class Refused(PoplarwardError):
    """A request was refused before any upstream received it.

    Attributes
    ----------
    retry_after_ms : float
        Time after which the caller may retry.
    """

    def __init__(self, reason: str, retry_after_ms: float):
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms


class FormatUnsupported(StoreUnavailable):
    """A stored object has a format that this release can't read."""


class UpstreamUnreachable(PoplarwardError):
    """An upstream could not be reached, or its response was interrupted.

    Attributes
    ----------
    sent : bool
        Whether the upstream may have received the request.
    broke_off : bool
        Whether the connection was then lost, and did not just time out.
    """

    def __init__(self, reason: str, *, sent: bool, broke_off: bool | None = None):
        super().__init__(reason)
        self.sent = sent
        self.broke_off = sent if broke_off is None else broke_off


class WeightsUnavailable(PoplarwardError):
    """Weights could not be read from a peer rank or from the weight store."""


class WriteUnknown(PoplarwardError):
    """The outcome of a write to the object API could not be determined in time."""


class Finding(NamedTuple):
    """One error in an input, with its location.

    Attributes
    ----------
    place : str
        Location of the error, such as ``settings.json: $.listen.port``.
    found : str
        Value that was found.
    allowed : str
        Values that are allowed.
    """

    place: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: found {self.found}, allowed: {self.allowed}"


class FindingsError(PoplarwardError):
    """An input was refused; carries every finding, not only the first."""

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("; ".join(str(finding) for finding in findings))

"""Exceptions raised by Poplarward.

Every exception of the package derives from `PoplarwardError`, so a caller may
catch one class for all of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "BodyTooLarge",
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
    "StoreUnavailable",
    "UpstreamUnreachable",
    "WeightsUnavailable",
    "WriteUnknown",
]


class PoplarwardError(Exception):
    """Base class of all exceptions of this package."""


class BodyTooLarge(PoplarwardError):
    """A request's body is longer than the limit."""


class CallRefused(PoplarwardError):
    """The peer's handler refused a call; the text is its reason."""


class CallerDisconnected(PoplarwardError):
    """The caller closed its connection before its request was complete."""


class ChannelClosed(PoplarwardError):
    """A message channel was closed by either end."""


class DecodeError(PoplarwardError):
    """Bytes received from another process do not form a known message."""


class EngineRefused(PoplarwardError):
    """An engine refused an order, and has not carried it out."""


class EngineUnreachable(PoplarwardError):
    """An engine gave no usable answer; it may have carried out the order."""


class PeerUnreachable(PoplarwardError):
    """No connection to a peer could be opened, or it was lost."""


class PeerTimeout(PoplarwardError):
    """A peer did not answer a call in time."""


class RevisionTooOld(PoplarwardError):
    """The changes since a revision are not kept any more; list and start anew."""


class StaleFence(PoplarwardError):
    """An order was refused because a newer holder of the lease may have given one."""


class StoreUnavailable(PoplarwardError):
    """The platform's object API gave no usable answer."""


class NotFound(PoplarwardError):
    """An object does not exist in the platform's object API."""


class ConflictError(PoplarwardError):
    """A conditional update was refused because the object has another version."""


class Refused(PoplarwardError):
    """A request was refused before any upstream received it.

    Attributes
    ----------
    retry_after_ms : float
        When the caller may come back.
    """

    def __init__(self, reason: str, retry_after_ms: float):
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms


class FormatUnsupported(StoreUnavailable):
    """An object of the store has a format that this release can't read."""


class UpstreamUnreachable(PoplarwardError):
    """An upstream could not be reached, or its answer broke off.

    Attributes
    ----------
    sent : bool
        Whether the upstream may have received the request.
    broke_off : bool
        Whether the connection was lost after that, not just silent for too long.
    """

    def __init__(self, reason: str, *, sent: bool, broke_off: bool | None = None):
        super().__init__(reason)
        self.sent = sent
        self.broke_off = sent if broke_off is None else broke_off


class WeightsUnavailable(PoplarwardError):
    """Weights could not be read from a peer rank or the weight store."""


class WriteUnknown(PoplarwardError):
    """Whether a write to the object API took effect could not be learnt in time."""


class Finding(NamedTuple):
    """One thing found wrong in an input, with its place.

    Attributes
    ----------
    place : str
        Where it was found, such as ``settings.json: $.listen.port``.
    found : str
        What stands there.
    allowed : str
        What may stand there.
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

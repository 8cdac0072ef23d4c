"""Exceptions raised by Poplarward.

Every exception of the package derives from `PoplarwardError`, so a caller may
catch one class for all of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "ChannelClosed",
    "ConflictError",
    "DecodeError",
    "Finding",
    "FindingsError",
    "NotFound",
    "PeerTimeout",
    "PeerUnreachable",
    "PoplarwardError",
    "StoreUnavailable",
]


class PoplarwardError(Exception):
    """Base class of all exceptions of this package."""


class ChannelClosed(PoplarwardError):
    """A message channel was closed by either end."""


class DecodeError(PoplarwardError):
    """Bytes received from another process do not form a known message."""


class PeerUnreachable(PoplarwardError):
    """No connection to a peer could be opened, or it was lost."""


class PeerTimeout(PoplarwardError):
    """A peer did not answer a call in time."""


class StoreUnavailable(PoplarwardError):
    """The platform's object API gave no usable answer."""


class NotFound(PoplarwardError):
    """An object does not exist in the platform's object API."""


class ConflictError(PoplarwardError):
    """A conditional update was refused because the object has another version."""


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

"""Format versions of stored objects.

An object states its format in the field ``format``. A release reads its own format,
the previous and the next one. It preserves unknown fields when it rewrites an object,
and neither reads nor overwrites an object of any other format.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..errors import FormatUnsupported

__all__ = ["FORMAT_KEY", "check_format", "format_of"]

FORMAT_KEY = "format"
FIRST_FORMAT = 1


def format_of(spec: Mapping[str, Any]) -> int:
    """Return the format that an object states; the first format if it states none."""
    found = spec.get(FORMAT_KEY, FIRST_FORMAT)
    if not isinstance(found, int) or isinstance(found, bool):
        raise FormatUnsupported(f"the format is {found!r:.40}, not a number")
    return found


def check_format(what: str, spec: Mapping[str, Any], own: int) -> int:
    """Return an object's format; raises `FormatUnsupported` if it can't be read.

    Examples
    --------
    >>> check_format("a lease", {"format": 3, "holder": "entry-1"}, own=2)
    3
    >>> check_format("a lease", {"format": 4, "holder": "entry-1"}, own=2)
    Traceback (most recent call last):
    ...
    poplarward.errors.FormatUnsupported: a lease has format 4; this release reads 1 to 3
    """
    found = format_of(spec)
    first = max(FIRST_FORMAT, own - 1)
    if not first <= found <= own + 1:
        raise FormatUnsupported(
            f"{what} has format {found}; this release reads {first} to {own + 1}"
        )
    return found

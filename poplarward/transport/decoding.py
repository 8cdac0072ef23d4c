"""Decodes values that other processes send, with one kind of error."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["MAX_STATUS", "decode_digits", "decode_json"]

MAX_DIGITS = 18  # Fits into 64 bits.
MAX_STATUS = 599  # Of HTTP; see RFC 9110, section 15. h11 takes up to 999.


def decode_json(data: bytes | str) -> Any:
    """Return the value of a JSON document; raises `ValueError` for anything else."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("too many nested values") from error


def decode_digits(value: bytes | None) -> int | None:
    """Return the value of decimal digits, None for anything else.

    Examples
    --------
    >>> decode_digits(b" 12 "), decode_digits(b"-1"), decode_digits(b"9" * 5000)
    (12, None, None)
    """
    digits = b"" if value is None else value.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)

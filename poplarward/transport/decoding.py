"""Decodes values that other processes send, with one kind of error."""

from __future__ import annotations

import json
import re
from typing import Any

__all__ = ["MAX_STATUS", "decode_digits", "decode_json", "decode_json_partly"]

MAX_DIGITS = 18  # Fits into 64 bits.
MAX_DEPTH = 32  # Of the values that processes exchange; the parser takes hundreds.
MAX_NUMBER_LENGTH = 400  # Python converts up to 4,300 digits.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[][{}]|-?[0-9][0-9.eE+-]*')
MAX_STATUS = 599  # Of HTTP; see RFC 9110, section 15. h11 takes up to 999.


def decode_json(data: bytes | str) -> Any:
    """Return the value of a JSON document; raises `ValueError` for anything else."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("too many nested values") from error


def decode_json_partly(data: bytes | str) -> Any:
    """Return the value of a JSON document whose parts have several writers.

    If it can't be read whole, values that are nested too deeply are null, and so are
    numbers that are too long. Bytes that are no UTF-8 become unpaired surrogates.
    Raises `ValueError` if the remainder is no document either.

    Examples
    --------
    >>> decode_json_partly('{"a": ' + "[" * 9_000 + "]" * 9_000 + ', "b": 1}')["b"]
    1
    >>> decode_json_partly('[1, "9", ' + "9" * 5_000 + "]")
    [1, '9', None]
    """
    try:
        return decode_json(data)
    except ValueError:
        text = data if isinstance(data, str) else data.decode(errors="surrogateescape")
        return decode_json(_without_extremes(text))


def _without_extremes(text: str) -> str:
    """Return a JSON text with null in place of deeply nested values and long numbers.

    Nothing is recursive, so the depth of the text does not matter.
    """
    parts: list[str] = []
    depth = kept_to = 0
    for token in _TOKEN.finditer(text):
        first = token[0][0]
        if first in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (text[kept_to : token.start()], "null")
        elif first in "]}":
            depth -= 1
            if depth == MAX_DEPTH:
                kept_to = token.end()
        elif first != '"' and depth <= MAX_DEPTH and len(token[0]) > MAX_NUMBER_LENGTH:
            parts += (text[kept_to : token.start()], "null")
            kept_to = token.end()
    if depth <= MAX_DEPTH:
        parts.append(text[kept_to:])
    return "".join(parts)


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

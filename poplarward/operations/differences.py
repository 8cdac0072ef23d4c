"""Compares two specs, field by field."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

__all__ = ["Difference", "differences"]


class Difference(NamedTuple):
    """A field in which two specs differ; values as JSON, empty if absent."""

    field: str
    before: str
    after: str


def differences(before: Any, after: Any) -> list[Difference]:
    """Return the fields in which two specs differ, ordered by name.

    Examples
    --------
    >>> differences({"share": 1, "services": ["a"]}, {"share": 2, "services": ["a"]})
    [Difference(field='share', before='1', after='2')]
    """
    old, new = dict(_fields(before)), dict(_fields(after))
    return [
        Difference(field, old.get(field, ""), new.get(field, ""))
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field)
    ]


def _fields(value: Any, place: str = "") -> Iterator[tuple[str, str]]:
    match value:
        case dict():
            for name, inner in value.items():
                yield from _fields(inner, f"{place}.{name}" if place else name)
        case list():
            for index, inner in enumerate(value):
                yield from _fields(inner, f"{place}[{index}]")
        case None:
            return
        case _:
            yield place, json.dumps(value)

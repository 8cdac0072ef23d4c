"""Reads fields of decoded documents and collects findings about invalid ones."""

from __future__ import annotations

import reprlib
from collections.abc import Mapping
from typing import Any

from ..errors import Finding, FindingsError

__all__ = ["FieldReader", "is_integer"]

MAX_NUMBER = 2**63  # Larger ones overflow where they are calculated with.
_MISSING = object()


class FieldReader:
    """Reads typed fields of one table and records each finding with its place.

    Parameters
    ----------
    place : str
        Name of the table, for the findings.
    table : object
        The decoded table.
    findings : list of Finding, optional
        Shared by the readers of nested tables.

    Examples
    --------
    >>> reader = FieldReader("settings", {"port": "x"})
    >>> reader.integer("port")
    0
    >>> [str(finding) for finding in reader.findings]
    ["settings.port: found 'x', allowed: a whole number"]
    """

    def __init__(self, place: str, table: Any, findings: list[Finding] | None = None):
        self.findings: list[Finding] = [] if findings is None else findings
        self._place = place
        self._table: Mapping[str, Any] = {}
        if isinstance(table, Mapping):
            self._table = table
        else:
            self._add_finding_at(place, table, "a table")

    def text(self, name: str, default: Any = _MISSING) -> str:
        """Return a text."""
        return self._read(name, lambda v: isinstance(v, str), "a text", "", default)

    def integer(self, name: str, default: Any = _MISSING) -> int:
        """Return a whole number."""
        return self._read(name, is_integer, "a whole number", 0, default)

    def number(self, name: str, default: Any = _MISSING) -> float:
        """Return a number."""
        return self._read(name, _is_number, "a number", 0.0, default)

    def flag(self, name: str, default: Any = _MISSING) -> bool:
        """Return a Boolean."""
        return self._read(
            name, lambda v: isinstance(v, bool), "true or false", False, default
        )

    def list_of(self, name: str, default: Any = _MISSING) -> list[Any]:
        """Return a list."""
        return self._read(name, lambda v: isinstance(v, list), "a list", [], default)

    def texts(self, name: str) -> list[str]:
        """Return a list of texts."""
        values = self.list_of(name)
        for value in values:
            if not isinstance(value, str):
                self._add_finding_at(f"{self._place}.{name}", value, "texts")
        return [value for value in values if isinstance(value, str)]

    def table(self, name: str) -> FieldReader:
        """Return a reader of a nested table."""
        return FieldReader(
            f"{self._place}.{name}", self._table.get(name), self.findings
        )

    def is_table(self, name: str) -> bool:
        """Whether a field holds a table."""
        return isinstance(self._table.get(name), Mapping)

    def has(self, name: str) -> bool:
        """Whether a field is there."""
        return name in self._table

    def add_finding(self, name: str, found: Any, allowed: str) -> None:
        """Add a finding about a field."""
        self._add_finding_at(f"{self._place}.{name}", found, allowed)

    def raise_findings(self) -> None:
        """Raise `FindingsError` if there are findings."""
        if self.findings:
            raise FindingsError(self.findings)

    def _read(
        self, name: str, is_valid: Any, allowed: str, fallback: Any, default: Any
    ) -> Any:
        value = self._table.get(name, default)
        if value is default and default is not _MISSING:
            return default
        if value is _MISSING:
            self._add_finding_at(f"{self._place}.{name}", None, allowed)
            return fallback
        if not is_valid(value):
            self._add_finding_at(f"{self._place}.{name}", value, allowed)
            return fallback
        return value

    def _add_finding_at(self, place: str, found: Any, allowed: str) -> None:
        # repr fails for deeply nested values.
        shown = "nothing" if found is None else reprlib.repr(found)[:80]
        self.findings.append(Finding(place, shown, allowed))


def is_integer(value: Any) -> bool:
    """Whether a value is a whole number of at most 64 bits."""
    return _is_number(value) and isinstance(value, int)


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # False for NaN as well.
    return is_number and -MAX_NUMBER < value < MAX_NUMBER

"""Runs the test suite without the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_ids(path: Path) -> list[str]:
    """Return the test ids listed in a known-red file."""
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [entry.split("|")[0].strip() for entry in entries]


def main() -> int:
    """Run pytest, and print the tests that are deselected."""
    test_ids = known_red_ids(KNOWN_RED)
    for test_id in test_ids:
        print(f"known red, passed over: {test_id}")
    deselected = [f"--deselect={test_id}" for test_id in test_ids]
    return pytest.main([*deselected, *sys.argv[1:]])


if __name__ == "__main__":
    sys.exit(main())

"""Tests that leave resources open fail, and only these."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

LEAKING_TESTS = """
import socket

def test_leaves_a_socket():
    holder = {"socket": socket.socket()}
    holder["itself"] = holder

def test_allocates_enough_to_collect_garbage():
    assert [[] for _ in range(300_000)]
"""


def test_unclosed_resource_fails_only_its_own_test(tmp_path):
    path = tmp_path / "test_leaking.py"
    path.write_text(LEAKING_TESTS, encoding="utf-8")
    settings = ["-p", "no:cacheprovider", "-W", "error", "--rootdir", str(tmp_path)]
    command = [sys.executable, "-m", "pytest", "-rA", "-p", "tests.conftest"]
    run = subprocess.run(
        [*command, *settings, str(path)],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=False,
    )
    results = {line for line in run.stdout.splitlines() if "::" in line}
    assert any(
        line.startswith("ERROR") and "test_leaves_a_socket" in line for line in results
    )
    assert any(
        line.startswith("PASSED") and "test_allocates" in line for line in results
    )
    assert not any("FAILED" in line for line in results)

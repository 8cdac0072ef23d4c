"""Makes verdicts the same on every run.

Random choices come from one seed that can be varied, and what a test leaves unclosed
fails that test and not the one that runs when its garbage happens to be collected.
"""

from __future__ import annotations

import gc
import random
import sys
from collections.abc import Iterator

import pytest
import trio
from hypothesis import HealthCheck, settings

# How fast examples are drawn depends on what else the machine does, so it must not
# decide a verdict.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=50,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that varies the order in which tasks run."""
    parser.addoption("--schedule-seed", type=int, default=1)


@pytest.fixture(autouse=True)
def _seed_schedule(request: pytest.FixtureRequest) -> None:
    # trio shuffles the tasks that are ready; it has no public way to seed this, and
    # pytest-trio has already made the rest of its scheduling deterministic.
    seed = request.config.getoption("--schedule-seed")
    trio._core._run._r.seed(seed)
    random.seed(seed)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown(item: pytest.Item) -> Iterator[None]:
    """Fail a test that left something unclosed, once its fixtures have ended."""
    yield
    left: list[str] = []
    previous = sys.unraisablehook
    sys.unraisablehook = lambda found: left.append(repr(found.exc_value))
    try:
        gc.collect()
    finally:
        sys.unraisablehook = previous
    if left:
        pytest.fail("the test left behind: " + "; ".join(left), pytrace=False)

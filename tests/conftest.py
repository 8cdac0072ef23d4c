"""Makes test results reproducible.

Random choices use one seed, which can be varied. A test that leaves resources open
fails itself, not a later test during which its garbage happens to be collected.
"""

from __future__ import annotations

import gc
import random
import sys
from collections.abc import Iterator

import pytest
import trio
from hypothesis import HealthCheck, settings

# The speed of drawing examples depends on the load of the machine, so it must not
# affect test results.
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
    # trio shuffles ready tasks and has no public way to seed this; pytest-trio makes
    # the rest of its scheduling deterministic.
    seed = request.config.getoption("--schedule-seed")
    trio._core._run._r.seed(seed)
    random.seed(seed)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown(item: pytest.Item) -> Iterator[None]:
    """Fail a test that left resources open, after its fixtures are torn down."""
    yield
    unclosed: list[str] = []
    previous = sys.unraisablehook
    sys.unraisablehook = lambda found: unclosed.append(repr(found.exc_value))
    try:
        gc.collect()
    finally:
        sys.unraisablehook = previous
    if unclosed:
        pytest.fail("the test left behind: " + "; ".join(unclosed), pytrace=False)

"""Links in the documentation are valid, and every page is reachable."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = sorted(path for path in (ROOT / "docs").rglob("*.md"))
LINK = re.compile(r"\]\(([^)#:]+)\)")


def links_of(page):
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    return {(page.parent / target).resolve() for target in targets}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_link_targets_exist(page):
    assert [str(target) for target in links_of(page) if not target.exists()] == []


def test_every_page_is_reachable_from_the_index():
    reached = set()
    pending = [(ROOT / "docs" / "index.md").resolve()]
    while pending:
        page = pending.pop()
        if page not in reached and page.suffix == ".md":
            reached.add(page)
            pending += links_of(page)
    unreached = {page.resolve() for page in PAGES} - reached
    assert {page for page in unreached if page.parent.name != "changes"} == set()

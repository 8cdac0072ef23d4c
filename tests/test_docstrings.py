"""Runs the examples in the docstrings."""

from __future__ import annotations

import doctest
import importlib
import pkgutil

import pytest

import poplarward


def module_names() -> list[str]:
    found = pkgutil.walk_packages(poplarward.__path__, "poplarward.")
    return sorted(item.name for item in found if ".generated" not in item.name)


@pytest.mark.parametrize("name", module_names())
def test_examples(name):
    module = importlib.import_module(name)
    flags = doctest.ELLIPSIS | doctest.IGNORE_EXCEPTION_DETAIL
    assert doctest.testmod(module, optionflags=flags).failed == 0

"""Membership interface that the configuration sync uses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..membership.membership import Member

__all__ = ["MembersView"]


class MembersView(Protocol):
    """The processes of the deployment that are known to this process."""

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> Sequence[Member]:
        """Return the live processes, those of a role or data centre if given."""
        ...

    def members(
        self, role: str | None = None, data_centre: str | None = None
    ) -> Sequence[Member]:
        """Return all processes, including those that are not live."""
        ...

"""What the configuration needs to know of the other processes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..membership.membership import Member

__all__ = ["MembersView"]


class MembersView(Protocol):
    """The processes of the deployment, as this process knows them."""

    def live(
        self, role: str | None = None, data_centre: str | None = None
    ) -> Sequence[Member]:
        """Return the live processes, those of a role or data centre if given."""
        ...

    def members(
        self, role: str | None = None, data_centre: str | None = None
    ) -> Sequence[Member]:
        """Return all processes, also those that are not live."""
        ...

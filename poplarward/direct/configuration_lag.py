"""Tells whether other entry hosts have a newer configuration."""

from __future__ import annotations

from .clock import elapsed_ms, now_ms

__all__ = ["ConfigurationLag"]

USUAL_LAG_MS = 1_000.0  # Changes are read in series, up to 0.6 s after they were made.
LIST_INTERVAL_MS = 2_000.0  # For a store that does not have the newer version yet.
# A process reads the newest version at its start, unless the store is behind.
START_MS = 1_500.0
NEWS_TIMEOUT_MS = 1_000.0  # Hosts send their version each 250 ms.


class ConfigurationLag:
    """Compares a host's version of the configuration with those of the other hosts.

    A host has an older one while it reads a change, if it misses one, or if it has
    started while the store is back with an older copy.

    Examples
    --------
    >>> lag = ConfigurationLag()
    >>> lag.record(version=7, own_version=7)
    >>> lag.is_behind(own_version=7)
    False
    >>> lag.record(version=8, own_version=7)
    >>> lag.is_behind(own_version=7), lag.is_behind(own_version=8)
    (True, False)
    """

    def __init__(self) -> None:
        self._started_at_ms = now_ms()
        self._newest_version = 0
        self._heard_at_ms = float("-inf")
        self._behind_since_ms = float("-inf")
        self._listed_at_ms = float("-inf")

    def record(self, version: int, own_version: int) -> None:
        """Record the version that another host has now."""
        if version <= own_version:
            return
        if not self.is_behind(own_version):
            self._newest_version = 0
            self._behind_since_ms = now_ms()
        self._newest_version = max(self._newest_version, version)
        self._heard_at_ms = now_ms()

    def is_behind(self, own_version: int) -> bool:
        """Whether another host that is heard of has a newer version."""
        return (
            self._newest_version > own_version
            and elapsed_ms(self._heard_at_ms) < NEWS_TIMEOUT_MS
        )

    def has_started_behind(self, own_version: int) -> bool:
        """Whether it is so since the start, as the store has an older copy."""
        return (
            self.is_behind(own_version)
            and self._behind_since_ms - self._started_at_ms < START_MS
        )

    def should_list(self, own_version: int) -> bool:
        """Whether the newer version should have been read by now.

        True once in a while, as long as it is so.
        """
        is_due = (
            self.is_behind(own_version)
            and elapsed_ms(self._behind_since_ms) > USUAL_LAG_MS
            and elapsed_ms(self._listed_at_ms) > LIST_INTERVAL_MS
        )
        if is_due:
            self._listed_at_ms = now_ms()
        return is_due

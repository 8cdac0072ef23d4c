"""Outcome of a request, as far as it is known."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Whether a request was run by its upstream.

    ``NOT_RUN`` guarantees that the request did not run and never will, ``RAN`` that
    it ran; with ``UNKNOWN`` it may have run.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"

"""Limits of workspaces, split over the entry hosts by demand."""

from .limiter import WorkspaceLimits

__all__ = ["WorkspaceLimits"]

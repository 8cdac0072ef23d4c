"""Rate limits of workspaces, shared among the entry hosts by demand."""

from .limiter import WorkspaceLimits

__all__ = ["WorkspaceLimits"]

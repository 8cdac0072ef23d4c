"""Rate limits of workspaces, shared among the entry hosts by demand."""

import lazy_loader

# Entry hosts without agents need the buckets alone, not the messages of the others.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__, submod_attrs={"limiter": ["WorkspaceLimits"]}
)

"""Forwards callers' requests to upstreams and relays their responses.

On an entry host the `Gateway` receives callers' requests, `Admission` limits them, the
`Router` chooses agents, and the `AttemptLoop` runs attempts through the `Relay`. On an
upstream host the `Executor` runs attempts at the upstream.
"""

import lazy_loader

# Modules load on first use, so a program loads only those that it needs.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "addresses": ["choose_addresses"],
        "admission": ["Admission"],
        "attempts": ["AttemptLoop"],
        "configuration_index": ["ConfigurationIndex"],
        "executor": ["Executor"],
        "gateway": ["Gateway"],
        "limits": ["WorkspaceLimits"],
        "pools": ["UpstreamPools"],
        "relay": ["Relay"],
        "routing": [
            "AgentConnections",
            "AgentTable",
            "AgentView",
            "PrefillSchedule",
            "Router",
        ],
        "upstream": ["UpstreamSettings"],
    },
)

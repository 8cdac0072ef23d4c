"""Carries callers' requests to upstreams and their answers back.

On an entry host the `Gateway` takes callers' requests, `Admission` limits and queues
them, the `Router` chooses agents, and the `AttemptLoop` runs attempts over the
`Relay`. On an upstream host the `Executor` runs attempts at the upstream.
"""

import lazy_loader

# Programs start with the modules that they use, not with all of the package.
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

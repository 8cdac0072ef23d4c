"""Durable state, stored in the platform's object API.

`ObjectStore` is the interface of the object API and `HttpObjectStore` its client.
`Writer` makes conditional writes and determines the outcome of each, and
`RetryBudget` bounds the retries of a process. `resources` defines the kinds of
resources that operators declare, and `ConfigurationView` holds the resources that a
process has applied.
"""

import lazy_loader

# Submodules are imported on first use, so that programs load only what they need.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "budget": ["Backoff", "RetryBudget"],
        "formats": ["FORMAT_KEY", "check_format", "format_of"],
        "http_store": ["HttpObjectStore"],
        "resources": [
            "CONFIGURATION_FORMAT",
            "CallSpec",
            "DRAIN_KIND",
            "DeploymentSpec",
            "FREEZE_KIND",
            "KINDS",
            "ModelGroupSpec",
            "PlainServiceSpec",
            "Resource",
            "STORE_KIND",
            "ServiceSpec",
            "WorkspaceSpec",
            "check_spec",
            "fields_of_later_releases",
            "object_name",
            "resource_of",
        ],
        "store": ["ObjectStore", "StoredObject", "WatchEvent"],
        "view": ["Changes", "ConfigurationView", "drained_hosts"],
        "writer": ["Writer"],
    },
)

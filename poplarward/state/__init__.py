"""What must last, kept in the platform's object API.

`ObjectStore` is the interface of the object API and `HttpObjectStore` its client.
`Writer` makes conditional writes whose effect is always known, and `RetryBudget`
bounds the retries of a process.
`resources` holds the kinds that operators declare, `ConfigurationView` the copy of
them that a process has in force.
"""

from .budget import Backoff, RetryBudget
from .resources import (
    DRAIN_KIND,
    FREEZE_KIND,
    KINDS,
    STORE_KIND,
    CallSpec,
    DeploymentSpec,
    ModelGroupSpec,
    PlainServiceSpec,
    Resource,
    ServiceSpec,
    WorkspaceSpec,
    check_spec,
    object_name,
    resource_of,
)
from .store import (
    HttpObjectStore,
    ObjectStore,
    StoredObject,
    WatchEvent,
)
from .view import Changes, ConfigurationView, drained_hosts
from .writer import Writer

__all__ = [
    "DRAIN_KIND",
    "FREEZE_KIND",
    "Backoff",
    "KINDS",
    "STORE_KIND",
    "CallSpec",
    "Changes",
    "ConfigurationView",
    "DeploymentSpec",
    "HttpObjectStore",
    "ModelGroupSpec",
    "ObjectStore",
    "PlainServiceSpec",
    "Resource",
    "RetryBudget",
    "ServiceSpec",
    "StoredObject",
    "WatchEvent",
    "WorkspaceSpec",
    "Writer",
    "check_spec",
    "drained_hosts",
    "object_name",
    "resource_of",
]

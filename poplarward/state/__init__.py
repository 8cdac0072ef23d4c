"""What must last, kept in the platform's object API.

`ObjectStore` is the interface of the object API and `HttpObjectStore` its client.
`Writer` makes conditional writes whose effect is always known, and `RetryBudget`
bounds the retries of a process.
`resources` holds the kinds that operators declare, `ConfigurationView` the copy of
them that a process has in force.
"""

from .budget import Backoff, RetryBudget
from .formats import FORMAT_KEY, check_format, format_of
from .resources import (
    CONFIGURATION_FORMAT,
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
    fields_of_later_releases,
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
    "CONFIGURATION_FORMAT",
    "DRAIN_KIND",
    "FORMAT_KEY",
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
    "check_format",
    "check_spec",
    "drained_hosts",
    "fields_of_later_releases",
    "format_of",
    "object_name",
    "resource_of",
]

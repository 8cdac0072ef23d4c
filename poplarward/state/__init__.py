"""What must last, kept in the platform's object API.

`ObjectStore` is the interface of the object API and `HttpObjectStore` its client.
`resources` holds the kinds that operators declare, `ConfigurationView` the copy of
them that a process has in force.
"""

from .resources import (
    KINDS,
    CallSpec,
    ConfigurationView,
    DeploymentSpec,
    ModelGroupSpec,
    PlainServiceSpec,
    Resource,
    ServiceSpec,
    WorkspaceSpec,
    check_spec,
)
from .store import (
    HttpObjectStore,
    ObjectStore,
    StoredObject,
    WatchEvent,
)

__all__ = [
    "KINDS",
    "CallSpec",
    "ConfigurationView",
    "DeploymentSpec",
    "HttpObjectStore",
    "ModelGroupSpec",
    "ObjectStore",
    "PlainServiceSpec",
    "Resource",
    "ServiceSpec",
    "StoredObject",
    "WatchEvent",
    "WorkspaceSpec",
    "check_spec",
]

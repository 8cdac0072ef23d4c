"""Serves the operators' remote procedure calls, from the published schema.

`OperationsService` implements the calls, `operations_application` serves them as
Connect, gRPC and gRPC-Web to operators who show a valid credential.
"""

from .application import operations_application
from .service import OperationsService
from .status import DeploymentStatus, GroupState, RebalanceControl

__all__ = [
    "DeploymentStatus",
    "GroupState",
    "OperationsService",
    "RebalanceControl",
    "operations_application",
]

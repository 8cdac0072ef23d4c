"""Serves the operators' remote procedure calls, from the published schema.

`OperationsService` implements the calls, `operations_application` serves them as
Connect, gRPC and gRPC-Web to operators who show a valid credential.
"""

from .service import OperationsService, operations_application

__all__ = ["OperationsService", "operations_application"]

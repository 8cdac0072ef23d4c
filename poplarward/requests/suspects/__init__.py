"""Detection and quarantine of requests that crash upstreams.

`SuspectTable` holds the verdicts on requests, and `SuspectGossip` replicates them
between processes. On an agent, `CrashDetector` distinguishes a crash from a lost
connection, and `SuspectSlot` lets suspects run one at a time.
"""

from .crash_detector import CrashDetector
from .gossip import SuspectGossip
from .slot import SlotHold, SuspectSlot
from .table import SuspectTable, crash_id, request_digest

__all__ = [
    "CrashDetector",
    "SlotHold",
    "SuspectGossip",
    "SuspectSlot",
    "SuspectTable",
    "crash_id",
    "request_digest",
]

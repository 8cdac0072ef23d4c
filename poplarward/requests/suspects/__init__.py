"""Finds requests that crash upstreams and keeps them from doing it again.

`SuspectTable` holds the verdicts on requests, and `SuspectGossip` carries them between
processes. On an agent `CrashDetector` tells a crash from a broken connection, and
`SuspectSlot` lets suspects run one at a time.
"""

from .crash_detector import CrashDetector
from .gossip import SuspectGossip
from .slot import SlotHold, SuspectSlot
from .table import SuspectTable, request_digest

__all__ = [
    "CrashDetector",
    "SlotHold",
    "SuspectGossip",
    "SuspectSlot",
    "SuspectTable",
    "request_digest",
]

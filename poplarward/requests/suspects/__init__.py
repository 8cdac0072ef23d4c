"""Finds requests that crash upstreams and keeps them from doing it again.

`SuspectTable` holds the verdicts on requests, and `SuspectSpread` carries them between
processes. On an agent `CrashWatch` tells a crash from a broken connection, and
`SuspectLane` lets suspects run one at a time.
"""

from .lane import SuspectLane, Turn
from .spread import SuspectSpread
from .table import SuspectTable, request_digest
from .watch import CrashWatch

__all__ = [
    "CrashWatch",
    "SuspectLane",
    "SuspectSpread",
    "SuspectTable",
    "Turn",
    "request_digest",
]

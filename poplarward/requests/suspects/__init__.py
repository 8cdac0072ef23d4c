"""Detection and quarantine of requests that crash upstreams.

`SuspectTable` holds the verdicts on requests and parts of prompts, and `SuspectGossip`
replicates them between processes. On an agent, `CrashDetector` distinguishes a crash
from a lost connection, and `SuspectSlot` lets suspects run one at a time.
"""

import lazy_loader

# Entry hosts without agents need the table alone, not the messages of the others.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "crash_detector": ["CrashDetector"],
        "gossip": ["SuspectGossip"],
        "slot": ["SlotHold", "SuspectSlot"],
        "digests": ["crash_id", "part_digest", "request_digest"],
        "table": ["SuspectTable"],
    },
)

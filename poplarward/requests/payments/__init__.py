"""Runs calls that may not be repeated at most once for each idempotency key.

`Payments` stands before the upstream on an agent: it records a key in the journal of
the key's partition before the call is forwarded, and answers a key seen before from
the record. `rank_owners` tells an entry host which agent a key goes to.
"""

from .journal import Journal, Record, RecordState
from .keys import IssuedKey, partition_of, rank_owners, read_issued_key
from .payments import Payments
from .verdicts import Declined, Recorded, Run, Verdict

__all__ = [
    "Declined",
    "IssuedKey",
    "Journal",
    "Payments",
    "Record",
    "RecordState",
    "Recorded",
    "Run",
    "Verdict",
    "partition_of",
    "rank_owners",
    "read_issued_key",
]

"""Runs calls that may not be repeated at most once for each idempotency key.

`IdempotencyGuard` stands before the upstream on an agent: it records a key in the
journal of
the key's partition before the call is forwarded, and answers a key seen before from
the record. `rank_owners` tells an entry host which agent a key goes to.
"""

from .decisions import CallDecision, Forward, Reject, Replay
from .guard import IdempotencyGuard
from .journal import Journal, Record, RecordState
from .keys import IssuedKey, parse_issued_key, partition_of, rank_owners

__all__ = [
    "CallDecision",
    "Forward",
    "IdempotencyGuard",
    "IssuedKey",
    "Journal",
    "Record",
    "RecordState",
    "Reject",
    "Replay",
    "parse_issued_key",
    "partition_of",
    "rank_owners",
]

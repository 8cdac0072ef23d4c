"""At-most-once execution of calls by idempotency key.

`IdempotencyGuard` runs on an agent in front of its upstream. It records a key in the
journal of the key's partition before the call is forwarded, and answers a repeated key
from its record. `rank_owners` tells an entry host which agents a key is routed to.
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

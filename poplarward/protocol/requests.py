"""Messages between an entry host and an agent about callers' requests.

An attempt is named by its `RequestId`: a request that is retried gets a new one, so
that late messages of an earlier attempt can be told apart and dropped.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .codec import message
from .identity import RequestId
from .outcomes import Outcome

__all__ = [
    "AttemptBlocked",
    "BlockAttempt",
    "Cancel",
    "End",
    "Head",
    "Outcome",
    "PieceBatch",
    "Pieces",
    "PriorityClass",
    "Refusal",
    "Submit",
]


class PriorityClass(StrEnum):
    """How urgent a request is; ``URGENT`` goes before ``DRAFTING``."""

    URGENT = "urgent"
    DRAFTING = "drafting"


class Refusal(StrEnum):
    """Why an attempt ended without an upstream's answer."""

    NONE = ""
    CRASHES_UPSTREAMS = "crashes-upstreams"
    DEADLINE = "deadline"
    KEY_CONFLICT = "key-conflict"
    KEY_FULL = "key-full"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_UNKNOWN = "key-unknown"
    LEAVING = "leaving"
    MOVED = "moved"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store-away"


@message(10)
class Submit:
    """Asks an agent to run one attempt of a request.

    Attributes
    ----------
    deadline_ms : int
        Time left for the whole answer when the message was sent.
    repeatable : bool
        Whether running the request twice does no harm.
    idempotency_key : str
        Key that names a non-repeatable call; empty for others.
    n_pieces_received : int
        Pieces the caller has already; the answer resumes after them.
    share : float
        The workspace's share of the upstream within its class.
    n_tokens : int
        Tokens that the request is expected to take.
    n_prompt_tokens : int
        Those of them that are its prompt; 0 for plain services.
    is_suspect : bool
        Whether it was on an upstream that crashed.
    pool : str
        Pool of the upstreams that may run it.
    """

    request_id: RequestId
    workspace: str
    priority_class: PriorityClass
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    repeatable: bool
    idempotency_key: str = ""
    n_pieces_received: int = 0
    share: float = 1.0
    n_tokens: int = 1
    n_prompt_tokens: int = 0
    is_suspect: bool = False
    pool: str = ""


@message(11)
class Head:
    """Status and headers of the upstream's answer."""

    request_id: RequestId
    status: int
    headers: list[tuple[str, str]]


class PieceBatch(NamedTuple):
    """Consecutive pieces of one answer; pieces are numbered from 0."""

    sequence: int
    first_piece: int
    pieces: list[bytes]


@message(12)
class Pieces:
    """Pieces of all answers to one entry host since the last flush.

    The entry host's `start_id` guards against pieces meant for an earlier start.
    """

    start_id: int
    batches: list[PieceBatch]


@message(13)
class End:
    """Last message of an attempt.

    Attributes
    ----------
    n_pieces : int
        Pieces of the whole answer, those received before a resume included; the
        answer is whole only if all have arrived.
    error : str
        Empty if the upstream's answer ended in order.
    retry_after_ms : int
        When it is worth trying again; 0 if the agent has no opinion.
    refusal : Refusal
        Why there is no answer, where another process acts on it.
    """

    request_id: RequestId
    outcome: Outcome
    n_pieces: int
    error: str = ""
    retry_after_ms: int = 0
    refusal: Refusal = Refusal.NONE


@message(14)
class Cancel:
    """The caller has left; the upstream may stop."""

    request_id: RequestId


@message(15)
class BlockAttempt:
    """Asks what became of an attempt, and that it never start if it has not.

    Attributes
    ----------
    wait_ms : int
        How long the agent waits for a running call that may not be repeated to end.
    """

    request_id: RequestId
    wait_ms: int = 0


@message(16)
class AttemptBlocked:
    """Reply to `BlockAttempt`: ``NOT_RUN`` promises that the attempt never starts."""

    request_id: RequestId
    outcome: Outcome

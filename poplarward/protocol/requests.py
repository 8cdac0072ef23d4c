"""Messages between an entry host and an agent about callers' requests.

An attempt is identified by its `RequestId`. A retried request gets a new one, so that
late messages of an earlier attempt can be recognised and dropped.
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
    """Priority of a request; ``URGENT`` takes precedence over ``DRAFTING``."""

    URGENT = "urgent"
    DRAFTING = "drafting"


class Refusal(StrEnum):
    """Why an attempt ended without a response from an upstream."""

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
        Time left for the whole response when the message was sent.
    repeatable : bool
        Whether the request can safely be run twice.
    idempotency_key : str
        Key that identifies a non-repeatable call; empty for others.
    n_pieces_received : int
        Pieces that the caller has received; the response resumes after them.
    share : float
        The workspace's share of the upstream within its priority class.
    n_tokens : int
        Expected number of tokens of the request.
    n_prompt_tokens : int
        Tokens of the prompt, included in ``n_tokens``; 0 for plain services.
    is_suspect : bool
        Whether the request was on an upstream that crashed.
    pool : str
        Pool of upstreams that may run the request.
    prompt_prefix : str
        Digest of the beginning of the prompt, which other requests may share; empty for
        short prompts and plain services.
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
    prompt_prefix: str = ""


@message(11)
class Head:
    """Status and headers of the upstream's response."""

    request_id: RequestId
    status: int
    headers: list[tuple[str, str]]


class PieceBatch(NamedTuple):
    """Consecutive pieces of one response; pieces are numbered from 0."""

    sequence: int
    first_piece: int
    pieces: list[bytes]


@message(12)
class Pieces:
    """Pieces of all responses to one entry host since the last flush.

    Pieces with the `start_id` of an earlier start of the entry host are dropped.
    """

    start_id: int
    batches: list[PieceBatch]


@message(13)
class End:
    """Last message of an attempt.

    Attributes
    ----------
    n_pieces : int
        Pieces of the whole response, including those received before a resume; the
        response is complete only if all have arrived.
    error : str
        Empty if the upstream's response ended normally.
    retry_after_ms : int
        Suggested delay before a retry; 0 if the agent suggests none.
    refusal : Refusal
        Why there is no response, if other processes act on the reason.
    """

    request_id: RequestId
    outcome: Outcome
    n_pieces: int
    error: str = ""
    retry_after_ms: int = 0
    refusal: Refusal = Refusal.NONE


@message(14)
class Cancel:
    """The caller has disconnected; the upstream may stop."""

    request_id: RequestId


@message(15)
class BlockAttempt:
    """Asks for an attempt's outcome and keeps it from starting if it has not started.

    Attributes
    ----------
    wait_ms : int
        How long the agent waits for a running non-repeatable call to end.
    """

    request_id: RequestId
    wait_ms: int = 0


@message(16)
class AttemptBlocked:
    """Reply to `BlockAttempt`: ``NOT_RUN`` guarantees that the attempt never starts."""

    request_id: RequestId
    outcome: Outcome

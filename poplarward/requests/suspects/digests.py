"""Numbers that identify requests, parts of prompts and crashes at all processes."""

from __future__ import annotations

import hashlib

__all__ = ["crash_id", "part_digest", "request_digest"]

DIGEST_BYTES = 8
CRASH_ID_BYTES = 4


def request_digest(
    pool: str, workspace: str, method: str, path: str, body: bytes
) -> int:
    """Return a number that identifies a request at all processes and on each attempt.

    The digest is cryptographic, so that a caller can't craft a request that collides
    with one of another workspace.

    Examples
    --------
    >>> first = request_digest("drafts", "ateliers", "POST", "/v1/completions", b"{}")
    >>> other = request_digest("drafts", "owners", "POST", "/v1/completions", b"{}")
    >>> first == other
    False
    """
    return _digest((pool, workspace, method, path), body)


def part_digest(workspace: str, part_id: str) -> int:
    """Return a number that identifies a part of the prompts of one workspace.

    Another workspace's part with the same id has another digest, so that no caller can
    have it refused.

    Examples
    --------
    >>> part_digest("ateliers", "5c1e") == part_digest("owners", "5c1e")
    False
    """
    return _digest((workspace, part_id), b"")


def crash_id(upstream_id: str, started_at_ms: int) -> int:
    """Return a number that identifies an upstream's crash at all hosts.

    An upstream crashes once in each of its starts.
    """
    name = f"{upstream_id}/{started_at_ms}".encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(name, digest_size=CRASH_ID_BYTES).digest())


def _digest(names: tuple[str, ...], body: bytes) -> int:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in names:
        encoded = name.encode(errors="surrogatepass")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(body)
    return int.from_bytes(digest.digest())

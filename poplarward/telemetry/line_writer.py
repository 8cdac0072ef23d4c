"""Writes log lines without blocking, and limits their rate."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

__all__ = ["LineWriter"]

LINES_PER_S = 150.0  # Several times what a host's share of the requests needs.
MAX_BURST_LINES = 600.0  # For a failure that affects all requests at once.
MAX_PENDING_BYTES = 262_144  # Buffered while the reader of the output is slow.


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Lines above the rate limit are dropped, and so are lines while the buffer is full
    because the output is not read. The next line written is followed by their number.

    Examples
    --------
    >>> import os
    >>> reader, writer = os.pipe()
    >>> lines = LineWriter(writer, lines_per_s=0.0, max_burst_lines=1.0)
    >>> lines.msg("first"), lines.msg("second")
    (None, None)
    >>> os.read(reader, 100), lines.n_dropped
    (b'first\\n', 1)
    >>> os.close(reader), os.close(writer)
    (None, None)
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        max_burst_lines: float = MAX_BURST_LINES,
        read_time_s: Callable[[], float] = time.monotonic,
    ):
        self.n_dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._max_burst = max_burst_lines
        self._read_time_s = read_time_s
        self._n_available = max_burst_lines
        self._refilled_at_s = read_time_s()
        self._pending = b""
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write a line, or drop it."""
        if not self._take_token() or len(self._pending) > MAX_PENDING_BYTES:
            self.n_dropped += 1
            return
        if self.n_dropped:
            message = f"{message}\nlevel=warning event=log.left_out n={self.n_dropped}"
            self.n_dropped = 0
        self._pending += message.encode(errors="replace") + b"\n"
        self._flush()

    log = debug = info = warning = warn = error = critical = exception = msg

    def __call__(self, *_: object) -> LineWriter:
        """Return itself, as it also serves as structlog's logger factory."""
        return self

    def _take_token(self) -> bool:
        now_s = self._read_time_s()
        gained = (now_s - self._refilled_at_s) * self._lines_per_s
        self._refilled_at_s = now_s
        self._n_available = min(self._max_burst, self._n_available + gained)
        if self._n_available < 1:
            return False
        self._n_available -= 1
        return True

    def _flush(self) -> None:
        try:
            n_written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The output is closed, and there is no other place for the lines.
            self._pending = b""
            return
        self._pending = self._pending[n_written:]

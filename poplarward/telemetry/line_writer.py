"""Writes log lines without ever waiting, and bounds how many there are."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

__all__ = ["LineWriter"]

LINES_PER_S = 150.0  # Some times what a host's share of the requests needs.
MAX_BURST_LINES = 600.0  # The lines of a fault that strikes everything at once.
MAX_PENDING_BYTES = 262_144  # Kept while the reader of the output is behind.


class LineWriter:
    """Writes lines to a file descriptor that must not block.

    Lines beyond the rate, and lines that find the buffer full because nobody reads
    the output, are left out; the next line that is written says how many.

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
        self._allowance = max_burst_lines
        self._counted_at_s = read_time_s()
        self._pending = b""
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write a line, or leave it out."""
        if not self._take() or len(self._pending) > MAX_PENDING_BYTES:
            self.n_dropped += 1
            return
        if self.n_dropped:
            message = f"{message}\nlevel=warning event=log.left_out n={self.n_dropped}"
            self.n_dropped = 0
        self._pending += message.encode(errors="replace") + b"\n"
        self._flush()

    log = debug = info = warning = warn = error = critical = exception = msg

    def __call__(self, *_: object) -> LineWriter:
        """Return itself: it serves structlog as its factory of loggers, too."""
        return self

    def _take(self) -> bool:
        now_s = self._read_time_s()
        gained = (now_s - self._counted_at_s) * self._lines_per_s
        self._counted_at_s = now_s
        self._allowance = min(self._max_burst, self._allowance + gained)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush(self) -> None:
        try:
            n_written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the output any more; the lines can go nowhere else.
            self._pending = b""
            return
        self._pending = self._pending[n_written:]

"""Crowds of callers that keep to no limit, and the memory of a process."""

from __future__ import annotations

import trio

SENDING_S = 8.0
CHUNK_BYTES = 65_536


def chunk(n_bytes):
    return b"%x\r\n%s\r\n" % (n_bytes, b"x" * n_bytes)


async def stop_short_of(head, n_bytes, stream):
    """Send a body in large chunks, one byte short of a length."""
    n_chunks, n_rest = divmod(n_bytes - 1, CHUNK_BYTES)
    await stream.send_all(head + n_chunks * chunk(CHUNK_BYTES) + chunk(n_rest))


async def stop_short_after_small_chunks(head, stream):
    """Send 30,000 chunks of two bytes and no end."""
    await stream.send_all(head)
    for _ in range(30):
        await stream.send_all(1_000 * chunk(2))


class Crowd:
    """Callers that send at once, read nothing, and stay connected."""

    def __init__(self, port, n_callers, send, host="127.0.0.1"):
        self.n_sending = n_callers
        self._n_callers = n_callers
        self._address = host, port
        self._send = send

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            for _ in range(self._n_callers):
                nursery.start_soon(self._call)
            task_status.started()

    async def _call(self):
        stream = await trio.open_tcp_stream(*self._address)
        async with stream:
            try:
                with trio.move_on_after(SENDING_S):
                    await self._send(stream)
            except trio.BrokenResourceError:
                return
            finally:
                self.n_sending -= 1
            await trio.sleep_forever()


def peak_memory_mb(pid):
    """Return the most memory that a process has had in use."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        fields = dict(line.split(":", 1) for line in status)
    return int(fields["VmHWM"].split()[0]) / 1024

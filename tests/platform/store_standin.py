"""A minimal stand-in for the platform's metadata store, as documented."""

from __future__ import annotations

import json
from urllib.parse import parse_qs, urlsplit

import trio

from poplarward.transport.http1_exchange import CallerLimits
from poplarward.transport.http1_server import Http1Server


class StoreStandin:
    """Objects by kind and name, with revisions, watches and faults.

    Attributes
    ----------
    mode : str
        "up", "busy" (responds 503), "silent" (no response), or "lost" (writes take
        effect but get no response).
    n_lost_changes : int
        Number of next responses to watches, with changes, that are lost.
    watched_at : dict of float
        When the last watch of each kind began, in seconds.
    """

    def __init__(self):
        self.mode = "up"
        self.revision = 1
        self.oldest_revision = 0
        self.objects = {}
        self.history = []
        self.n_calls = 0
        self.n_lost_changes = 0
        self.watched_at = {}
        self.changed = trio.Event()
        self.server = Http1Server(self.handle, CallerLimits, 50)
        self.port = 0
        self._nursery = None
        self._scope = trio.CancelScope()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.start()
            task_status.started()
            await trio.sleep_forever()

    async def start(self):
        """Listen, after a stop at the same port."""
        self._scope = trio.CancelScope()
        self.port = await self._nursery.start(self._listen)

    async def _listen(self, task_status):
        with self._scope:
            await self.server.serve("127.0.0.1", self.port, task_status=task_status)

    async def stop(self):
        """Close all connections and stop listening, as a process that ends."""
        self._scope.cancel()
        while self.server.n_open:
            await trio.sleep(0.001)

    def copy(self):
        """Return the objects and the revision, to be restored."""
        return self.revision, dict(self.objects)

    def restore(self, copy):
        """Go back to a copy; later revisions are given out again."""
        self.revision, objects = copy
        self.objects = dict(objects)
        self.forget_history()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def put(self, kind, name, spec, *, deleted=False):
        """Write an object, as the operator or an upstream does."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        event = {"object": item, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self):
        """Drop all changes so far, without waking the calls that wait for changes."""
        self.oldest_revision = self.revision
        self.history.clear()

    async def handle(self, exchange):
        self.n_calls += 1
        if self.mode == "silent":
            await trio.sleep_forever()
        if self.mode == "busy":
            await exchange.respond(503, [], b"")
            return
        url = urlsplit(exchange.head.target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        _, kind, *rest = url.path.strip("/").split("/")
        if exchange.head.method == "GET" and "watch" in query:
            status, document = await self._watch(kind, query)
            if self.n_lost_changes and document.get("events"):
                self.n_lost_changes -= 1
                await trio.sleep_forever()
        elif exchange.head.method == "GET":
            status, document = self._list(kind, query.get("after", ""))
        else:
            status, document = self._write(exchange, kind, rest)
            if self.mode == "lost":
                await trio.sleep_forever()
        headers = [(b"Content-Type", b"application/json")]
        await exchange.respond(status, headers, json.dumps(document).encode())

    def _list(self, kind, after, page=2):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:page]]
        return 200, {
            "items": items,
            "hasMore": len(names) > page,
            "storeRevision": self.revision,
        }

    async def _watch(self, kind, query):
        after = int(query["watch"])
        self.watched_at[kind] = trio.current_time()
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while True:
                if not self.oldest_revision <= after <= self.revision:
                    return 410, {}
                events = [e for r, k, e in self.history if r > after and k == kind]
                if events:
                    return 200, {"events": events, "storeRevision": self.revision}
                await self.changed.wait()
        return 200, {"events": [], "storeRevision": self.revision}

    def _write(self, exchange, kind, rest):
        document = json.loads(exchange.body)
        name = document["metadata"]["name"]
        exists = (kind, name) in self.objects
        if exchange.head.method == "POST" and exists:
            return 409, self.objects[kind, name]
        if exchange.head.method == "PUT" and not exists:
            return 404, {}
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]

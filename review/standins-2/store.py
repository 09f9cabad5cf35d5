"""Stand-in of the platform's metadata store: tables of rows, transactions, ranges and feeds, as PROTOCOL.md tells them."""
import asyncio
import time
from urllib.parse import parse_qs, urlsplit

from wire import HttpServer

TX_SECONDS = 0.004  # `tx-ms`; a transaction over several parts takes twice as long.
MAX_ROWS = 500
MAX_ENTRIES = 100


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (ver, value as base64)
        self.log = []  # (ver, (table, part, key)), oldest first; kept in full
        self.version = 0
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.on_write = None  # Called with (key, value) for each row written; value None for a removal.

    async def start(self):
        await self.http.start()
        return self

    def get(self, table, part, key):
        row = self.rows.get((table, part, key))
        return row[1] if row else None

    def put(self, writes, removals=()):
        """Applies changes at once. Keys are (table, part, key)."""
        self.version += 1
        for key, value in writes:
            self.rows[key] = (self.version, value)
            self.log.append((self.version, key))
        for key in removals:
            if self.rows.pop(key, None):
                self.log.append((self.version, key))

    async def write(self, writes, removals=()):
        """Writes as the operator or a worker does."""
        self.put(writes, removals)
        async with self.changed:
            self.changed.notify_all()

    def row_document(self, key):
        found = self.rows.get(key)
        document = {"table": key[0], "part": key[1], "key": key[2]}
        if found:
            document.update(value=found[1], ver=found[0])
        return document

    def stamp(self, document):
        document["ver"] = self.version
        document["now-ms"] = int(time.monotonic() * 1000)
        return document

    async def handle(self, method, target, headers, document):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/rows-tx":
            return await self.transact(document)
        if method == "GET" and url.path == "/rows-get":
            return await self.read(query)
        if method == "GET" and url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, document):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        conditions = document.get("expected-rev", [])
        writes = document.get("writes", [])
        removals = document.get("remove", [])
        entries = [key_of(entry) for entry in conditions + writes + removals]
        parts = {key[1] for key in entries}
        if len(entries) > MAX_ENTRIES or (len(parts) > 1 and not document.get("across")):
            return 400, {}
        if any(key[0] in ("op", "servers") for key in (key_of(entry) for entry in writes + removals)):
            return 403, {}
        await asyncio.sleep(TX_SECONDS * (2 if len(parts) > 1 else 1))
        for entry in conditions:
            found = self.rows.get(key_of(entry))
            if (found[0] if found else 0) != entry["ver"]:
                return 412, self.stamp({"rows": [self.row_document(key_of(one)) for one in conditions if key_of(one) in self.rows]})
        self.put([(key_of(entry), entry["value"]) for entry in writes], [key_of(entry) for entry in removals])
        version = self.version
        async with self.changed:
            self.changed.notify_all()
        return 200, {"ver": version, "now-ms": int(time.monotonic() * 1000)}

    async def read(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        keys = sorted(key for key in self.rows
                      if key[0] == table and key[1] == part and key[2] >= first and (last is None or key[2] < last))
        await asyncio.sleep(0.001)
        answer = {"rows": [self.row_document(key) for key in keys[:limit] if key in self.rows], "has-more": len(keys) > limit}
        return 200, self.stamp(answer)

    async def feed(self, query):
        table, after = query["table"], int(query.get("after", 0))
        deadline = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000

        def changes():
            latest = {}
            for version, key in reversed(self.log):
                if version <= after:
                    break
                if key[0] == table:
                    latest.setdefault(key, version)
            return sorted((version, key) for key, version in latest.items())

        found = changes()
        while not found:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
            found = changes()
        rows = []
        for version, key in found:
            row = self.row_document(key)
            if key not in self.rows:
                row.update(removed=True, ver=version)
            rows.append(row)
        return 200, self.stamp({"rows": rows})

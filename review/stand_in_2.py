"""Small stand-ins of the platform: its store, and one runner a process.

    stand_in_2.py store PORT
    stand_in_2.py runner ID PORT STORE_PORT ZONE RACK CORES LOG

They follow PROTOCOL.md ("The platform's metadata store", "Running tasks", "Service discovery"). A runner writes a line
to LOG for each order that it gets and each run that ends, before it answers, so that nothing is lost when it is killed.
A task's spec is a JSON text: {"ms": how long it works; 0 for until it is stopped}.
"""
import asyncio
import base64
import json
import os
import sys
import time
import urllib.parse

HOST = "127.0.0.1"
MAX_HOLD_MS = 10_000
STOP_MS = 50
HEARTBEAT_S = 1.5
FEED_WAIT_STEP_S = 0.02


def response(status, body):
    text = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text


async def serve(port, handle, outages=None):
    """Serves HTTP/1.1 with keep-alive. `handle(method, path, query, headers, body)` returns (status, body) or None for
    no answer at all. While it is down, for the seconds that it takes from `outages`, the port refuses connections."""
    writers = set()

    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                line = (await reader.readline()).decode("latin-1").split()
                if len(line) < 2:
                    return
                headers = {}
                while (row := (await reader.readline()).decode("latin-1").strip()):
                    name, _, value = row.partition(":")
                    headers[name.strip().lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length", "0")))
                uri = urllib.parse.urlsplit(line[1])
                query = dict(urllib.parse.parse_qsl(uri.query, keep_blank_values=True))
                answer = await handle(line[0], uri.path, query, headers, json.loads(raw) if raw else {})
                if answer is not None:
                    writer.write(response(*answer))
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()
    while True:
        server = await asyncio.start_server(on_connection, HOST, port, backlog=256, limit=1 << 24)
        if outages is None:
            await server.serve_forever()
        down_s = await outages.get()
        server.close()
        for writer in list(writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)


class Store:
    """Rows with versions from a single counter, atomic transactions, and a feed of all changes."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.begun = time.monotonic()
        self.answer_s = 0.004
        self.outages = asyncio.Queue()
        self.outage_after_claim = None

    def now_ms(self):
        return 5_000_000 + int((time.monotonic() - self.begun) * 1000)

    @staticmethod
    def name(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "schema_version": version}

    def apply(self, puts, removals):
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.changes.append(self.row(name))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.changes.append({"table": name[0], "part": name[1], "key": name[2], "deleted": True,
                                     "schema_version": self.version})

    def follow_owner(self, puts):
        """Begins the outage that is due once a host has claimed the cell."""
        if self.outage_after_claim is None:
            return
        for row in puts:
            name = self.name(row)
            if name[0] == "dtb_head" and name in self.rows and \
                    self.holder(row["value"]) != self.holder(self.rows[name][0]):
                delay_s, down_s = self.outage_after_claim
                self.outage_after_claim = None
                asyncio.get_running_loop().call_later(delay_s, self.outages.put_nowait, down_s)

    @staticmethod
    def holder(value):
        return json.loads(base64.b64decode(value)).get("holder")

    async def handle(self, method, path, query, _headers, body):
        await asyncio.sleep(self.answer_s)
        stamp = {"schema_version": self.version, "now_ms": self.now_ms()}
        if (method, path) == ("POST", "/rows-tx"):
            expected = [(self.name(row), row["schema_version"]) for row in body.get("expected_revision", [])]
            if any((self.rows[name][1] if name in self.rows else 0) != version for name, version in expected):
                found = [self.row(name) for name, _ in expected if name in self.rows]
                return 412, {**stamp, "rows": found}
            self.follow_owner(body.get("put", []))
            self.apply([(self.name(row), row["value"]) for row in body.get("put", [])],
                       [self.name(row) for row in body.get("remove", [])])
            return 200, {"schema_version": self.version, "now_ms": self.now_ms()}
        if (method, path) == ("GET", "/rows-get"):
            last = query.get("target") or "\U0010ffff"
            names = sorted(name for name in self.rows
                           if name[:2] == (query["table"], query.get("part", "")) and
                           query.get("from", "") <= name[2] < last)
            return 200, {**stamp, "rows": [self.row(name) for name in names[:500]], "has_more": len(names) > 500}
        if (method, path) == ("GET", "/rows-feed"):
            since, until = int(query["depends_on"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                rows = [row for row in self.changes
                        if row["table"] == query["table"] and row["schema_version"] > since]
                if rows or time.monotonic() >= until:
                    return 200, {"schema_version": self.version, "now_ms": self.now_ms(), "rows": rows,
                                 "has_more": False}
                await asyncio.sleep(FEED_WAIT_STEP_S)
        if (method, path) == ("POST", "/trouble"):
            self.answer_s = body.get("answer_s", self.answer_s)
            self.outage_after_claim = body.get("outage_after_claim", self.outage_after_claim)
            if "outage_s" in body:
                self.outages.put_nowait(body["outage_s"])
            return 200, {}
        if (method, path) == ("POST", "/operator"):  # What the operator and the runners write.
            text = base64.b64encode(json.dumps(body["value"]).encode()).decode() if body.get("value") else None
            name = (body["table"], "", body["key"])
            self.apply([(name, text)] if text else [], [] if text else [name])
            return 200, {}
        return 404, {}


async def run_store(port):
    store = Store()
    await serve(port, store.handle, store.outages)


class Runner:
    def __init__(self, ident, port, store_port, zone, rack, cores, log):
        self.ident, self.port, self.store_port = ident, port, store_port
        self.zone, self.rack, self.cores = zone, rack, cores
        self.log = os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.last_end = 0
        self.sequence = 0

    def write(self, event, **fields):
        line = {"t": round(time.time(), 3), "runner": self.ident, "born": self.born, "event": event, **fields}
        os.write(self.log, (json.dumps(line) + "\n").encode())

    def clock(self):
        return 1 + int((time.monotonic() - self.begun) * 1000)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.write("end", task=task, run=run["attempt"], how=how)

    def advance(self):
        now = self.clock()
        for task, run in list(self.runs.items()):
            if now >= self.lease_until:
                self.end(task, "lapsed")
            elif run["stop_at"] is not None and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["until"] is not None and now >= run["until"]:
                self.end(task, "done")

    def hold_until(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, _method, path, _query, headers, body):
        self.advance()
        stamp = {"clock_ms": self.clock(), "born": self.born}
        if headers.get("expected-instance", self.ident) != self.ident:
            return 421, stamp
        token = body.get("fencing_token", 0)
        if token < self.fence:
            self.write("refused", path=path, token=token, fence=self.fence, task=body.get("task", ""))
            return 409, {**stamp, "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self.start(body, stamp)
        if path == "/run-stop":
            run = self.runs.get(body["task"])
            if run is not None and run["attempt"] <= body["attempt"]:
                run["stop_at"] = self.clock() + STOP_MS if run["stop_at"] is None else run["stop_at"]
            else:
                self.closed[body["task"]] = max(self.closed.get(body["task"], 0), body["attempt"])
            self.write("stop", task=body["task"], run=body["attempt"], token=token)
            return 200, stamp
        if path == "/hold":
            if "deadline_ms" in body:
                self.hold_until(body["deadline_ms"])
            self.ends = [end for end in self.ends if end[0] > body.get("acked_through", 0)]
            until = time.monotonic() + body.get("wait_ms", 0) / 1000
            while not self.ends and time.monotonic() < until:
                await asyncio.sleep(0.01)
            self.advance()
            return 200, {"clock_ms": self.clock(), "born": self.born,
                         "active": [[task, run["attempt"], "", 100, run["cpu"]] for task, run in self.runs.items()],
                         "finished": self.ends[:500]}
        return 404, stamp

    def start(self, body, stamp):
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] <= self.clock():
            return 409, {**stamp, "reason": "late"}
        self.hold_until(body["deadline_ms"])
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, stamp
        if task in self.runs or attempt <= self.closed.get(task, 0):
            return 409, {**stamp, "reason": "old"}
        spec = json.loads(body["spec"], strict=False)
        self.runs[task] = {"attempt": attempt, "stop_at": None, "cpu": 0,
                           "until": self.clock() + spec["ms"] if spec["ms"] else None}
        self.write("start", task=task, run=attempt, token=body["fencing_token"], spec=body["spec"])
        return 200, stamp

    async def register(self):
        while True:
            self.sequence += 1
            entry = {"service": "tasks", "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "1", "slots": 8,
                     "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                     "labels": ["a", self.rack], "capacity": {"cpu": self.cores * 1000, "mem_mb": 65536, "gpu": 0}}
            body = json.dumps({"table": "servers", "key": self.ident, "value": entry}).encode()
            try:
                reader, writer = await asyncio.open_connection(HOST, self.store_port)
                writer.write(f"POST /operator HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await reader.readline()
                writer.close()
            except OSError:
                pass  # The store is down.
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.01)

    async def run(self):
        self.write("up")
        await asyncio.gather(serve(self.port, self.handle), self.register(), self.tick())


def main():
    if sys.argv[1] == "store":
        asyncio.run(run_store(int(sys.argv[2])))
    else:
        ident, port, store_port, zone, rack, cores, log = sys.argv[2:]
        asyncio.run(Runner(ident, int(port), int(store_port), zone, rack, int(cores), log).run())


if __name__ == "__main__":
    main()

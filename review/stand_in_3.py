"""Stand-ins for the scripts of the third review: the platform's store, the workers, and a client, on loopback.

They speak what PROTOCOL.md says. All of them run in the process of the script; the daemons are processes of their own,
started with the command of deploy/system.toml. `Ledger` records what the workers have run, by their own sockets.
"""
import asyncio
import base64
import gc
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
STORE_READ_S = 0.004
STORE_WRITE_S = 0.008
MAX_HOLD_MS = 10_000
STOP_MS = 200
HEARTBEAT_S = 1.5
GANG_TIMEOUT_MS = 3000
CALLERS_HOST = "site.example"
KEY = "key-school"


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes what happened to a file, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """Calls `handle(method, path, query, headers, body)`, which returns (status, body) or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, reuse_address=True)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := (await reader.readline()).decode().strip()):
                    name, value = line.split(":", 1)
                    headers[name.lower()] = value.strip()
                text = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, json.loads(text) if text else None)
                if answer is None:
                    await asyncio.sleep(3600)
                status, body = answer
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


class Store:
    """The platform's table store. `modes` has a fault for each host's address: None, "silent", "busy"."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Condition()
        self.modes = {}
        self.servers = {}

    async def listen(self, host):
        """Listens for one host; each host has an address of the store of its own, which the settings name."""
        server = HttpServer(lambda *call: self.handle(host, *call))
        self.servers[host] = server
        return await server.start("127.0.0.1", free_ports(1)[0])

    async def put(self, table, key, value):
        """Writes a row for the operator or a worker. `value` is None to remove it."""
        await self.apply([((table, "", key), None if value is None else json.dumps(value).encode())])

    async def apply(self, changes):
        self.version += 1
        for row, value in changes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.version)
            self.history.append((self.version, row, value))
        async with self.changed:
            self.changed.notify_all()

    def json_row(self, row, value, version):
        table, part, key = row
        result = {"table": table, "part": part, "key": key, "schema_version": version}
        if value is None:
            result["deleted"] = True
        else:
            result["value"] = base64.b64encode(value).decode()
        return result

    def answer(self, **fields):
        return {**fields, "schema_version": fields.get("schema_version", self.version), "now_ms": now_ms()}

    async def handle(self, host, method, path, query, _headers, body):
        mode = self.modes.get(host)
        if mode == "silent":
            return None
        if mode == "busy":
            return 503, {}
        if path == "/rows-get":
            await asyncio.sleep(STORE_READ_S)
            return 200, self.read(query)
        if path == "/rows-feed":
            await asyncio.sleep(STORE_READ_S)
            return await self.feed(host, query)
        if path == "/rows-tx" and method == "POST":
            await asyncio.sleep(STORE_WRITE_S)
            return await self.transact(body)
        return 404, {}

    def read(self, query):
        first, end = query.get("from", ""), query.get("target")
        found = sorted(row for row in self.rows if row[:2] == (query["table"], query.get("part", "")) and
                       row[2] >= first and (end is None or row[2] < end))
        rows = [self.json_row(row, *self.rows[row]) for row in found[:500]]
        return self.answer(rows=rows, has_more=len(found) > 500)

    async def feed(self, host, query):
        after = int(query["depends_on"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [self.json_row(row, value, version) for version, row, value in self.history
                    if version > after and row[0] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.answer(rows=rows, has_more=False)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.modes.get(host):
                return None

    async def transact(self, body):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]
        expected = body.get("expected_revision", [])
        entries = len(expected) + len(body.get("put", [])) + len(body.get("remove", []))
        if entries > 100 or len(json.dumps(body)) > 1_000_000:
            return 400, self.answer()
        if any(self.rows.get(name(row), (None, 0))[1] != row["schema_version"] for row in expected):
            current = [self.json_row(name(row), *self.rows[name(row)]) for row in expected if name(row) in self.rows]
            return 412, self.answer(rows=current)
        await self.apply([(name(row), base64.b64decode(row["value"])) for row in body.get("put", [])] +
                         [(name(row), None) for row in body.get("remove", [])])
        return 200, self.answer()


class Ledger:
    """What has run, as the workers have seen it."""

    def __init__(self, record):
        self.record = record
        self.starts = []  # (time, worker, task, attempt)
        self.ends = []    # (time, worker, task, attempt, how)
        self.active = {}  # task -> set of (worker, attempt)
        self.gangs = {}   # (step, attempt) -> the workers of the members that are there, by task

    def start(self, worker, task, attempt):
        beside = sorted(self.active.get(task, ()))
        self.active.setdefault(task, set()).add((worker, attempt))
        self.starts.append((time.monotonic(), worker, task, attempt))
        self.record.write(f"run {task} attempt {attempt} starts on {worker}" +
                          (f" BESIDE {beside}" if beside else ""))

    def end(self, worker, task, attempt, how):
        self.active.get(task, set()).discard((worker, attempt))
        self.ends.append((time.monotonic(), worker, task, attempt, how))
        self.record.write(f"run {task} attempt {attempt} on {worker} ends: {how}")

    def ends_of(self, task, how):
        return [end for end in self.ends if end[2] == task and end[4] == how]


class Worker:
    """One worker. It doesn't guard its capacity.

    A job's `spec` tells how its runs go: {"ms": [how long a run of each step takes], "gang": how many tasks work only
    together (0 if each works alone), "fails": whether the runs fail at their end}.
    """

    def __init__(self, store, ledger, record, name, ip, labels, cpu=16000, mem_mb=65536):
        self.store, self.ledger, self.record = store, ledger, record
        self.name, self.ip, self.labels = name, ip, labels
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.port = free_ports(1)[0]
        self.server = None
        self.task = None
        self.draining = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.zero_ms = now_ms()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.news = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.port = await self.server.start(self.ip, self.port)
        self.record.write(f"worker {self.name} starts, born {self.born}")
        self.task = asyncio.ensure_future(self.live())

    def crash(self):
        """The process is gone: its runs, connections and port too. The store is told nothing."""
        self.record.write(f"worker {self.name} crashes with {sorted(self.runs)}")
        self.task.cancel()
        self.server.stop()
        runs, self.runs = self.runs, {}
        for task, run in runs.items():
            self.ledger.end(self.name, task, run["attempt"], "crashed")
            self.leave_gang(task, run, "crashed")

    def clock(self):
        return now_ms() - self.zero_ms

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.name, {
            "service": "tasks", "address": f"{self.ip}:{self.port}", "zone": "zone-0", "version": "v1", "slots": 8,
            "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
            "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock(), "born": self.born})

    async def live(self):
        await self.register()
        while True:
            await asyncio.sleep(0.005)
            self.advance()

    def advance(self):
        clock = self.clock()
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue  # It has ended with another member of its gang.
            if clock >= self.lease_ms:
                self.end(task, "lapsed")
            elif run["stop_at"] and clock >= run["stop_at"]:
                self.end(task, "stopped")
            elif clock >= run["until"]:
                self.end(task, "failed" if run["fails"] else "done")
            elif run["until"] == math.inf and clock >= run["started"] + GANG_TIMEOUT_MS:
                self.end(task, "alone")

    def join_gang(self, task, run, size, length):
        """The members of a gang begin to work when all of them are there."""
        run["until"] = math.inf
        members = self.ledger.gangs.setdefault((task.rsplit(".", 1)[0], run["attempt"]), {})
        members[task] = self
        if len(members) == size:
            for member, worker in members.items():
                worker.runs[member]["until"] = worker.clock() + length

    def leave_gang(self, task, run, how):
        """The members of a gang end together. One that waits for the others doesn't break them by its end."""
        key = (task.rsplit(".", 1)[0], run["attempt"])
        members = self.ledger.gangs.get(key, {})
        members.pop(task, None)
        if run["until"] != math.inf:
            self.ledger.gangs.pop(key, None)
            for member, worker in members.items():
                if member in worker.runs:
                    worker.end(member, "done" if how == "done" else "broken")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.leave_gang(task, run, how)
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["attempt"], how, ""])
        self.ledger.end(self.name, task, run["attempt"], how)
        self.news.set()

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "born": self.born, "reason": reason}

    async def handle(self, _method, path, _query, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        self.advance()
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        if path == "/hold":
            return await self.hold(body)
        task, attempt = body["task"], body["attempt"]
        if path == "/run-start":
            return self.start_run(task, attempt, body)
        if path == "/run-stop":
            run = self.runs.get(task)
            if run and run["attempt"] <= attempt:
                run["stop_at"] = run["stop_at"] or self.clock() + STOP_MS
            else:
                self.closed[task] = max(self.closed.get(task, 0), attempt)
            return 200, {"clock_ms": self.clock(), "born": self.born}
        return 404, {}

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + MAX_HOLD_MS))

    def start_run(self, task, attempt, body):
        if body["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        run = self.runs.get(task)
        if not (run and run["attempt"] == attempt):
            if run or attempt <= self.closed.get(task, 0):
                return self.refuse("old")
            spec = json.loads(body["spec"])
            length = spec["ms"][int(task.split(".")[2])]
            self.runs[task] = {"attempt": attempt, "started": self.clock(), "until": self.clock() + length,
                               "stop_at": 0, "fails": spec.get("fails", False)}
            self.ledger.start(self.name, task, attempt)
            if spec.get("gang"):
                self.join_gang(task, self.runs[task], spec["gang"], length)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        self.ended = [end for end in self.ended if end[0] > body.get("acked_through", 0)]
        end = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ended and (left := end - time.monotonic()) > 0:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                break
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "active": [[task, run["attempt"], "", 50, 100] for task, run in self.runs.items()],
                     "finished": self.ended[:500]}


async def call(port, method, path, body=None, key=KEY, timeout=4.0, ip="127.0.0.1"):
    """Makes one call of a requester; returns (status, body), or (None, None) without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {CALLERS_HOST}\r\nAuthorization: Bearer {key}\r\n"
                     f"Deadline-Ms: 3000\r\nContent-Type: application/json\r\nConnection: close\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        try:
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := (await reader.readline()).decode().strip()):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            text = await reader.readexactly(length)
        finally:
            writer.close()
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None, None


class Site:
    """A small deployment: daemons, each with its own address of the store, and the stand-ins."""

    def __init__(self, folder, hosts=3):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(self.record)
        self.ledger = Ledger(self.record)
        self.workers = {}
        self.hosts = hosts
        self.processes = {}
        self.ports = {}
        self.answers = {}
        self.exits = []

    async def add_worker(self, name, labels, **options):
        worker = Worker(self.store, self.ledger, self.record, name, "127.0.0.1", labels, **options)
        self.workers[name] = worker
        await worker.start()
        return worker

    async def start(self, routes, tenants=None):
        await self.store.put("op", "config", self.desired(1, routes, tenants))
        for host in range(self.hosts):
            self.ports[host] = free_ports(4)
            path = self.folder / f"host-{host}.yaml"
            frontend, readiness, peers, metrics = self.ports[host]
            path.write_text(json.dumps({  # JSON is YAML.
                "node_name": f"host-{host}", "role": "entry", "machine_class": "edge", "ip": "127.0.0.1",
                "zone": f"zone-{host % 3}", "bootstrap": True, "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "listen_addrs": {"frontend": f"127.0.0.1:{frontend}", "readiness": f"127.0.0.1:{readiness}"},
                "internal_ports": [peers, metrics], "control_mode": "call",
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4200, "link_mbps": 1000.0},
                "platform": {"address": f"127.0.0.1:{await self.store.listen(host)}", "form": "table",
                             "writes_per_s": 600, "reads_per_s": 2000, "row_bytes": 65536},
                "bounds": {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "revoke_ms": 5000,
                           "config_apply_ms": 2000, "max_hold_ms": MAX_HOLD_MS, "stop_timeout_ms": STOP_MS,
                           "gang_timeout_ms": GANG_TIMEOUT_MS, "cancel_ms": 3000, "status_s": 120,
                           "finish_s": 14, "remote_factor": 1.5, "restore_ms": 600}}), encoding="utf-8")
            self.start_host(host)
        await self.wait(self.all_ready, "all hosts are ready", 30)

    @staticmethod
    def desired(version, routes, tenants=None):
        """`routes` maps a queue's name to what differs from the usual."""
        usual = {"host": CALLERS_HOST, "kind": "unsafe", "service": "tasks", "public": False, "priority": 1,
                 "max_attempts": 4, "slack_factor": 4.0, "target_completion_ms": 3000, "timeout_ms": 3000}
        return {"version": version,
                "routes": [{"name": name, "path_prefix": f"/{name}/", **usual, **other}
                           for name, other in routes.items()],
                "services": [{"name": "tasks", "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                              "tls": False, "enforces_capacity": False, "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": tenants or [{"name": "school", "api_keys": [KEY], "priority": 1, "weight": 100,
                                        "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}

    def start_host(self, host):
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"].split(" ")
        log = open(self.folder / f"host-{host}.log", "ab")
        self.processes[host] = subprocess.Popen(
            [str(ROOT / run[0]), *run[1:]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "DOTTERELBARROW_CONFIG": str(self.folder / f"host-{host}.yaml")})
        log.close()
        self.record.write(f"host-{host} starts")

    def signal_host(self, host, number):
        self.record.write(f"host-{host} gets signal {number}")
        if self.processes[host].poll() is None:
            self.processes[host].send_signal(number)
        else:
            self.exits.append(f"host-{host} with {self.processes[host].returncode}")

    def check_running(self):
        """Records the daemons that have ended by themselves."""
        for host, process in self.processes.items():
            if process.poll() is not None:
                self.exits.append(f"host-{host} with {process.returncode}")

    async def all_ready(self):
        return all([(await call(self.ports[host][1], "GET", "/readyz"))[0] == 200 for host in range(self.hosts)])

    async def wait(self, condition, what, bound_s):
        end = time.monotonic() + bound_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"waited {bound_s} s: {what}")

    def log_of(self, host):
        return (self.folder / f"host-{host}.log").read_text(encoding="utf-8", errors="replace")

    def owner(self):
        """Returns the host whose term began last, by the logs of the hosts."""
        begun = [(int(line.split("token=")[1].split()[0]), host) for host in range(self.hosts)
                 for line in self.log_of(host).splitlines() if "event=term_begun" in line]
        return max(begun)[1] if begun else None

    async def ask(self, host, method, path, body=None, **options):
        status, answer = await call(self.ports[host][0], method, path, body, **options)
        self.record.write(f"{method} {path} at host-{host}: {status} {answer}")
        return status, answer

    async def submit(self, queue, job, steps, spec):
        """Hands a job in, again at the next host if it isn't accepted."""
        body = {"spec": json.dumps(spec), "job_steps": steps}
        for host in range(4):
            if (await self.ask(host % self.hosts, "POST", f"/{queue}/{job}", body))[0] == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} isn't accepted")

    async def state(self, queue, job, host=0):
        """Returns the state of a job, or None without an answer."""
        status, answer = await self.ask(host, "GET", f"/{queue}/{job}")
        return answer["state"] if status == 200 else None

    async def runs_nothing_for(self, job, seconds):
        """Returns whether no run of the job is there, or starts, for this long."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if any(runs for task, runs in self.ledger.active.items() if task.startswith(job)):
                return False
            await asyncio.sleep(0.005)
        return True

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.workers.values():
            worker.server.stop()
        for server in self.store.servers.values():
            server.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder)


class CannotRun(Exception):
    """The case couldn't be played."""


given_ports = set()


def free_ports(count):
    """Returns free ports in ascending order, below those that the kernel gives to outgoing connections."""
    while True:
        ports = sorted(random.sample(range(20_000, 32_000), count))
        if given_ports.intersection(ports):
            continue
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        given_ports.update(ports)
        return ports


def main(play, folder, hosts=3):
    """Runs `play(site, trouble)`, which returns the broken rules; returns the exit code of the script."""
    async def run():
        site = Site(folder, hosts)
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context.get("exception")))
        try:
            broken = await asyncio.wait_for(play(site, os.environ.get("TROUBLE", "1") != "0"), 110)
            site.check_running()
            broken += [f"a process ended by itself: {entry}" for entry in site.exits]
            gc.collect()  # Reports the errors of tasks that nothing waits for.
            await asyncio.sleep(0)
            if any(errors):
                raise CannotRun(f"the stand-in failed: {errors}")
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            site.record.write(f"couldn't run: {error!r}")
            return 2
        finally:
            site.close()
        for line in broken:
            site.record.write(f"BROKEN {line}")
        site.record.write("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    return asyncio.run(run())

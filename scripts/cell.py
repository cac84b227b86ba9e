"""Starts a whole cell on loopback: the stand-in platform and backend servers and several daemons.

Used by the demo, the end-to-end tests and the measurements with real processes. Ends only processes that it started.
"""
import fcntl
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from relay import Relay

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DOTTEREL_BUILD", ROOT / "build"))
HOST = "127.0.0.1"
ZONES = ["az1", "az2", "az3"]

# A cell's ports, counted from its base port: platform, control, entries, entries for callers only, the platform's port
# for each entry, relay, backend servers.
ENTRY_PORTS = 10
CALLER_PORTS = 20
DOOR_PORTS = 30
RELAY_PORTS = 50
HOST_PORTS = 100
PORTS_OF_A_CELL = 200
# The range in which a cell looks for free ports; below the ephemeral ports of outgoing connections.
FREE_RANGES = range(27000, 32000, PORTS_OF_A_CELL)

WORKER = {"cpu_millicores": 16000, "memory_mib": 65536}
RUNNER = {"slots": 8}


class PortsTaken(Exception):
    """Another process listens on a port that the cell needs."""


class NoAnswer(Exception):
    """The server refused the connection, closed it, or did not answer in time."""


def call(port, method, path, body=None, key=None, timeout=10.0, host=None):
    """Makes one HTTP call; returns (status, parsed JSON or text). `host`, if given, is sent as the Host header."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    headers = {"Content-Type": "application/json"}
    if host:
        headers["Host"] = host
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        text = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, text, headers)
        response = connection.getresponse()
        data = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise NoAnswer(f"{method} {path} on port {port}: {error}") from error
    finally:
        connection.close()
    try:
        return response.status, json.loads(data)
    except ValueError:
        return response.status, data


def limited(command, max_fds):
    """Returns a command that runs `command` with at most `max_fds` descriptors, or `command` itself without a limit."""
    return ["/bin/sh", "-c", f'ulimit -n {max_fds}; exec "$@"', "sh", *command] if max_fds else command


def taken_ports(ports):
    """Returns those of `ports` that are in use."""
    taken = []
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                taken.append(port)
    return taken


def reserve_ports():
    """Finds a range of free ports; returns its base port and the lock that reserves it against other cells."""
    ranges = list(FREE_RANGES)
    random.shuffle(ranges)
    for base in ranges:
        lock = open(pathlib.Path(tempfile.gettempdir(), f"dotterel-ports-{base}.lock"), "w", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        if not taken_ports(range(base, base + PORTS_OF_A_CELL)):
            return base, lock
        lock.close()
    raise PortsTaken(f"no free range of {PORTS_OF_A_CELL} ports from {FREE_RANGES.start} to {FREE_RANGES.stop}")


class Cell:
    """A cell of real processes. Without a base port it looks for a free range. The platform listens on a port of
    its own for each entry, so that faults can be limited to some entries. One entry may be `relayed`, so that it can be
    disconnected from the other entries too. With `max_fds`, each entry may open only so many descriptors."""

    def __init__(self, base_port=None, entries=7, workers=50, runners=50, per_rack=8, worker=None, runner=None,
                 settings=None, relayed=None, max_fds=None):
        self._ports_lock = None
        if not base_port:
            base_port, self._ports_lock = reserve_ports()
        self.base_port = base_port
        self.entries = entries
        self.settings = settings or {}
        self.relayed = relayed
        self.max_fds = max_fds
        self.relay = None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="dotterel-cell-"))
        self.processes = {}
        # The team, request and answer of each answered request, for truth.wrong_answers().
        self.answered = []
        self.platform_port = base_port
        self.control_port = base_port + 1
        self.hosts = self._hosts(workers, runners, per_rack, worker or WORKER, runner or RUNNER)

    def entry_port(self, entry):
        return self.base_port + ENTRY_PORTS + entry

    def caller_port(self, entry):
        return self.base_port + CALLER_PORTS + entry

    def platform_port_of(self, entry):
        return self.base_port + DOOR_PORTS + entry

    def _port_between(self, entry, other):
        """Returns the port at which `entry` reaches `other`: the relay's if one of them is relayed, else its own."""
        if self.relayed is None or entry == other or self.relayed not in (entry, other):
            return self.entry_port(other)
        return self.base_port + RELAY_PORTS + other

    def _hosts(self, workers, runners, per_rack, worker, runner):
        hosts = []
        for number in range(workers + runners):
            is_worker = number < workers
            place = number if is_worker else number - workers
            rack = place // per_rack
            hosts.append({
                "backend": f"{'worker' if is_worker else 'runner'}{place}",
                "kind": "worker" if is_worker else "runner",
                "address": f"{HOST}:{self.base_port + HOST_PORTS + number}",
                "shard": f"{'rack' if is_worker else 'runners'}{rack}",
                "availability_zone": ZONES[rack % len(ZONES)],
                "capacity": worker if is_worker else runner,
                "service": "" if is_worker else "seats",
                "leaving": False,
            })
        return hosts

    def _spawn(self, name, *command, max_fds=None):
        environment = dict(os.environ, GLOG_logtostderr="1")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(limited([str(part) for part in command], max_fds), stdout=log,
                                                    stderr=log, env=environment)

    def _ports(self):
        ports = [self.platform_port, self.control_port]
        for entry in range(self.entries):
            ports += [self.entry_port(entry), self.caller_port(entry), self.platform_port_of(entry),
                      self.base_port + RELAY_PORTS + entry]
        return ports + [int(host["address"].split(":")[1]) for host in self.hosts]

    def start(self):
        taken = taken_ports(self._ports())
        if taken:
            raise PortsTaken(f"ports in use, of those from {self.base_port} on: {taken}")
        if self.relayed is not None:
            self.relay = Relay({self.base_port + RELAY_PORTS + entry: self.entry_port(entry)
                                for entry in range(self.entries)})
        hosts_file = self.folder / "hosts.json"
        hosts_file.write_text(json.dumps(self.hosts))
        platform_ports = [self.platform_port] + [self.platform_port_of(entry) for entry in range(self.entries)]
        listen = [part for port in platform_ports for part in ("--listen", f"{HOST}:{port}")]
        self._spawn("platform", BUILD / "dotterel-standin-platform", *listen, "--hosts", hosts_file,
                    "--host-list-lag-ms", 500)
        self._spawn("backends", BUILD / "dotterel-standin-backends", "--hosts", hosts_file, "--control",
                    f"{HOST}:{self.control_port}")
        for entry in range(self.entries):
            self.start_entry(entry)
        self.wait_ready()

    def start_entry(self, entry):
        path = self.folder / f"e{entry}.ini"
        path.write_text(self._ini(entry))
        self._spawn(f"e{entry}", BUILD / "dotterelbarrowd", "--settings", path, max_fds=self.max_fds)

    def _ini(self, entry):
        sections = {
            "daemon": {"name": f"e{entry}", "listen": f"{HOST}:{self.entry_port(entry)}",
                       "callers": f"{HOST}:{self.caller_port(entry)}",
                       "platform": f"{HOST}:{self.platform_port_of(entry)}"},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        for other in range(self.entries):
            sections[f"entry e{other}"] = {"address": f"{HOST}:{self._port_between(entry, other)}",
                                           "availability_zone": ZONES[other % len(ZONES)], "region": "home"}
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def alive(self):
        return [entry for entry in range(self.entries)
                if f"e{entry}" in self.processes and self.processes[f"e{entry}"].poll() is None]

    def wait(self, condition, bound=60.0, step=0.1):
        """Waits until `condition` returns true; returns whether it did within `bound` seconds."""
        end = time.monotonic() + bound
        while time.monotonic() < end:
            try:
                if condition():
                    return True
            except NoAnswer:
                pass
            time.sleep(step)
        return False

    def wait_ready(self, bound=60.0):
        def ready():
            return all(call(self.entry_port(entry), "GET", "/readyz")[0] == 200 for entry in self.alive())
        if not self.wait(lambda: self._ended() or ready(), bound) or self._ended():
            raise RuntimeError("the entries did not become ready; ended: "
                               f"{self._ended()}; last log lines: {self._last_lines()}")

    def _ended(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def _last_lines(self):
        return {name: self.log_of(name).splitlines()[-1:] for name in self._ended() or self.processes}

    def wait_claimed(self, bound=60.0):
        """Waits until entries own all slots of all runners and all cores of all workers."""
        slots = sum(host["capacity"].get("slots", 0) for host in self.hosts)
        cores = sum(host["capacity"].get("cpu_millicores", 0) for host in self.hosts)

        def claimed():
            rooms = [call(self.entry_port(entry), "GET", "/v1/room")[1] for entry in self.alive()]
            return (sum(room["total_slots"] for room in rooms) == slots and
                    sum(room["capacity"]["cpu_millicores"] for room in rooms) == cores)
        return self.wait(claimed, bound)

    def ticket(self, number, objects, entry=0):
        status, answer = call(self.entry_port(entry), "POST", "/v1/tickets", {"ticket": number, "objects": objects},
                              timeout=15)
        return answer.get("status", status) if isinstance(answer, dict) else status

    def retry_ticket(self, number, objects, entry=0, bound=60.0):
        """Submits a ticket again, as an operator does, while it is unknown or unavailable; returns the answers."""
        answers = []

        def is_decided():
            answers.append(self.ticket(number, objects, entry))
            return answers[-1] not in ("unknown", "unavailable")
        self.wait(is_decided, bound)
        return answers

    def wait_in_force(self, version, bound=60.0):
        """Waits until `version` of the configuration, or a later one, is in force at all entries."""
        return self.wait(lambda: all(call(self.entry_port(entry), "GET", "/v1/teams")[1]["version"] >= version
                                     for entry in self.alive()), bound)

    def ask(self, entry, request, key=None, timeout=20.0):
        status, answer = call(self.caller_port(entry), "POST", "/v1/requests", request, key, timeout)
        if isinstance(answer, dict):
            self.answered.append((team_of(key), request, answer))
        return status, answer

    def job(self, entry, name, key):
        return call(self.caller_port(entry), "GET", f"/v1/jobs/{name}", key=key)[1]

    def wait_job(self, name, key, bound=60.0):
        """Polls the live entries for the final answer of a job; returns it, or None if there is none within `bound`."""
        final = {}

        def ended():
            for entry in self.alive():
                try:
                    answer = self.job(entry, name, key)
                except NoAnswer:
                    continue
                if answer.get("outcome") in ("done", "failed", "not_run", "cancelled"):
                    final.update(answer)
                    return True
                return answer.get("outcome") == "unknown" and answer.get("reason") == "connection_lost"
            return False
        if not self.wait(ended, bound):
            return None
        request = next((request for team, request, _ in self.answered
                        if team == team_of(key) and request["id"] == name), None)
        if request and final:
            self.answered.append((team_of(key), request, final))
        return final

    def stats(self):
        return call(self.control_port, "GET", "/v1/stats")[1]

    def platform_stats(self):
        return call(self.platform_port, "GET", "/v1/stats")[1]

    def runs(self, team, request=""):
        """Returns the stand-ins' counts for each task of one job or request, or of all those of the team."""
        return call(self.control_port, "GET", f"/v1/runs?team={team}&request={request}")[1]

    def platform_fault(self, mode, entries=(), **more):
        """Sets the platform's fault for `entries`, or for all if none is named; replaces an earlier fault."""
        platform_ports = [self.platform_port_of(entry) for entry in entries]
        call(self.platform_port, "POST", "/v1/fault", {"mode": mode, "only_from": platform_ports, **more})

    def cut_off(self):
        """Disconnects the relayed entry from the platform and from all other entries, but not from backend servers."""
        self.platform_fault("silent", [self.relayed])
        self.relay.cut()

    def reconnect(self):
        self.platform_fault("none")
        self.relay.repair()

    def metrics(self, entry):
        """Returns all metrics of an entry, by name with labels."""
        lines = call(self.entry_port(entry), "GET", "/metrics")[1].splitlines()
        return {name: float(value) for name, value in
                (line.rsplit(" ", 1) for line in lines if line and not line.startswith("#"))}

    def backend_fault(self, host, mode):
        call(int(self.hosts[host]["address"].split(":")[1]), "POST", "/v1/fault", {"mode": mode})

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, entry):
        self.signal(f"e{entry}", signal.SIGKILL)
        self.processes.pop(f"e{entry}").wait()

    def stop_entry(self, entry, bound=30.0):
        """Starts a graceful shutdown; returns the exit code, or None if it takes longer than `bound` seconds."""
        self.signal(f"e{entry}", signal.SIGTERM)
        try:
            code = self.processes[f"e{entry}"].wait(bound)
        except subprocess.TimeoutExpired:
            return None
        del self.processes[f"e{entry}"]
        return code

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.relay:
            self.relay.close()
        if self._ports_lock:
            self._ports_lock.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


TEAMS = ("ovens", "waivers", "phones", "budapest", "debrecen", "szeged")


def key_of(team):
    return f"key-{team}"


def team_of(key):
    """Returns the team of a request with this key; without a key, the team to which the open service belongs."""
    return key.removeprefix("key-") if key else TEAMS[0]


def setup_objects(teams=TEAMS):
    """Returns the objects of an initial ticket: six teams in six organisations, their keys and shares, two services."""
    objects = []
    for team in teams:
        objects.append({"kind": "team", "name": team, "state": {"organisation": f"org-{team}"}})
        objects.append({"kind": "key", "name": key_of(team), "state": {"team": team}})
        objects.append({"kind": "share", "name": team, "state": {"weight": 1.0}})
    objects.append({"kind": "service", "name": "seats", "state": {"open": False}})
    objects.append({"kind": "service", "name": "open", "state": {"open": True, "open_team": teams[0]}})
    return objects


def seat_check(name, run_ms=5, **more):
    """Returns a lookup. Its payload repeats the idempotency key, so that the stand-ins can count the runs per key."""
    payload = {"run_ms": run_ms}
    if "idempotency_key" in more:
        payload["idempotency_key"] = more["idempotency_key"]
    return {"id": name, "service": "seats", "kind": "interactive", "demand": {"slots": 1}, "deadline_us": 5_000_000,
            "payload": json.dumps(payload), **more}


def batch(name, tasks=4, run_ms=500, cpu=1000, memory=1024, **more):
    return {"id": name, "service": "seats", "kind": "batch", "task_count": tasks,
            "demand": {"cpu_millicores": cpu, "memory_mib": memory}, "payload": json.dumps({"run_ms": run_ms}), **more}

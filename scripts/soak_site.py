"""Starts the stand-in site and several daemons on loopback, each with its own relayed connection to the store.

Ends only the processes that it started.
"""
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from cell import HOST, NoAnswer, PortsTaken, call, limited, reserve_ports, taken_ports
from relay import Relay

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "test" / "soak"))
from shim import shim_environment  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DOTTEREL_BUILD", ROOT / "build"))

# A site's ports, counted from its base port: store, advisor, control, hosts (each with ports for callers, readiness,
# peers and metrics), the relays between the hosts and the store, the ports on which daemons with relayed peers listen
# for them, workers.
HOST_PORTS = 10
PORTS_OF_A_HOST = 4
STORE_RELAY_PORTS = 70
PEER_PORTS = 85
WORKER_PORTS = 100
MAX_HOSTS = 15
MAX_WORKERS = 99

KEYS = {"school": "key-school", "parts": "key-parts"}
CALLERS_HOST = "site.example"
GRACE_S = 6
# High, since the workers of the soak fail runs at random, and a job must not fail because of that.
MAX_ATTEMPTS = 1000


def desired_state(version, keys, unused_queues=0):
    """Returns the desired state that the operator writes.

    It has two organisations, two queues, one of them with an advisor, and further queues to which no job is submitted.
    """
    def route(name, priority, advisor):
        return {"name": name, "host": CALLERS_HOST, "path_prefix": f"/{name}/", "service": "tasks", "public": False,
                "priority": priority, "max_attempts": MAX_ATTEMPTS, "slack_factor": 20.0,
                "target_completion_ms": 5000, "timeout_ms": 3000, "advisor": advisor}
    return {
        "version": version,
        "routes": [route("plain", 0, None),
                   route("advised", 1, {"decision_ms": 10.0, "per_worker_ms": 0.1, "valid_ms": 1500}),
                   *(route(f"unused-{number}", 2, None) for number in range(unused_queues))],
        "services": [{"name": "tasks", "enforces_capacity": False, "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": [key], "weight": 1000, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
                    for name, key in keys.items()],
    }


class Site:
    """A site with `hosts` daemons, and `workers` workers of `cores` cores each."""

    def __init__(self, seed, hosts=5, workers=8, cores=4, workers_per_owner=None, cpu_share=1.0, relays_peers=False,
                 limits=None):
        """With `workers_per_owner`, the hosts divide the cell into shards of about that many workers. `cpu_share` is
        the part of a processor that the settings name. With `relays_peers`, a host can be isolated from the others.
        `limits` are further limits of each host in its settings; `max_fds` is also enforced.
        """
        self.base_port, self._ports_lock = reserve_ports()
        self.seed = seed
        self.hosts = hosts
        self.workers = workers
        self.cores = cores
        self.workers_per_owner = workers_per_owner
        self.cpu_share = cpu_share
        self.relays_peers = relays_peers
        self.limits = limits or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"dotterel-soak-{seed}-"))
        self.processes = {}
        self.links = {}
        self.peers = {}
        self.version = 1
        self.keys = dict(KEYS)
        self.unused_queues = 0
        self.control_port = self.base_port + 2
        self.ended_by_itself = []

    def port(self, host, which):
        """Returns a port of a host; `which` is 0 for callers, 1 for readiness, 2 for peers and 3 for metrics."""
        return self.base_port + HOST_PORTS + host * PORTS_OF_A_HOST + which

    def start(self):
        worker_ports = range(self.base_port + WORKER_PORTS, self.base_port + WORKER_PORTS + self.workers)
        taken = taken_ports(list(range(self.base_port, self.base_port + WORKER_PORTS)) + list(worker_ports))
        if taken:
            raise PortsTaken(f"ports in use: {taken}")
        self._spawn("site", BUILD / "dotterel-standin-site", "--store", f"{HOST}:{self.base_port}", "--advisor",
                    f"{HOST}:{self.base_port + 1}", "--control", f"{HOST}:{self.control_port}",
                    "--first-worker-port", worker_ports.start, "--workers", self.workers, "--cores", self.cores,
                    "--seed", self.seed)
        self._wait(lambda: self.truth() is not None, "the stand-in")
        self.write_desired()
        for host in range(self.hosts):
            self.links[host] = Relay({self.base_port + STORE_RELAY_PORTS + host: self.base_port})
            if self.relays_peers:
                self.peers[host] = Relay({self.port(host, 2): self.base_port + PEER_PORTS + host})
            self.start_host(host)
        self._wait(lambda: all(self._is_ready(host) for host in range(self.hosts)), "all hosts ready")
        if self.workers_per_owner:
            # The cell is divided only while there are no jobs.
            self._wait(lambda: self.shards() > 1 and None not in map(self.owner, range(self.shards())),
                       "an owner of each shard")

    def _wait(self, condition, what, bound_s=30.0):
        end = time.monotonic() + bound_s
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except NoAnswer:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"waited {bound_s} s for {what}; logs in {self.folder}")

    def _is_ready(self, host):
        return call(self.port(host, 1), "GET", "/readyz")[0] == 200

    def _spawn(self, name, *command, environment=None, max_fds=None):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(limited([str(part) for part in command], max_fds), stdout=log,
                                                    stderr=log, env=environment)

    def start_host(self, host):
        path = self.folder / f"host-{host}.yaml"
        path.write_text(json.dumps({  # JSON is YAML.
            "node_name": f"host-{host}", "ip": HOST, "zone": f"zone-{host % 3}",
            "listen_addrs": {"frontend": f"{HOST}:{self.port(host, 0)}", "readiness": f"{HOST}:{self.port(host, 1)}"},
            "internal_ports": [self.port(host, 2), self.port(host, 3)],
            "limits": {"cpu_share": self.cpu_share, **self.limits}, "advisor": f"{HOST}:{self.base_port + 1}", "heartbeat_ms": 1500,
            "platform": {"address": f"{HOST}:{self.base_port + STORE_RELAY_PORTS + host}"},
            "bounds": {"revoke_ms": 5000, "grace_s": GRACE_S, "max_hold_ms": 10000, "status_s": 120,
                       "gang_timeout_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000, "evacuate_ms": 5000},
        }))
        division = ["--workers-per-owner", self.workers_per_owner, "--min-workers-of-kind", 1]
        environment = dict(os.environ, DOTTERELBARROW_CONFIG=str(path))
        if self.relays_peers:
            environment.update(shim_environment(BUILD, self.port(host, 2), self.base_port + PEER_PORTS + host,
                                                self._source(host)))
        self._spawn(f"host-{host}", BUILD / "dotterelbarrowd", "--platform",
                    *(division if self.workers_per_owner else []), environment=environment,
                    max_fds=self.limits.get("max_fds"))

    @staticmethod
    def _source(host):
        """Returns the address from which a host connects, if its peers are relayed."""
        return f"127.0.0.{10 + host}"

    def isolate(self, host, workers, is_refused):
        """Cuts an owner off from the store, the other hosts, and all workers but `workers`, which only it reaches.
        Calls to workers across the partition get no answer; those between hosts and to the store are refused if
        `is_refused`."""
        token = max(token for _, token, _, owner in self._terms() if owner == host)
        mode = "refuse" if is_refused else "cut"
        for other, relay in self.peers.items():
            relay.set_mode(mode) if other == host else relay.block(self._source(host), is_refused)
        self.links[host].set_mode(mode)
        for number in range(self.workers):
            self.fault(worker=f"worker-{number}", term=token, hears=number in workers)

    def rejoin(self, host):
        """Ends the isolation of a host."""
        for number in range(self.workers):
            self.fault(worker=f"worker-{number}", term=0, hears=False)
        self.links[host].repair()
        for relay in self.peers.values():
            relay.block(None)
            relay.repair()

    def _process(self, host):
        return self.processes[f"host-{host}"]

    def is_running(self, host):
        return self._process(host).poll() is None

    def signal_host(self, host, number):
        """Sends a signal to a running daemon; records a daemon that has ended by itself."""
        if self.is_running(host):
            self._process(host).send_signal(number)
        else:
            self.ended_by_itself.append(f"host-{host} with {self._process(host).returncode}")

    def wake_host(self, host):
        """Resumes a paused daemon, unless it has been ended in the meantime."""
        if self.is_running(host):
            self._process(host).send_signal(signal.SIGCONT)

    def end_host(self, host, number):
        """Ends a daemon by a signal, and waits for its exit."""
        self.signal_host(host, number)
        try:
            self._process(host).wait(GRACE_S + 2)
        except subprocess.TimeoutExpired:
            self.ended_by_itself.append(f"host-{host} didn't end after signal {number}")
            self._process(host).kill()
            self._process(host).wait()

    def _terms(self):
        """Returns the terms that have begun according to the logs, as (shards of the cell, token, shard, host)."""
        pattern = r"event=term_begun token=(\d+) shard=(\d+) shards=(\d+)"
        terms = []
        for host in range(self.hosts):
            log = (self.folder / f"host-{host}.log").read_text(encoding="utf-8")
            terms += [(int(shards), int(token), int(shard), host) for token, shard, shards in re.findall(pattern, log)]
        return terms

    def shards(self):
        """Returns into how many shards the cell is divided."""
        return max((shards for shards, _, _, _ in self._terms()), default=1)

    def owner(self, shard=0):
        """Returns the host whose term as the owner of the shard began last, or None."""
        shards = self.shards()
        begun = {token: host for of, token, number, host in self._terms() if (of, number) == (shards, shard)}
        return begun[max(begun)] if begun else None

    def fault(self, **what):
        status, _ = call(self.control_port, "POST", "/fault", what)
        assert status == 200, f"the stand-in refused {what}"

    def write_desired(self):
        self.fault(desired=desired_state(self.version, self.keys, self.unused_queues))

    def truth(self, job=None):
        status, answer = call(self.control_port, "GET", f"/truth?job={job}" if job else "/truth")
        return answer if status == 200 else None

    def close(self, keep_logs):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for link in [*self.links.values(), *self.peers.values()]:
            link.close()
        self._ports_lock.close()
        if not keep_logs:
            shutil.rmtree(self.folder)

#!/usr/bin/env python3
"""A randomized soak test that injects faults into the real programs, which run against the stand-in site.

Callers submit jobs and request their states over persistent connections. Meanwhile processes are stopped, paused,
killed and restarted, connections to the store are cut in one or both directions, reset, delayed and narrow, an owner is
isolated together with some workers, the store and the workers misbehave, and the operator changes keys and the size of
the desired state; faults follow each other and overlap. The guarantees are checked by what callers and workers observe.
A seed reproduces the choice of faults and jobs, but not their timing.

Usage: scripts/soak.py [--seeds FIRST-LAST | --file SEEDS] [--seconds S] [--hosts N] [--workers N]
                       [--workers-per-owner N] [--callers N] [--cpu-share S] [--partitions KIND ...]
                       [--silences] [--returns] [--keep] [--until-broken]

--hosts 7 --workers 48 --callers 16 --cpu-share 0.25 approaches the sizes of amman-bake, at a lower rate of jobs.
"""
import argparse
import random
import signal
import sys
import threading
import time

from soak_callers import Callers
from soak_site import Site

RECOVERY_BOUND_S = 60.0
# A revoked key must no longer work this long after the operator's write.
KEY_REVOCATION_BOUND_S = 5.0
# Bandwidths of links to the store that carry a desired state of MAX_UNUSED_QUEUES in some 0.8 to 4 s.
MIN_LINK_BYTES_PER_S = 300_000
MAX_LINK_BYTES_PER_S = 1_500_000
MAX_UNUSED_QUEUES = 4000
# Processors of the stand-in's workers, and how long they have fewer. A smaller capacity counts after 4.5 s.
WORKER_CORES = 4
RESIZED_S = 7.0
# The stand-in's zones, and the time after which nothing may be started in a zone that the operator evacuates.
ZONES = 3
EVACUATION_BOUND_S = 5.0
MIN_QUEUES_CHANGED = 1000
# At most half of MAX_UNUSED_QUEUES, so that they can always be either added or removed.
MAX_QUEUES_CHANGED = 2000
# An isolated owner commands workers for 6 s, and gives up those that it doesn't reach after 4.1 s.
MIN_ISOLATED_S = 4.5
MAX_ISOLATED_S = 9.0
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 3.0
# How many workers in a row start the same task and are silent from then on. A job was once shown as failed after four
# of them, or after five under as many owners, if they were silent for several times the lease of 4 s.
SILENCES = [1, 4, 5, 6]
# Workers that are heard of again before the last of four is given up, 16 s after the first start, are the other case.
SILENCE_RANGES_S = [(2.0, 10.0), (16.0, 24.0), (16.0, 24.0)]
# So that about half of 8 workers are silent.
MIN_BETWEEN_SILENCES_S = 4.0
MAX_BETWEEN_SILENCES_S = 12.0
# Workers that crash are back after this time, and fall silent some time after that: later than they are claimed, and
# before the longest lease ends, of 10 s, that a call to the former incarnation may have granted.
RETURNED_AFTER_S = (0.1, 0.7)
SILENT_AFTER_RETURN_S = (0.3, 3.0)
SILENT_AFTER_RETURN_FOR_S = (5.0, 11.0)
# The share of jobs with tasks that last that long.
LONG_SHARE = 0.12
# When an owner is killed after a silence has begun: the start is announced by then, and the worker isn't given up.
KILLED_AFTER_SILENCE_S = 0.3


class Faults:
    """Injects faults, one after the other and overlapping."""

    def __init__(self, site, rng, partitions_rng, silences_rng):
        """Partitions and common pauses are drawn from `partitions_rng`, and workers that fall silent from
        `silences_rng`: older seeds choose the others as before."""
        self._site = site
        self._rng = rng
        self._partitions_rng = partitions_rng
        self._silences_rng = silences_rng
        self._partition_kinds = ["silent", "refused"]
        self._isolated = None
        self._undo_threads = []
        # Hosts whose daemon is being ended and restarted.
        self._restarting = set()
        # The bandwidth of each link that is narrow during the whole run, and during the final check.
        self._lasting_rates = {}
        # Held while a fault is injected, since a series injects its faults on a thread of its own.
        self._lock = threading.Lock()
        self.done = []

    def run(self, seconds, only_partitions=None, only_silences=False, only_returns=False):
        """Injects faults for some time; with `only_partitions`, only partitions of these kinds and common pauses, with
        `only_silences`, only workers that fall silent, and kills of the owner meanwhile, and with `only_returns`, only
        workers that return and fall silent, and such kills."""
        end = time.monotonic() + seconds
        if only_returns:
            while time.monotonic() < end:
                self._return_workers()
        elif only_partitions:
            self._partition_kinds = only_partitions
            self._run_partitions(end)
        elif only_silences:
            silences = threading.Thread(target=self._run_silences, args=(end,))
            silences.start()
            self._kill_owners_after_silences(end)
            silences.join()
        else:
            silences = threading.Thread(target=self._run_silences, args=(end,))
            silences.start()
            partitions = threading.Thread(target=self._run_partitions, args=(end,))
            partitions.start()
            self._run_others(end)
            partitions.join()
            silences.join()
        for thread in self._undo_threads:
            thread.join()

    def _run_partitions(self, end):
        while time.monotonic() < end:
            time.sleep(self._partitions_rng.uniform(0.3, 3.0))
            with self._lock:
                self._partitions_rng.choice([self._isolate_owner, self._isolate_owner, self._pause_all])()

    def _run_silences(self, end):
        # The first jobs are likely to be cancelled.
        time.sleep(1.0)
        while time.monotonic() < end:
            count = self._silences_rng.choice(SILENCES)
            silent_s = self._silences_rng.uniform(*self._silences_rng.choice(SILENCE_RANGES_S))
            with self._lock:
                self._record(f"{count} workers silent for {silent_s:.1f} s after a start")
                self._site.fault(silences=count, ms=round(silent_s * 1000))
            time.sleep(min(self._silences_rng.uniform(MIN_BETWEEN_SILENCES_S, MAX_BETWEEN_SILENCES_S),
                           max(0.0, end - time.monotonic())))

    def _kill_owners_after_silences(self, end):
        """Kills an owner after each silence, or none in this run."""
        kills = self._rng.random() < 0.5
        begun = 0
        while time.monotonic() < end:
            before, begun = begun, self._site.truth()["silences"]
            if begun > before and kills:
                time.sleep(KILLED_AFTER_SILENCE_S)
                with self._lock:
                    self._kill_owner(0.5)
            time.sleep(0.05)

    def _run_others(self, end):
        if self._rng.random() < 0.5:
            self._narrow_links_for_good()
        while time.monotonic() < end:
            with self._lock:
                self._rng.choice(self._kinds())()
            time.sleep(self._rng.uniform(0.1, 1.0))
        if self._rng.random() < 0.5:
            # So that hosts often have to recover with a large desired state.
            self._grow_behind_narrow_links()

    def _kinds(self):
        return [self._kill, self._kill, self._pause, self._terminate, self._kill_all, self._store, self._store,
                self._link, self._link, self._reset_links, self._worker, self._worker, self._crash_worker,
                self._leave, self._change_key, self._resize_desired, self._resize_desired, self._narrow_links,
                self._narrow_links, self._grow_behind_narrow_links, self._evacuate, self._evacuate]

    def _later(self, seconds, undo):
        def run():
            time.sleep(seconds)
            undo()
        thread = threading.Thread(target=run)
        thread.start()
        self._undo_threads.append(thread)

    def _in_series(self, steps):
        """Injects faults one after the other; each step is a pause in seconds before a fault, and the fault."""
        def run():
            for pause_s, inject in steps:
                time.sleep(pause_s)
                with self._lock:
                    inject()
        self._later(0, run)

    def _record(self, what):
        self.done.append(what)

    def _hosts(self):
        return [host for host in range(self._site.hosts)
                if host not in self._restarting and self._site.is_running(host)]

    def _host(self):
        hosts = self._hosts()
        return self._rng.choice(hosts) if hosts else None

    def _restart(self, host):
        self._site.start_host(host)
        self._restarting.discard(host)

    def _some_hosts(self):
        return sorted(self._rng.sample(range(self._site.hosts), self._rng.randrange(1, self._site.hosts + 1)))

    def _kill(self):
        host = self._host()
        if host is not None:
            self._kill_host(host, self._rng.uniform(0.1, 1.5))

    def _kill_host(self, host, seconds):
        self._record(f"kill {host}")
        self._restarting.add(host)
        self._site.end_host(host, signal.SIGKILL)
        self._later(seconds, lambda: self._restart(host))

    def _kill_owner(self, seconds):
        shards = self._site.shards()
        owner = self._site.owner(self._rng.randrange(shards) if shards > 1 else 0)
        if owner in self._hosts():
            self._kill_host(owner, seconds)

    def _kill_all(self):
        hosts = self._hosts()
        self._record("kill all")
        self._restarting.update(hosts)
        for host in hosts:
            self._site.end_host(host, signal.SIGKILL)
        self._later(self._rng.uniform(0.1, 1.0), lambda: [self._restart(host) for host in hosts])

    def _pause(self):
        host = self._host()
        if host is not None:
            self._record(f"pause {host}")
            self._site.signal_host(host, signal.SIGSTOP)
            self._later(self._rng.uniform(0.3, 4.0), lambda: self._site.wake_host(host))

    def _pause_all(self):
        self._record("pause all")
        for host in self._hosts():
            self._site.signal_host(host, signal.SIGSTOP)
            self._later(self._partitions_rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S),
                        lambda host=host: self._site.wake_host(host))

    def _isolate_owner(self):
        """Isolates an owner together with a zone of the workers."""
        zone = self._partitions_rng.randrange(ZONES)
        seconds = self._partitions_rng.uniform(MIN_ISOLATED_S, MAX_ISOLATED_S)
        kind = self._partitions_rng.choice(self._partition_kinds)
        owner = self._site.owner(self._partitions_rng.randrange(self._site.shards()))
        if self._isolated is not None or owner not in self._hosts():
            return
        self._isolated = owner
        self._record(f"isolate {owner} with zone-{zone}, {kind}, for {seconds:.1f} s")
        self._site.isolate(owner, range(zone, self._site.workers, ZONES), kind == "refused")

        def rejoin():
            self._site.rejoin(owner)
            self._isolated = None
        self._later(seconds, rejoin)

    def _terminate(self):
        host = self._host()
        if host is not None:
            self._record(f"terminate {host}")
            self._restarting.add(host)

            def end():
                self._site.signal_host(host, signal.SIGCONT)
                self._site.end_host(host, signal.SIGTERM)
                self._restart(host)
            self._later(0, end)

    def _store(self):
        kind = self._rng.choice(["refusing", "silent", "losing", "late", "slow"])
        self._record(f"store {kind}")
        self._site.fault(store=kind, permille=self._rng.randrange(100, 600))
        self._later(self._rng.uniform(0.3, 4.0), lambda: self._site.fault(store="none"))

    def _link(self):
        host = self._rng.randrange(self._site.hosts)
        mode = self._rng.choice(["cut", "deaf", "mute", "delay"])
        self._disturb_link(host, mode, self._rng.uniform(0.3, 5.0))

    def _disturb_link(self, host, mode, seconds):
        self._record(f"link {host} {mode}")
        self._site.links[host].set_mode(mode)
        self._later(seconds, self._site.links[host].repair)

    def _reset_links(self):
        self._record("reset links")
        for link in self._site.links.values():
            if self._rng.random() < 0.5:
                link.reset()

    def _worker(self):
        worker = f"worker-{self._rng.randrange(self._site.workers)}"
        kind = self._rng.choice(["silent", "late", "late", "failing", "refusing"])
        self._record(f"{worker} {kind}")
        self._site.fault(worker=worker, fault=kind, permille=self._rng.randrange(100, 700))
        self._later(self._rng.uniform(0.3, 8.0), lambda: self._site.fault(worker=worker, fault="none"))

    def _crash_worker(self):
        worker = f"worker-{self._rng.randrange(self._site.workers)}"
        self._record(f"{worker} crash")
        self._site.fault(worker=worker, do="crash")
        self._later(self._rng.uniform(0.2, 7.0), lambda: self._site.fault(worker=worker, do="restart"))

    def _return_workers(self):
        """Half of the workers crash and are back soon. They fall silent after that, and the owner may be killed."""
        workers = [f"worker-{number}" for number in range(self._rng.randrange(2), self._site.workers, 2)]
        down_s = self._rng.uniform(*RETURNED_AFTER_S)
        silent_s = self._rng.uniform(*SILENT_AFTER_RETURN_FOR_S)
        self._record(f"{len(workers)} workers return after {down_s:.1f} s, later silent for {silent_s:.1f} s")
        for worker in workers:
            self._site.fault(worker=worker, do="restart_unnoticed", ms=round(down_s * 1000))
        time.sleep(down_s + self._rng.uniform(*SILENT_AFTER_RETURN_S))
        kill = self._rng.choice([None, "before", "after"])
        if kill == "before":
            self._kill_owner(0.5)
            time.sleep(self._rng.uniform(0.0, 1.5))
        for worker in workers:
            self._site.fault(worker=worker, fault="silent", permille=1000)
        if kill == "after":
            time.sleep(self._rng.uniform(0.0, 1.5))
            self._kill_owner(0.5)
        time.sleep(silent_s)
        for worker in workers:
            self._site.fault(worker=worker, fault="none")
        time.sleep(self._rng.uniform(0.5, 3.0))

    def _leave(self):
        worker = f"worker-{self._rng.randrange(self._site.workers)}"
        self._record(f"{worker} leaves")
        self._site.fault(worker=worker, do="drain")

        def leave():
            self._site.fault(worker=worker, do="leave")
            time.sleep(2)
            self._site.fault(worker=worker, do="restart")
        self._later(self._rng.uniform(2.0, 4.0), leave)

    def resize_workers(self):
        """Workers shrink while the owner changes, and grow again. Without other faults, so that all hosts learn of it.
        """
        for worker in self._rng.sample(range(self._site.workers), self._site.workers // 2):
            cpu = self._rng.randrange(1, WORKER_CORES) * 1000
            self._record(f"worker-{worker} has {cpu} millicores")
            self._site.fault(worker=f"worker-{worker}", cpu=cpu)
            self._later(RESIZED_S, lambda worker=worker: self._site.fault(worker=f"worker-{worker}",
                                                                         cpu=WORKER_CORES * 1000))
        self._kill_owner(0.5)
        time.sleep(RESIZED_S)
        for thread in self._undo_threads:
            thread.join()

    def _evacuate(self):
        """The operator evacuates a zone for a while. The bound isn't checked: hosts may not reach the store."""
        zone = f"zone-{self._rng.randrange(ZONES)}"
        self._record(f"evacuate {zone}")
        self._site.fault(evacuate=zone, active=True)
        self._later(self._rng.uniform(0.3, 8.0), lambda: self._site.fault(evacuate=zone, active=False))

    def evacuate_zones(self):
        """The operator evacuates two zones one after the other, and the owner is killed. Without other faults, so that
        all hosts reach the store and the bound holds. Returns a violation if no work returns to a zone.
        """
        first, second = self._rng.sample(range(ZONES), 2)
        for zone in (first, second):
            self._record(f"evacuate zone-{zone}, checked")
            self._site.fault(evacuate=f"zone-{zone}", active=True, bound_ms=round(EVACUATION_BOUND_S * 1000))
            time.sleep(self._rng.uniform(0.0, 2.0))
            self._kill_owner(self._rng.uniform(0.1, 1.5))
        time.sleep(EVACUATION_BOUND_S + 2.0)
        broken = []
        for zone in (f"zone-{first}", f"zone-{second}"):
            before = self._site.truth()["starts_by_zone"].get(zone, 0)
            self._site.fault(evacuate=zone, active=False)
            end = time.monotonic() + RECOVERY_BOUND_S
            while self._site.truth()["starts_by_zone"].get(zone, 0) == before and time.monotonic() < end:
                time.sleep(0.1)
            if time.monotonic() >= end:
                broken.append(f"nothing started in {zone} {RECOVERY_BOUND_S} s after its evacuation")
        for thread in self._undo_threads:
            thread.join()
        return broken

    def _change_key(self):
        """Revokes the key of an organisation, and assigns another one."""
        name = self._rng.choice(sorted(self._site.keys))
        self._record(f"key of {name}")
        self._site.version += 1
        self._site.keys[name] = f"key-{name}-{self._site.version}"
        self._site.write_desired()

    def _resize_desired(self):
        """The operator adds or removes many queues, more often the former, by up to three writes in a second or two."""
        self._in_series([(self._rng.uniform(0.0, 0.7), lambda added=added: self._change_queues(added))
                         for added in self._queues_changed([-1, 1, 1, 1])])

    def _queues_changed(self, signs):
        return [self._rng.choice(signs) * self._rng.randrange(MIN_QUEUES_CHANGED, MAX_QUEUES_CHANGED + 1)
                for _ in range(self._rng.randrange(1, 4))]

    def _change_queues(self, added):
        """Adds queues, or removes them where there would be too many; the reverse if `added` is negative."""
        if not 0 <= self._site.unused_queues + added <= MAX_UNUSED_QUEUES:
            added = -added
        self._site.version += 1
        self._site.unused_queues += added
        self._record(f"{self._site.unused_queues} unused queues")
        self._site.write_desired()

    def _rate(self):
        return round(MIN_LINK_BYTES_PER_S * (MAX_LINK_BYTES_PER_S / MIN_LINK_BYTES_PER_S) ** self._rng.random())

    def _narrow_links_for_good(self):
        # Of the same bandwidth, so that none of these hosts can supply the others if a state is too large for it.
        rate = self._rate()
        hosts = self._rng.choice([self._some_hosts(), range(self._site.hosts)])
        self._lasting_rates = {host: rate for host in hosts}
        self._record(f"narrow links during the whole run {self._lasting_rates}")
        for host, rate in self._lasting_rates.items():
            self._site.links[host].limit_rate(rate)

    def _narrow_links(self):
        self._narrow({host: self._rate() for host in self._some_hosts()}, self._rng.uniform(0.5, 8.0))

    def _narrow(self, rates, seconds):
        self._record(f"narrow links {rates}")
        for host, rate in rates.items():
            self._site.links[host].limit_rate(rate)
        self._later(seconds, lambda: self._widen(rates))

    def _widen(self, hosts):
        for host in hosts:
            self._site.links[host].limit_rate(self._lasting_rates.get(host))

    def _grow_behind_narrow_links(self):
        """Lets the desired state grow, cuts or silences links that transfer it, and kills the owner between changes."""
        rates = {host: self._rate() for host in self._some_hosts()}
        mode = self._rng.choice(["cut", "mute"])
        narrow_s, away_s, restart_s = (self._rng.uniform(*range_s) for range_s in ((2, 10), (0.3, 5), (0.1, 1.5)))
        grow = [lambda added=added: self._change_queues(added) for added in self._queues_changed([1])]
        disturb = [lambda host=host: self._disturb_link(host, mode, away_s) for host in self._some_hosts()]
        faults = [lambda: self._narrow(rates, narrow_s), grow[0], *disturb, lambda: self._kill_owner(restart_s),
                  *grow[1:]]
        self._in_series([(self._rng.uniform(0.0, 0.5), fault) for fault in faults])


def soak(seed, arguments):
    """Runs one seed; returns the violations that were found, and a summary line."""
    rng = random.Random(seed)
    site = Site(seed, arguments.hosts, arguments.workers, workers_per_owner=arguments.workers_per_owner,
                cpu_share=arguments.cpu_share, relays_peers=True)
    broken = []
    try:
        site.start()
        callers = Callers(site, random.Random(seed + 1), KEY_REVOCATION_BOUND_S, arguments.callers,
                          LONG_SHARE if arguments.returns else 0.0)
        callers.start()
        faults = Faults(site, rng, random.Random(seed + 2), random.Random(seed + 3))
        faults.run(arguments.seconds, arguments.partitions, arguments.silences, arguments.returns)
        site.fault(store="none")
        for link in site.links.values():
            link.repair()
        for worker in range(site.workers):
            site.fault(worker=f"worker-{worker}", fault="none")
        faults.resize_workers()
        broken += faults.evacuate_zones()
        broken += callers.finish(RECOVERY_BOUND_S)
        broken += site.truth()["broken"] + [f"ended by itself: {what}" for what in site.ended_by_itself]
        line = f"{callers.summary()}, {site.truth()['starts']} starts, {len(faults.done)} faults, "
        line += f"{site.truth()['silences']} silences"
        if broken:
            line += f"; faults: {faults.done}; logs in {site.folder}"
    finally:
        site.close(keep_logs=bool(broken) or arguments.keep)
    return broken, line


def seeds_of(arguments):
    if arguments.file:
        with open(arguments.file, encoding="utf-8") as lines:
            return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]
    first, _, last = arguments.seeds.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default=str(random.SystemRandom().randrange(1, 1 << 31)))
    parser.add_argument("--file", help="a file with a seed at the start of each line")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long faults are injected for each seed")
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--workers-per-owner", type=int, help="divide the cell into shards of about that many workers")
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument("--cpu-share", type=float, default=1.0, help="the part of a processor that the settings name")
    parser.add_argument("--partitions", nargs="+", choices=["silent", "refused"],
                        help="only isolate owners, by partitions of these kinds, and pause all hosts at once")
    parser.add_argument("--silences", action="store_true",
                        help="only let workers fall silent after a start, and kill owners meanwhile")
    parser.add_argument("--returns", action="store_true",
                        help="only restart workers that fall silent soon after, and kill owners meanwhile")
    parser.add_argument("--keep", action="store_true", help="keep the logs of seeds without violations too")
    parser.add_argument("--until-broken", action="store_true", help="stop after the first seed with a violation")
    arguments = parser.parse_args()
    failed = []
    for seed in seeds_of(arguments):
        broken, line = soak(seed, arguments)
        print(f"seed {seed}: {'BROKEN' if broken else 'ok'}: {line}", flush=True)
        for what in broken:
            print(f"  {what}", flush=True)
        if broken:
            failed.append(seed)
            if arguments.until_broken:
                break
    print(f"soak: {'broken under seeds ' + str(failed) if failed else 'all promises kept'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

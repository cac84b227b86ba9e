"""The callers of the soak test. They submit, retry and cancel jobs, request their states, and check each answer against
the earlier ones."""
import http.client
import json
import random
import threading
import time

from cell import HOST
from soak_site import CALLERS_HOST

PAUSE_S = 0.05
TIMEOUT_S = 3.0
# Callers that leave before the answer to their submission, and cancel the job at another host.
LEAVING_SHARE = 0.1
MAX_STAY_S = 0.3
MAX_TRIES = 5
CONFIRMATION_MARGIN_S = 1.0
# Each deadly job takes two or three workers away for three seconds.
DEADLY_SHARE = 0.01


class Job:
    def __init__(self, key, queue, organisation, steps):
        self.key = key
        self.queue = queue
        self.organisation = organisation
        self.steps = steps
        # "accepted", "never" (each attempt to submit it was refused) or "unknown".
        self.outcome = "unknown"
        self.is_cancelled = False
        # Whether a cancellation was answered with "no such job".
        self.is_called_unknown = False
        # Its first task crashes each worker this long after its start; 0 for none.
        self.deadly_ms = 0

    @property
    def tasks(self):
        return sum(step["count"] for step in self.steps)

    def body(self):
        plan = {"steps": [{"ms": step["estimate_ms"] + self.deadly_ms, "cpu": step["cpu"],
                           "gang": step["count"] if step.get("gang") else 0} for step in self.steps]}
        plan["steps"][0]["deadly_ms"] = self.deadly_ms
        return json.dumps({"spec": json.dumps(plan), "job_steps": self.steps})


class Callers:
    """Several threads, each with a persistent connection to each host."""

    def __init__(self, site, rng, key_bound_s, count, long_share=0.0):
        """`long_share` is the share of jobs whose tasks run for many seconds."""
        self._site = site
        self._rng = rng
        # Of its own, so that the other choices of a seed stay as they are.
        self._leaving_rng = random.Random(rng.getstate()[1][0])
        self._key_bound_s = key_bound_s
        self._count = count
        self._long_share = long_share
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = []
        self.jobs = []
        self.broken = []
        self._revoked_at = {}

    def start(self):
        for number in range(self._count):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self._threads.append(thread)

    def summary(self):
        outcomes = [job.outcome for job in self.jobs]
        return (f"{len(outcomes)} jobs, {outcomes.count('accepted')} accepted, {outcomes.count('never')} refused, "
                f"{outcomes.count('unknown')} unknown, {sum(job.is_cancelled for job in self.jobs)} cancelled")

    # -- calls ----------------------------------------------------------------------------------------------------

    def _call(self, connections, host, method, path, key, body=None, timeout=TIMEOUT_S):
        """Returns (status, parsed body), or (None, None) if no complete answer arrived. The timeout is that of a
        connection that is opened for the call."""
        connection = connections.get(host)
        if connection is None:
            connection = http.client.HTTPConnection(HOST, self._site.port(host, 0), timeout=timeout)
            connections[host] = connection
        try:
            connection.request(method, path, body, {"Host": CALLERS_HOST, "Authorization": f"Bearer {key}"})
            response = connection.getresponse()
            text = response.read().decode()
            if response.will_close:
                connections.pop(host).close()
            return response.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            connections.pop(host).close()
            return None, None

    def _path(self, job):
        return f"/{job.queue}/{job.key}"

    def _key(self, job):
        return self._site.keys[job.organisation]

    # -- work -----------------------------------------------------------------------------------------------------

    def _run(self, number):
        connections = {}
        while not self._stopping.is_set():
            with self._lock:
                job = self._new_job()
                is_leaving = self._leaving_rng.random() < LEAVING_SHARE
            if is_leaving:
                self._submit_and_leave(connections, job)
            else:
                self._submit(connections, job)
            with self._lock:
                other = self._rng.choice(self.jobs)
                is_cancel = self._rng.random() < 0.05
            if is_cancel:
                self._cancel(connections, other, self._rng.randrange(self._site.hosts))
            else:
                self._check_state(connections, other)
            if number == 0:
                self._try_revoked_keys(connections)
            time.sleep(PAUSE_S)

    def _new_job(self):
        steps = []
        for position in range(self._rng.choice([1, 1, 1, 2])):
            step = {"count": self._rng.randrange(1, 5), "cpu": self._rng.choice([250, 500, 1000]),
                    "mem_mb": 64, "estimate_ms": self._rng.randrange(20, 600)}
            if self._rng.random() < 0.3 and step["count"] > 1:
                step["gang"] = True
            if position > 0:
                step["depends_on"] = [position - 1]
            steps.append(step)
        job = Job(f"{self._rng.getrandbits(63) + 1:016x}", self._rng.choice(["plain", "advised"]),
                  self._rng.choice(sorted(self._site.keys)), steps)
        if self._long_share and self._rng.random() < self._long_share:
            for step in steps:
                step["estimate_ms"] = self._rng.randrange(5000, 12000)
                step["cpu"] = 250
        if not steps[0].get("gang") and self._rng.random() < DEADLY_SHARE:
            job.deadly_ms = self._rng.choice([10, 10, 50, 150])
        self.jobs.append(job)
        return job

    def _submit(self, connections, job):
        refused = 0
        for attempt in range(MAX_TRIES):
            host = self._rng.randrange(self._site.hosts)
            status, _ = self._call(connections, host, "POST", self._path(job), self._key(job), job.body())
            if status == 200:
                job.outcome = "accepted"
                return
            if status in (429, 503, 401):
                refused += 1
            elif status is not None and status != 504:
                self.broken.append(f"{job.key}: unexpected answer {status} to its submission")
            time.sleep(0.1 * attempt)
        if refused == MAX_TRIES:
            job.outcome = "never"

    def _submit_and_leave(self, connections, job):
        """Hands the job in, leaves before long, and cancels it at another host."""
        with self._lock:
            first, second = self._leaving_rng.sample(range(self._site.hosts), 2)
            stay_s = self._leaving_rng.uniform(0.01, MAX_STAY_S)
        job.is_cancelled = True
        self._call({}, first, "POST", self._path(job), self._key(job), job.body(), stay_s)
        for _ in range(MAX_TRIES):
            if self._cancel(connections, job, second) in (200, 410):
                return

    def _check_state(self, connections, job):
        outcome = job.outcome
        host = self._rng.randrange(self._site.hosts)
        status, answer = self._call(connections, host, "GET", self._path(job), self._key(job))
        if status == 410 and outcome == "accepted":
            self.broken.append(f"{job.key}: accepted, but unknown at host {host}")
        if status == 200 and answer.get("state") == "completed":
            self._check_completed(job)
        if status == 200 and answer.get("state") == "cancelled" and not job.is_cancelled:
            self.broken.append(f"{job.key}: shown as cancelled without a request to cancel it")

    def _check_completed(self, job):
        done = self._site.truth(job.key)["done"]
        if done != job.tasks:
            self.broken.append(f"{job.key}: shown as completed with {done} of {job.tasks} tasks done")

    def _cancel(self, connections, job, host):
        job.is_cancelled = True  # Set before the call, which may take effect without an answer.
        status, _ = self._call(connections, host, "DELETE", self._path(job), self._key(job))
        job.is_called_unknown |= status == 410
        return status

    def _try_revoked_keys(self, connections):
        """Checks that no host accepts a key that was revoked longer than the bound ago."""
        now = time.monotonic()
        for name, key in list(self._site.keys.items()):
            self._revoked_at.setdefault(name, {})
            known = self._revoked_at[name]
            for other in known:
                known[other] = known[other] or (now if other != key else None)
            known.setdefault(key, None)
            for other, since in list(known.items()):
                if since is None or now - since < self._key_bound_s:
                    continue
                job = f"{self._rng.getrandbits(63) + 1:016x}"
                host = self._rng.randrange(self._site.hosts)
                steps = [{"count": 1, "cpu": 100, "mem_mb": 1, "estimate_ms": 10}]
                status, _ = self._call(connections, host, "POST", f"/plain/{job}", other,
                                       json.dumps({"spec": "{}", "job_steps": steps}))
                if status == 200:
                    self.broken.append(f"{job}: host {host} accepted a key revoked {now - since:.1f} s ago")

    # -- final check -----------------------------------------------------------------------------------------

    def finish(self, bound_s):
        """Waits until every accepted job has finished and every host answers; returns the violations that were found.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        connections = {}
        open_jobs = [job for job in self.jobs if job.outcome == "accepted"]
        now = time.monotonic()
        end = now + bound_s
        # Until then a host that can no longer confirm its desired state may still answer.
        confirmed_from = now + self._key_bound_s + CONFIRMATION_MARGIN_S
        silent = {host: None for host in range(self._site.hosts)}
        while (open_jobs or silent) and time.monotonic() < end:
            if time.monotonic() >= confirmed_from:
                silent = self._without_answer(connections, silent)
            open_jobs = [job for job in open_jobs if not self._has_ended(connections, job)]
            time.sleep(0.1)
        broken = [f"{job.key}: accepted, but not finished {bound_s} s after the faults ended" for job in open_jobs]
        broken += [f"host {host} answered no state query {bound_s} s after the faults ended, but {status}"
                   for host, status in silent.items()]
        for job in self.jobs:
            if job.outcome == "never" and self._site.truth(job.key)["has_started"]:
                broken.append(f"{job.key}: refused each time, but started")
            if job.is_called_unknown and self._site.truth(job.key)["has_started"]:
                broken.append(f"{job.key}: its cancellation was answered with 410, but it started")
        return self.broken + broken

    def _without_answer(self, connections, hosts):
        """Asks `hosts` for the state of the newest job; returns those that don't answer, each with its status."""
        job = next((job for job in reversed(self.jobs) if job.outcome == "accepted"), self.jobs[-1])
        # A host may truly say that it doesn't know a job which may not have been accepted.
        answers = (200,) if job.outcome == "accepted" else (200, 410)
        statuses = {host: self._call(connections, host, "GET", self._path(job), self._key(job))[0] for host in hosts}
        self.broken += [f"{job.key}: accepted, but unknown at host {host}" for host, status in statuses.items()
                        if status == 410 and 410 not in answers]
        return {host: status for host, status in statuses.items() if status not in answers}

    def _has_ended(self, connections, job):
        host = self._rng.randrange(self._site.hosts)
        status, answer = self._call(connections, host, "GET", self._path(job), self._key(job))
        if status == 410:
            self.broken.append(f"{job.key}: accepted, but unknown at host {host}")
            return True
        state = answer.get("state") if status == 200 else None
        if state == "completed":
            self._check_completed(job)
        if state == "failed" and not job.deadly_ms:
            self.broken.append(f"{job.key}: shown as failed")
        return state in ("completed", "failed", "cancelled")

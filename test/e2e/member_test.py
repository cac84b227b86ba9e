"""End-to-end tests of the daemon as a member of the platform, against the stand-in site.

Each test waits for conditions with generous time-outs; none asserts on speed.
"""
import json
import pathlib
import re
import signal
import subprocess
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from cell import NoAnswer, call  # noqa: E402  (needs the path above)
from soak_site import BUILD, CALLERS_HOST, Site  # noqa: E402

TIMEOUT_S = 60.0
KEY_REVOCATION_S = 5.0
SEED = 1
KEY = "key-school"
# The link carries the text of a desired state with that many queues in some two seconds.
MANY_QUEUES = 4000
SLOW_LINK_BYTES_PER_S = 600_000
# A worker's lease is 4 s long. Workers that are heard of again before four of them have fallen silent hide the failure.
SILENT_S = 20.0
LONGER_THAN_A_LEASE_MS = 6000
MAX_BODY_BYTES = 262144


class MemberStory(unittest.TestCase):
    """A site of three entry hosts and four workers. Calls go to the host that a test names."""

    def new_site(self):
        return Site(SEED, hosts=3, workers=4)

    def setUp(self):
        self.site = self.new_site()
        self.addCleanup(lambda: self.site.close(keep_logs=False))
        self.site.start()
        self.jobs = 0

    # -- calls ----------------------------------------------------------------------------------------------------

    def ask(self, host, method, job, body=None, key=KEY):
        """Calls a host about a job. Returns (status, answer), or (None, None) without an answer."""
        try:
            return call(self.site.port(host, 0), method, f"/plain/{job}", body, key, timeout=5.0, host=CALLERS_HOST)
        except NoAnswer:
            return None, None

    def submit(self, host, tasks=1, estimate_ms=50, key=KEY):
        """Submits a job, repeatedly until it is accepted. Returns its id."""
        self.jobs += 1
        job = f"{self.jobs:016x}"
        steps = [{"count": tasks, "cpu": 250, "mem_mb": 16, "estimate_ms": estimate_ms}]
        body = {"spec": json.dumps({"steps": [{"ms": estimate_ms, "cpu": 250, "gang": 0}]}), "job_steps": steps}
        self.wait(lambda: self.ask(host, "POST", job, body, key)[0] == 200, f"job {job} is accepted")
        return job

    def wait(self, condition, what):
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.02)
        self.fail(f"expected within {TIMEOUT_S} s: {what}; logs in {self.site.folder}")

    def owner(self, but=None):
        """Returns the host whose term began last, or None if there is none or it is `but`."""
        last = self.site.owner()
        return None if last == but else last

    def known_owner(self):
        """Waits until the logs name an owner, as log lines are written with a delay. Returns that host."""
        self.wait(lambda: self.owner() is not None, "a log line of a term that began")
        return self.owner()

    def has_applied(self, host, version):
        log = (self.site.folder / f"host-{host}.log").read_text(encoding="utf-8")
        return f"event=desired_applied version={version} " in log

    # -- tests ----------------------------------------------------------------------------------------------------

    def test_a_paused_owner_does_not_deny_a_job_of_its_successor(self):
        # A resumed owner that answers from its own records would report a job as unknown that the next owner accepted.
        self.submit(0)
        first_owner = self.known_owner()
        other = next(host for host in range(self.site.hosts) if host != first_owner)
        self.site.signal_host(first_owner, signal.SIGSTOP)
        self.wait(lambda: self.owner(but=first_owner) is not None, "another host owns the cell")
        job = self.submit(other)
        self.site.wake_host(first_owner)
        statuses = []
        # The resumed owner soon learns of the new one. Its answers until then must not be 410 either.
        self.wait(lambda: statuses.append(self.ask(first_owner, "GET", job)[0]) or statuses[-1] == 200,
                  "the job's state")
        self.assertNotIn(410, statuses, "expected no answer that the job is unknown, as it was accepted before")

    def test_a_job_that_was_never_handed_in_is_unknown_at_every_host(self):
        self.submit(0)
        for host in range(self.site.hosts):
            self.wait(lambda host=host: self.ask(host, "GET", f"{0xfeed:016x}")[0] == 410, "an unknown job")
            self.wait(lambda host=host: self.ask(host, "DELETE", f"{0xfeed:016x}")[0] == 410, "an unknown job")

    def test_jobs_of_a_killed_owner_are_completed(self):
        jobs = [self.submit(0, tasks=4, estimate_ms=1500) for _ in range(6)]
        first_owner = self.known_owner()
        self.site.end_host(first_owner, signal.SIGKILL)
        other = next(host for host in range(self.site.hosts) if host != first_owner)
        for job in jobs:
            self.wait(lambda job=job: (self.ask(other, "GET", job)[1] or {}).get("state") == "completed",
                      f"job {job} is completed")
        self.assertEqual([], self.site.truth()["broken"])

    def test_an_owner_that_stops_hands_over_without_losing_jobs(self):
        jobs = [self.submit(0, tasks=4, estimate_ms=800) for _ in range(6)]
        first_owner = self.known_owner()
        self.site.end_host(first_owner, signal.SIGTERM)
        self.assertEqual([], self.site.ended_by_itself)
        other = next(host for host in range(self.site.hosts) if host != first_owner)
        for job in jobs:
            self.wait(lambda job=job: (self.ask(other, "GET", job)[1] or {}).get("state") == "completed",
                      f"job {job} is completed")
        self.assertEqual([], self.site.truth()["broken"])

    def test_a_desired_state_that_takes_seconds_to_read_is_applied_and_confirmed(self):
        # Regression test for incident inc1: a read of the desired state was given up before a slow link had carried it.
        job = self.submit(0)
        for link in self.site.links.values():
            link.limit_rate(SLOW_LINK_BYTES_PER_S)
        self.site.version += 1
        self.site.unused_queues = MANY_QUEUES
        self.site.write_desired()
        for host in range(self.site.hosts):
            self.wait(lambda host=host: self.has_applied(host, self.site.version),
                      f"host {host} applies version {self.site.version}")
        # A host that can't confirm its state refuses calls with keys from then on.
        time.sleep(KEY_REVOCATION_S + 1.0)
        for host in range(self.site.hosts):
            self.assertEqual(200, self.ask(host, "GET", job)[0], f"expected host {host} to confirm its desired state")

    def test_a_job_is_not_shown_as_failed_because_its_workers_fell_silent_and_live_on(self):
        # Regression test for issue 48: after four workers in turn had started a job's only task and answered nothing
        # from then on, until their leases lapsed, they counted as crashed by the task, and the job as failed.
        self.site.fault(silences=4, ms=round(SILENT_S * 1000))
        job = self.submit(0, estimate_ms=LONGER_THAN_A_LEASE_MS)
        states = set()

        def has_ended():
            states.update((self.ask(host, "GET", job)[1] or {}).get("state") for host in range(self.site.hosts))
            return states & {"completed", "failed"}
        self.wait(has_ended, f"job {job} ends")
        self.assertNotIn("failed", states, f"expected no failure, as no run failed; logs in {self.site.folder}")
        self.assertEqual(4, self.site.truth()["silences"])
        self.assertEqual([], self.site.truth()["broken"])

    def test_a_job_of_the_greatest_size_is_accepted_through_each_host(self):
        # The owner gets it from the other hosts as a call with all fields named.
        step = {"count": 4, "cpu": 250, "mem_mb": 16, "estimate_ms": 50, "image": "i" * 150, "data_rack": "r1-1"}
        body = json.dumps({"spec": '"' * 1000, "job_steps": [step] * 1000})
        body += " " * (MAX_BODY_BYTES - len(body))
        self.assertEqual(MAX_BODY_BYTES, len(body))
        for host in range(self.site.hosts):
            job = f"{0xb16 + host:016x}"
            self.wait(lambda host=host, job=job: self.ask(host, "POST", job, body)[0] == 200, f"job {job} is accepted")
            for other in range(self.site.hosts):
                self.wait(lambda other=other, job=job: self.ask(other, "GET", job)[0] == 200, f"the state of job {job}")

    def explain(self, host, *arguments, text=""):
        """Runs dotterelctl against the host's metrics address. Returns (exit code, answer)."""
        command = [BUILD / "dotterelctl", "--output", "json", "--entry", f"127.0.0.1:{self.site.port(host, 3)}", "explain"]
        ran = subprocess.run([*command, *arguments], input=text, capture_output=True, text=True, check=False,
                             timeout=TIMEOUT_S)
        return ran.returncode, json.loads(ran.stdout or "{}")

    def test_the_owner_explains_jobs_without_taking_them(self):
        job = self.submit(0, tasks=2, estimate_ms=100)
        owner = self.known_owner()
        self.wait(lambda: self.explain(owner, job)[1].get("state") == "done", "the job's end is explained")
        described = json.dumps({"job_steps": [{"count": 3, "cpu": 250, "mem_mb": 16, "estimate_ms": 50}]})
        queue = re.search(rf"event=job_taken job={job} queue=(\S+) organisation=(\S+)", self.log(owner))
        self.assertIsNotNone(queue, "expected a log line of the submitted job")
        code, answer = self.explain(owner, "-", "--queue", queue[1], "--organisation", queue[2], text=described)
        self.assertEqual(0, code, answer)
        self.assertNotIn("refused", answer)
        self.assertEqual(3, sum(choice["tasks"] for choice in answer["steps"][0]["would_run_on"]), answer)
        self.assertEqual(1, self.log(owner).count("event=job_taken"), "expected that nothing was submitted")
        other = next(host for host in range(self.site.hosts) if host != owner)
        self.assertEqual("not_owner", self.explain(other, job)[1].get("error"))

    def log(self, host):
        return (self.site.folder / f"host-{host}.log").read_text(encoding="utf-8")


if __name__ == "__main__":
    unittest.main()

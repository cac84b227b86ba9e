"""End-to-end stories of the daemon as a member of the platform, beside the stand-in site.

Each story waits for conditions within generous bounds; none asserts on speed.
"""
import json
import pathlib
import re
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from cell import NoAnswer, call  # noqa: E402  (needs the path above)
from soak_site import CALLERS_HOST, Site  # noqa: E402

BOUND = 60.0
SEED = 1
KEY = "key-school"


class MemberStory(unittest.TestCase):
    """Three hosts and four workers; calls go to one host."""

    def setUp(self):
        self.site = Site(SEED, hosts=3, workers=4)
        self.addCleanup(lambda: self.site.close(keep_logs=False))
        self.site.start()
        self.jobs = 0

    # -- calls ----------------------------------------------------------------------------------------------------

    def ask(self, host, method, job, body=None):
        """Returns (status, answer), or (None, None) where none came."""
        try:
            return call(self.site.port(host, 0), method, f"/plain/{job}", body, KEY, timeout=5.0, host=CALLERS_HOST)
        except NoAnswer:
            return None, None

    def hand_in(self, host, tasks=1, estimate_ms=50):
        """Hands a job in until it is accepted; returns its id."""
        self.jobs += 1
        job = f"{self.jobs:016x}"
        steps = [{"count": tasks, "cpu": 250, "mem_mb": 16, "estimate_ms": estimate_ms}]
        body = {"spec": json.dumps({"steps": [{"ms": estimate_ms, "cpu": 250, "gang": 0}]}), "job_steps": steps}
        self.wait(lambda: self.ask(host, "POST", job, body)[0] == 200, f"job {job} is accepted")
        return job

    def wait(self, holds, what):
        end = time.monotonic() + BOUND
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.02)
        self.fail(f"expected within {BOUND} s: {what}; logs in {self.site.folder}")

    def owner(self, but=None):
        """Returns the host whose term began last."""
        begun = {}
        for host in range(self.site.hosts):
            log = (self.site.folder / f"host-{host}.log").read_text(encoding="utf-8")
            begun.update((int(token), host) for token in re.findall(r"event=term_begun token=(\d+)", log))
        last = begun[max(begun)] if begun else None
        return None if last == but else last

    def known_owner(self):
        """Returns the owner once the logs tell: their lines come a little after what they tell of."""
        self.wait(lambda: self.owner() is not None, "a line that tells who owns the cell")
        return self.owner()

    # -- stories --------------------------------------------------------------------------------------------------

    def test_a_paused_owner_does_not_deny_a_job_of_its_successor(self):
        self.hand_in(0)
        old = self.known_owner()
        other = next(host for host in range(self.site.hosts) if host != old)
        self.site.signal_host(old, signal.SIGSTOP)
        self.wait(lambda: self.owner(but=old) is not None, "another host owns the cell")
        job = self.hand_in(other)
        self.site.wake_host(old)
        statuses = []
        # The old owner hears of the new one within a moment; what it says until then counts.
        self.wait(lambda: statuses.append(self.ask(old, "GET", job)[0]) or statuses[-1] == 200, "the job's state")
        self.assertNotIn(410, statuses, "expected no answer that the job is unknown, as it was accepted before")

    def test_a_job_that_was_never_handed_in_is_unknown_at_every_host(self):
        self.hand_in(0)
        for host in range(self.site.hosts):
            self.wait(lambda host=host: self.ask(host, "GET", f"{0xfeed:016x}")[0] == 410, "an unknown job")
            self.wait(lambda host=host: self.ask(host, "DELETE", f"{0xfeed:016x}")[0] == 410, "an unknown job")

    def test_jobs_of_a_killed_owner_go_on(self):
        jobs = [self.hand_in(0, tasks=4, estimate_ms=1500) for _ in range(6)]
        old = self.known_owner()
        self.site.end_host(old, signal.SIGKILL)
        other = next(host for host in range(self.site.hosts) if host != old)
        for job in jobs:
            self.wait(lambda job=job: (self.ask(other, "GET", job)[1] or {}).get("state") == "completed",
                      f"job {job} is completed")
        self.assertEqual([], self.site.truth()["broken"])

    def test_an_owner_that_is_told_to_stop_hands_over_and_loses_nothing(self):
        jobs = [self.hand_in(0, tasks=4, estimate_ms=800) for _ in range(6)]
        old = self.known_owner()
        self.site.end_host(old, signal.SIGTERM)
        self.assertEqual([], self.site.ended_by_itself)
        other = next(host for host in range(self.site.hosts) if host != old)
        for job in jobs:
            self.wait(lambda job=job: (self.ask(other, "GET", job)[1] or {}).get("state") == "completed",
                      f"job {job} is completed")
        self.assertEqual([], self.site.truth()["broken"])


if __name__ == "__main__":
    unittest.main()

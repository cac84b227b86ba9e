"""End-to-end tests of a cell that is divided into two shards, against the stand-in site.

Each test waits for conditions with generous time-outs; none asserts on speed.
"""
import pathlib
import signal
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from member_test import SEED, MemberStory  # noqa: E402  (needs the path above)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from cell import call  # noqa: E402
from soak_site import KEYS, Site  # noqa: E402

SHARDS = 2


class ShardStory(MemberStory):
    """A site of four entry hosts and eight workers, whose two organisations belong to different shards."""

    def new_site(self):
        return Site(SEED, hosts=4, workers=8, workers_per_owner=4)

    def submit_for_all(self, host, tasks=2, estimate_ms=200):
        """Submits a job for each organisation. Returns [(job, key)]."""
        return [(self.submit(host, tasks, estimate_ms, key), key) for key in KEYS.values()]

    def await_completed(self, host, jobs):
        for job, key in jobs:
            self.wait(lambda job=job, key=key: (self.ask(host, "GET", job, key=key)[1] or {}).get("state") == "completed",
                      f"job {job} is completed according to host {host}")

    # -- tests ----------------------------------------------------------------------------------------------------

    def test_each_shard_has_an_owner_and_every_host_serves_all_organisations(self):
        self.assertEqual(SHARDS, self.site.shards())
        self.assertNotEqual(self.site.owner(0), self.site.owner(1), "expected an owner that has no other shard")
        for host in range(self.site.hosts):
            jobs = self.submit_for_all(host)
            self.await_completed((host + 1) % self.site.hosts, jobs)
        for shard in range(SHARDS):
            log = self.log(self.site.owner(shard))
            self.assertIn("event=job_ended", log, f"expected jobs of shard {shard}")
        self.assertEqual([], self.site.truth()["broken"])

    def test_waiting_jobs_of_all_shards_are_counted(self):
        def counted(host):
            return (self.ask(host, "GET", "")[1] or {}).get("pending")
        # More than the workers of either shard have room for.
        for key in KEYS.values():
            for _ in range(3):
                self.submit(0, tasks=100, estimate_ms=3000, key=key)
        self.wait(lambda: (counted(1) or 0) > 0, "waiting jobs")
        self.wait(lambda: counted(1) == 0, "none after all have begun")

    def test_a_killed_owner_is_replaced_and_the_other_shard_keeps_its_owner(self):
        jobs = self.submit_for_all(0, tasks=4, estimate_ms=1500)
        killed = self.site.owner(1)
        other = next(host for host in range(self.site.hosts) if host != killed)
        terms_before = self.log(self.site.owner(0)).count("event=term_begun")
        self.site.end_host(killed, signal.SIGKILL)
        self.await_completed(other, jobs)
        self.assertEqual(terms_before, self.log(self.site.owner(0)).count("event=term_begun"))
        self.assertEqual([], self.site.truth()["broken"])

    def test_a_call_of_a_host_that_does_not_know_the_plan_has_no_effect(self):
        # It might mean a job of another shard, whose owner would then accept the job a second time.
        for shard in range(SHARDS):
            for names in ({}, {"shard": 0}, {"shard": shard, "shards": SHARDS + 1}, {"shard": 7, "shards": 8}):
                _, answer = call(self.site.port(self.site.owner(shard), 2), "POST", "/rpc",
                                 {"jsonrpc": "2.0", "id": 1, "method": "state",
                                  "params": {"job": f"{0xabc:016x}", **names}})
                self.assertEqual("no_owner", answer["result"]["answer"], f"with {names}")

    def test_one_host_that_is_left_owns_all_shards(self):
        jobs = self.submit_for_all(0, tasks=4, estimate_ms=1500)
        for host in range(1, self.site.hosts):
            self.site.end_host(host, signal.SIGKILL)
        self.await_completed(0, jobs)
        self.await_completed(0, self.submit_for_all(0))
        self.assertEqual([0, 0], [self.site.owner(shard) for shard in range(SHARDS)])
        self.assertEqual([], self.site.truth()["broken"])

    def test_a_shard_goes_back_to_a_host_that_owns_none(self):
        for host in range(1, self.site.hosts):
            self.site.end_host(host, signal.SIGKILL)
        self.wait(lambda: [self.site.owner(shard) for shard in range(SHARDS)] == [0, 0], "the last host owns all shards")
        for host in range(1, self.site.hosts):
            self.site.start_host(host)
        self.wait(lambda: len({self.site.owner(shard) for shard in range(SHARDS)}) == SHARDS, "an owner for each shard")
        jobs = self.submit_for_all(0)
        self.await_completed(0, jobs)
        self.assertEqual([], self.site.truth()["broken"])

    def test_the_plan_outlives_all_hosts(self):
        jobs = self.submit_for_all(0, tasks=4, estimate_ms=1500)
        for host in range(self.site.hosts):
            self.site.end_host(host, signal.SIGKILL)
        for host in range(self.site.hosts):
            self.site.start_host(host)
        self.await_completed(0, jobs)
        self.assertEqual(SHARDS, self.site.shards())
        self.assertEqual([], self.site.truth()["broken"])

    def test_an_owner_that_stops_hands_over_its_shard(self):
        jobs = self.submit_for_all(0, tasks=4, estimate_ms=800)
        stopped = self.site.owner(0)
        self.site.end_host(stopped, signal.SIGTERM)
        self.assertEqual([], self.site.ended_by_itself)
        self.await_completed(next(host for host in range(self.site.hosts) if host != stopped), jobs)
        self.assertEqual([], self.site.truth()["broken"])


if __name__ == "__main__":
    unittest.main()

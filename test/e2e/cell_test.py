"""End-to-end tests that kill and freeze real processes and check the results against the stand-ins' records.

Each test waits for conditions within generous time limits; none asserts on speed.
"""
import collections
import concurrent.futures
import json
import os
import pathlib
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from cell import Cell, NoAnswer, batch, call, seat_check, setup_objects  # noqa: E402  (needs the path above)
from truth import wrong_answers  # noqa: E402

KEY = "key-ovens"
BOUND = 90.0
BASE_PORT = int(os.environ.get("DOTTEREL_E2E_BASE_PORT", "0"))


class CellStory(unittest.TestCase):
    """Each test has a cell of its own: five entries, 12 workers and 12 runners in racks of four. The relay that can
    disconnect an entry is started only for the test that needs it."""

    def setUp(self):
        relayed = 4 if "cut_off" in self.id() else None
        self.cell = Cell(BASE_PORT, entries=5, workers=12, runners=12, per_rack=4, relayed=relayed)
        self.addCleanup(self.cell.close)
        self.cell.start()
        self.assertEqual("accepted", self.cell.ticket(1, setup_objects()))
        self.assertTrue(self.cell.wait_claimed(), "the backend servers were not all claimed")
        self.assertTrue(self.cell.wait(lambda: all(
            self.cell.ask(entry, seat_check(f"warm{entry}-{time.monotonic_ns()}"), KEY)[1].get("outcome") == "done"
            for entry in range(5)), BOUND), "lookups are not served")

    def assert_rules_kept(self):
        stats = self.cell.stats()
        for rule in ("over_capacity", "double_start", "repeated_non_idempotent", "repeated_key"):
            self.assertEqual(0, stats[rule], f"{rule}: expected 0, see the stand-ins' record {stats}")
        self.assertEqual([], wrong_answers(self.cell))

    def assert_job_done(self, name):
        answer = self.cell.wait_job(name, KEY, BOUND)
        self.assertIsNotNone(answer, f"job {name} had no final answer after {BOUND} s")
        self.assertEqual("done", answer["outcome"], answer)

    def ask_many(self, count, request_of, entry_of, timeout=60.0):
        """Sends requests in parallel; returns (request id, answer or None) pairs."""
        def one(number):
            request = request_of(number)
            try:
                return request["id"], self.cell.ask(entry_of(number), request, KEY, timeout)[1]
            except NoAnswer:
                return request["id"], None
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            return list(pool.map(one, range(count)))

    def manager_of(self, jobs):
        """Returns the entry that manages the team whose `jobs` were just accepted; its metrics count them."""
        for entry in self.cell.alive():
            counted = sum(value for name, value in self.cell.metrics(entry).items()
                          if name.startswith("dotterel_jobs_total") and "accepted" in name)
            if counted >= jobs:
                return entry
        self.fail("no entry's metrics show that it manages the team")

    def running_requests(self, entry):
        """Returns the number of requests that run on the runners that `entry` owns."""
        room = call(self.cell.entry_port(entry), "GET", "/v1/room")[1]
        return room["total_slots"] - room["free_slots"]

    def peak(self, team, kind):
        return self.cell.stats()["teams"].get(team, {}).get(kind, {}).get("peak", 0)

    def test_a_killed_entry_loses_no_accepted_job_and_runs_nothing_twice(self):
        for number in range(6):
            answer = self.cell.ask(number % 5, batch(f"job{number}", 12, 3000), KEY)[1]
            self.assertEqual("accepted", answer["outcome"], answer)
        self.cell.kill(0)
        time.sleep(4)
        self.cell.kill(1)
        for number in range(6):
            self.assert_job_done(f"job{number}")
        self.assert_rules_kept()

    def test_a_frozen_entry_wakes_up_fenced(self):
        self.cell.ask(0, batch("job", 60, 4000), KEY)
        self.cell.signal("e2", signal.SIGSTOP)
        time.sleep(12)
        self.cell.signal("e2", signal.SIGCONT)
        self.assert_job_done("job")
        self.assert_rules_kept()

    def test_work_goes_on_while_the_platform_is_down(self):
        self.cell.ask(0, batch("before", 20, 8000), KEY)
        self.assertTrue(self.cell.wait(lambda: self.cell.stats()["running"] > 0, BOUND))
        self.cell.platform_fault("down")
        time.sleep(8)
        answer = self.cell.ask(1, seat_check("during"), KEY)[1]
        self.assertEqual("done", answer["outcome"], answer)
        answer = self.cell.ask(2, batch("refused", 1, 10), KEY)[1]
        self.assertEqual(("not_run", "store_unavailable"), (answer["outcome"], answer["reason"]), answer)
        time.sleep(7)
        self.cell.platform_fault("none")
        self.assert_job_done("before")
        self.assert_rules_kept()

    def test_lost_answers_of_the_table_accept_a_job_once(self):
        self.cell.platform_fault("answer_lost", for_ms=5000)
        results = self.ask_many(8, lambda n: batch(f"lost{n}", 2, 200), lambda n: n % 5)
        time.sleep(6)
        for name, answer in results:
            if answer and answer["outcome"] in ("accepted", "running", "done"):
                self.assert_job_done(name)
        self.assert_rules_kept()

    def test_a_graceful_shutdown_cuts_no_request(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(self.ask_many, 24, lambda n: seat_check(f"slow{n}", 2000), lambda n: n % 2)
            time.sleep(1)
            codes = [self.cell.stop_entry(0), self.cell.stop_entry(1)]
            answers = asked.result()
        self.assertEqual([0, 0], codes)
        for name, answer in answers:
            self.assertIsNotNone(answer, f"{name}: the connection was cut")
            if answer["outcome"] != "done":
                self.assertEqual(("not_run", "shutting_down"), (answer["outcome"], answer["reason"]), answer)
        self.assert_rules_kept()

    def test_a_non_idempotent_request_runs_at_most_once_when_runners_go_silent(self):
        def request_of(number):
            return seat_check(f"once{number}", 300, idempotent=False, idempotency_key=f"k{number}",
                              deadline_us=3_000_000)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(self.ask_many, 60, request_of, lambda n: n % 5)
            time.sleep(0.5)
            for host in range(12, 18):
                self.cell.backend_fault(host, "frozen")
            self.cell.kill(4)
            answers = asked.result()
        for host in range(12, 18):
            self.cell.backend_fault(host, "none")
        self.assertGreater(sum(1 for _, answer in answers if answer and answer["outcome"] == "done"), 0)
        self.assert_rules_kept()

    def test_a_leaving_worker_gets_no_new_work(self):
        for host in self.cell.hosts[:6]:
            host["leaving"] = True
        call(self.cell.platform_port, "PUT", "/v1/hosts", {"hosts": self.cell.hosts})
        time.sleep(5)
        leaving = {host["backend"] for host in self.cell.hosts[:6]}
        for number in range(30):
            self.cell.ask(number % 5, batch(f"after{number}", 1, 100), KEY)
        for number in range(30):
            answer = self.cell.wait_job(f"after{number}", KEY, BOUND)
            self.assertNotIn(answer["backend"], leaving, answer)
        self.assert_rules_kept()

    def test_a_withdrawn_key_stops_everywhere_and_an_open_service_goes_on(self):
        self.assertEqual("accepted", self.cell.ticket(2, [{"kind": "key", "name": "key-szeged", "state": None}], 3))
        self.assertTrue(self.cell.wait(lambda: all(
            self.cell.ask(entry, seat_check(f"w{entry}-{time.monotonic_ns()}"), "key-szeged")[1]["reason"]
            == "unknown_key" for entry in range(5)), BOUND))
        answer = self.cell.ask(0, dict(seat_check("free"), service="open"))[1]
        self.assertNotIn(answer["reason"], ("missing_key", "unknown_key"), answer)

    def test_a_cut_off_entry_stops_a_withdrawn_key_and_open_services_go_on(self):
        def asked(entry, key, service="seats"):
            request = dict(seat_check(f"c{entry}-{time.monotonic_ns()}"), service=service, deadline_us=1_000_000)
            return self.cell.ask(entry, request, key)[1]
        self.cell.cut_off()
        self.assertEqual("accepted", self.cell.ticket(2, [{"kind": "key", "name": "key-szeged", "state": None}]))
        self.assertTrue(self.cell.wait(lambda: asked(4, "key-szeged")["reason"] == "config_unconfirmed", BOUND),
                        "the revoked key still works at the disconnected entry")
        self.assertEqual("config_unconfirmed", asked(4, KEY)["reason"])
        self.assertNotIn(asked(4, None, "open")["reason"], ("config_unconfirmed", "missing_key"))
        self.assertEqual("unknown_key", asked(1, "key-szeged")["reason"])
        self.assertTrue(self.cell.wait(lambda: asked(1, KEY)["outcome"] == "done", BOUND),
                        "the connected majority does not serve requests")
        self.cell.reconnect()
        self.assertTrue(self.cell.wait(lambda: asked(4, KEY)["outcome"] == "done", BOUND))
        self.assertEqual("unknown_key", asked(4, "key-szeged")["reason"])
        self.assert_rules_kept()

    def test_racing_tickets_have_one_winner_a_number_and_end_alike_everywhere(self):
        numbers = range(10, 30)

        def objects(entry, number):
            return [{"kind": "share", "name": "phones", "state": {"weight": number + entry / 10}},
                    {"kind": "limit", "name": "phones", "state": {"slots": 100 + number}}]

        def submit_tickets(entry):
            versions = []
            answers = {}
            for number in numbers:
                answers[number] = self.cell.retry_ticket(number, objects(entry, number), entry)[-1]
                versions.append(call(self.cell.entry_port(entry), "GET", "/v1/teams")[1]["version"])
            return answers, versions

        self.cell.platform_fault("answer_lost", for_ms=300)
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            raced = list(pool.map(submit_tickets, range(5)))
        winners = collections.defaultdict(list)
        for entry, (answers, versions) in enumerate(raced):
            self.assertEqual(sorted(versions), versions, f"e{entry} reverted to an earlier version")
            for number, status in answers.items():
                self.assertIn(status, ("accepted", "already_accepted", "overtaken", "number_taken"))
                if status in ("accepted", "already_accepted"):
                    winners[number].append(entry)
        self.assertEqual([], [number for number in winners if len(winners[number]) != 1])
        for number, (entry,) in winners.items():
            again = self.cell.retry_ticket(number, objects(entry, number), entry)[-1]
            self.assertEqual("already_accepted", again, f"ticket {number} of e{entry}")
        last = numbers[-1]
        (winner,) = winners[last]
        for entry in set(range(5)) - {winner}:
            self.assertEqual("number_taken", self.cell.retry_ticket(last, objects(entry, last), entry)[-1])
        self.assertEqual("overtaken", self.cell.retry_ticket(5, objects(0, 5), 2)[-1])

        def states():
            pages = [call(self.cell.entry_port(entry), "GET", "/v1/teams")[1] for entry in range(5)]
            return {json.dumps(page, sort_keys=True) for page in pages}
        self.assertTrue(self.cell.wait(lambda: len(states()) == 1, BOUND), states())
        self.assertIn(str(last + winner / 10), states().pop())

    def test_one_idempotency_key_at_several_entries_runs_once_when_answers_of_the_table_are_lost(self):
        def asked_until_it_ran(number):
            """Repeats a refused request under new ids, as an automated client does; returns the outcomes."""
            outcomes = []
            while "done" not in outcomes and len(outcomes) < 300:
                request = seat_check(f"once{number}-{len(outcomes)}", 50, idempotent=False,
                                     idempotency_key=f"k{number % 8}")
                answer = self.cell.ask(number % 5, request, KEY)[1]
                outcomes.append(answer["outcome"])
                time.sleep(0.1)
            return outcomes
        self.cell.platform_fault("answer_lost", for_ms=4000)
        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            outcomes = list(pool.map(asked_until_it_ran, range(40)))
        self.assertTrue(all(each[-1] == "done" for each in outcomes), outcomes)
        self.assertEqual({f"k{number}": 1 for number in range(8)}, self.cell.stats()["keys"]["ovens"])
        self.assert_rules_kept()

    def test_tasks_of_a_frozen_host_run_elsewhere_only_after_its_lease(self):
        self.assertEqual("accepted", self.cell.ask(0, batch("job", 48, 2500, 4000), KEY)[1]["outcome"])
        self.assertTrue(self.cell.wait(lambda: self.cell.stats()["running"] >= 48, BOUND))
        for host in range(3):
            self.cell.backend_fault(host, "frozen")
        self.assert_job_done("job")
        for host in range(3):
            self.cell.backend_fault(host, "none")
        self.assertGreater(self.cell.stats()["cut"], 0, "no task was on a frozen host")
        time.sleep(3)  # Long enough for any further action of a thawed host to show.
        self.assert_rules_kept()

    def test_all_at_once_jobs_never_start_by_halves_when_their_manager_is_killed(self):
        def running(name):
            tasks = self.cell.runs("ovens", name)
            return sum(task["started"] - task["succeeded"] - task["failed"] - task["cut"] for task in tasks)
        names = ["roster0", "roster1"]  # Each needs two thirds of the cell.
        for name in names:
            request = dict(batch(name, 32, 4000, 4000), kind="all_at_once")
            self.assertEqual("accepted", self.cell.ask(0, request, KEY)[1]["outcome"])
        manager = self.manager_of(len(names))
        self.assertTrue(self.cell.wait(lambda: any(running(name) for name in names), BOUND, 0.001))
        self.cell.kill(manager)
        overlaps = []

        def both_ended():
            counts = [running(name) for name in names]
            if all(counts):
                overlaps.append(counts)
            tasks = [task for name in names for task in self.cell.runs("ovens", name)]
            return len(tasks) == 64 and all(task["succeeded"] for task in tasks)
        self.assertTrue(self.cell.wait(both_ended, BOUND, 0.02), self.cell.runs("ovens"))
        self.assertEqual([], overlaps, "both jobs ran at once, so each had only some of its tasks running")
        for name in names:
            self.assert_job_done(name)
        self.assert_rules_kept()

    def test_tasks_stay_within_the_limit_when_the_manager_is_killed(self):
        self.assertEqual("accepted", self.cell.ticket(2, [
            {"kind": "limit", "name": "ovens", "state": {"cpu_millicores": 8000}}]))
        self.assertTrue(self.cell.wait_in_force(2, BOUND))
        for number in range(3):
            answer = self.cell.ask(number, batch(f"job{number}", 16, 600), KEY)[1]
            self.assertEqual("accepted", answer["outcome"], answer)
        manager = self.manager_of(3)
        self.assertTrue(self.cell.wait(lambda: self.peak("ovens", "tasks") >= 8, BOUND))
        self.cell.kill(manager)
        for number in range(3):
            self.assert_job_done(f"job{number}")
        self.assertEqual(8, self.peak("ovens", "tasks"))
        self.assert_rules_kept()

    def limit_requests(self, most):
        self.assertEqual("accepted", self.cell.ticket(2, [{"kind": "limit", "name": "ovens",
                                                           "state": {"slots": most}}]))
        self.assertTrue(self.cell.wait_in_force(2, BOUND))

    def test_requests_stay_within_the_limit_when_an_owner_is_killed(self):
        self.limit_requests(6)

        def request_of(number):
            return seat_check(f"l{number}", 3000, deadline_us=40_000_000)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(self.ask_many, 14, request_of, lambda number: number % 5)
            self.assertTrue(self.cell.wait(lambda: self.peak("ovens", "requests") >= 5, BOUND))
            self.cell.kill(max(self.cell.alive(), key=self.running_requests))
            answers = asked.result()
        self.assertTrue(any(answer and answer["outcome"] == "done" for _, answer in answers), answers)
        self.assertLessEqual(self.peak("ovens", "requests"), 6, "the team exceeded its limit of concurrent requests")
        self.assert_rules_kept()

    def test_requests_that_run_beyond_their_deadline_count_towards_the_limit(self):
        self.limit_requests(6)

        def request_of(number):
            return seat_check(f"l{number}", 4000, deadline_us=1_000_000)
        self.ask_many(40, request_of, lambda number: number % 5)
        self.assertLessEqual(self.peak("ovens", "requests"), 6, "the team exceeded its limit of concurrent requests")
        self.assertTrue(self.cell.wait(lambda: self.cell.stats()["running"] == 0, BOUND))
        self.assert_rules_kept()

    def test_bad_input_gets_a_typed_refusal_and_loses_nothing(self):
        bad = ["{", "[]", "{}", json.dumps(dict(seat_check("x"), deadline_us=-1)),
               json.dumps(dict(seat_check("x"), kind="other")), json.dumps(dict(batch("x"), task_count=10**12)),
               json.dumps(dict(seat_check("x"), payload="y" * 3_000_000))]
        for body in bad:
            try:
                status, answer = call(self.cell.entry_port(0), "POST", "/v1/requests", body, KEY)
            except NoAnswer:
                continue  # An oversize body may be cut off while it is still being sent.
            self.assertIn(status, (400, 413), (body[:60], answer))
        answer = self.cell.ask(0, seat_check("good"), KEY)[1]
        self.assertEqual("done", answer["outcome"], answer)

    def test_callers_reach_neither_tickets_nor_the_calls_of_peers(self):
        port = self.cell.caller_port(0)
        for method, path in (("POST", "/v1/tickets"), ("POST", "/rpc"), ("POST", "/v1/backend-report"),
                             ("GET", "/metrics"), ("GET", "/v1/teams")):
            status, answer = call(port, method, path, {"ticket": 2, "objects": []} if method == "POST" else None)
            self.assertEqual(404, status, f"{method} {path}: {answer}")
        self.assertEqual(200, call(port, "GET", "/readyz")[0])
        answer = self.cell.ask(0, seat_check("served"), KEY)[1]
        self.assertEqual("done", answer["outcome"], answer)
        self.assert_rules_kept()


if __name__ == "__main__":
    unittest.main(verbosity=2)

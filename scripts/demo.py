"""Demonstrates a cell of seven daemons, 50 workers and 50 runners on loopback, in normal use and while a daemon is
killed.

Exits with 0 only if every answer was correct. Options: --short, --jobs FILE (JSON lines, each a request as
POST /v1/requests takes it, with a "key" of its own).
"""
import argparse
import collections
import concurrent.futures
import json
import os
import subprocess
import sys
import time

from cell import BUILD, Cell, NoAnswer, batch, call, key_of, seat_check, setup_objects
from truth import wrong_answers

KEY = key_of("ovens")
LIMITED = "phones"
LIMIT_SLOTS = 4
LIMIT_CORES = 6


class Report:
    def __init__(self):
        self.wrong = 0
        self.outcomes = collections.Counter()

    def line(self, name, answer, right):
        outcome = answer.get("outcome", "?")
        reason = answer.get("reason", "none")
        self.outcomes[f"{outcome}/{reason}"] += 1
        self.wrong += 0 if right else 1
        waited = answer.get("waited_us", 0) / 1000
        print(f"  {'ok   ' if right else 'WRONG'} {name:<22} {outcome:<10} {reason:<18} "
              f"on {answer.get('backend') or '-':<10} waited {waited:8.1f} ms")

    def check(self, text, right):
        self.wrong += 0 if right else 1
        print(f"  {'ok   ' if right else 'WRONG'} {text}")


def apply_ticket(cell, number, objects):
    """Submits a ticket with dotterelctl, as an operator does."""
    path = cell.folder / f"ticket{number}.json"
    path.write_text(json.dumps({"ticket": number, "objects": objects}))
    run = subprocess.run([BUILD / "dotterelctl", "--entry", f"127.0.0.1:{cell.entry_port(0)}", "ticket", "apply", path],
                         capture_output=True, text=True, check=False)
    return run.returncode == 0


def show_ticket_in_force(cell, report):
    """Shows that a ticket is in force at all entries within seconds. An entry may refuse requests before that."""
    begin = time.monotonic()
    done = cell.wait(lambda: all(cell.ask(entry, seat_check(f"warm{entry}-{time.monotonic_ns()}"), KEY)[1]
                                 .get("outcome") == "done" for entry in cell.alive()), 7.0)
    report.check(f"lookups are served at all entries after {time.monotonic() - begin:.1f} s more", done)


def show_single_requests(cell, report):
    print("requests and jobs")
    for number in range(5):
        answer = cell.ask(number % cell.entries, seat_check(f"seat{number}"), KEY)[1]
        report.line(f"seat check {number}", answer, answer.get("outcome") == "done")
    once = seat_check("booking1", idempotent=False, idempotency_key="b1")
    answer = cell.ask(1, once, KEY)[1]
    report.line("booking, once only", answer, answer.get("outcome") == "done")
    answer = cell.ask(2, dict(once, id="booking1-again"), KEY)[1]
    counts = cell.stats()
    report.line("the same booking again", answer, answer.get("outcome") == "done")
    report.check("the booking ran once", counts.get("repeated_non_idempotent") == 0)
    answer = cell.ask(3, batch("waivers", 20, 300), KEY)[1]
    report.line("batch job", answer, answer.get("outcome") == "accepted")
    answer = cell.ask(4, dict(batch("roster", 60, 400, 4000), kind="all_at_once"), KEY)[1]
    report.line("all-at-once roster", answer, answer.get("outcome") == "accepted")
    answer = cell.ask(5, batch("huge", 1, 10, 999000), KEY)[1]
    report.line("no worker holds it", answer, answer.get("reason") == "never_fits")
    for name in ("waivers", "roster"):
        answer = cell.wait_job(name, KEY, 30) or {}
        report.line(f"{name}, in the end", answer, answer.get("outcome") == "done")


def show_key_at_two_entries(cell, report):
    print("one idempotency key at two entries at once")

    def ask(entry):
        return cell.ask(entry, seat_check(f"twin{entry}", 100, idempotent=False, idempotency_key="twin"), KEY)[1]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for number, answer in enumerate(pool.map(ask, (1, 4))):
            report.line(f"booking, copy {number}", answer, answer.get("outcome") in ("done", "not_run", "unknown"))
    runs = cell.stats()["keys"]["ovens"].get("twin")
    report.check(f"it ran {runs} time(s)", runs == 1)


def show_limit(cell, report):
    print(f"a limited team: at most {LIMIT_SLOTS} lookups and {LIMIT_CORES} cores at once")
    limit = {"slots": LIMIT_SLOTS, "cpu_millicores": 1000 * LIMIT_CORES}
    report.check("ticket 3 accepted", apply_ticket(cell, 3, [{"kind": "limit", "name": LIMITED, "state": limit}]))
    report.check("in force everywhere", cell.wait_in_force(3, 7.0))
    key = key_of(LIMITED)
    accepted = cell.ask(2, batch("calls", 18, 300), key)[1]
    report.line("batch job", accepted, accepted.get("outcome") == "accepted")

    def lookup(number):
        return dict(seat_check(f"call{number}", 100), deadline_us=1_500_000)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        answers = list(pool.map(lambda n: cell.ask(n % cell.entries, lookup(n), key)[1], range(32)))
    outcomes = collections.Counter(f"{answer['outcome']}/{answer['reason']}" for answer in answers)
    print(f"        of 32 lookups at once: {dict(outcomes)}")
    report.check("some lookups were served", outcomes["done/none"] > 0)
    answer = cell.wait_job("calls", key, 30) or {}
    report.line("the job, in the end", answer, answer.get("outcome") == "done")
    peaks = cell.stats()["teams"][LIMITED]
    for kind, limit in (("requests", LIMIT_SLOTS), ("tasks", LIMIT_CORES)):
        peak = peaks[kind]["peak"]
        report.check(f"{kind}: at most {peak} at once, limit {limit}", peak <= limit)


def show_revoked_key(cell, report):
    print("a key is revoked")
    report.check("ticket 2 accepted", apply_ticket(cell, 2, [{"kind": "key", "name": "key-szeged", "state": None}]))
    begin = time.monotonic()
    done = cell.wait(lambda: all(cell.ask(entry, seat_check(f"late{entry}-{time.monotonic_ns()}"), "key-szeged")[1]
                                 .get("reason") == "unknown_key" for entry in cell.alive()), 7.0)
    report.check(f"refused at all entries after {time.monotonic() - begin:.1f} s", done)


def show_kill(cell, report, seconds):
    print("one daemon is killed while requests come in")
    accepted = cell.ask(0, batch("through", 60, 1500), KEY)[1]
    report.line("batch job", accepted, accepted.get("outcome") == "accepted")
    end = time.monotonic() + seconds
    outcomes = collections.Counter()

    def client(number):
        count = 0
        while time.monotonic() < end:
            entries = cell.alive()
            entry = entries[(number + count) % len(entries)]
            count += 1
            try:
                answer = cell.ask(entry, seat_check(f"k{number}-{count}"), KEY)[1]
                outcomes[f"{answer.get('outcome')}/{answer.get('reason')}"] += 1
            except NoAnswer:
                outcomes["no answer: its entry died"] += 1
            time.sleep(0.01)

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        clients = [pool.submit(client, number) for number in range(8)]
        time.sleep(seconds / 4)
        cell.kill(6)
        for each in clients:
            each.result()
    for outcome, count in sorted(outcomes.items()):
        print(f"        {count:6} x {outcome}")
    answered = sum(count for outcome, count in outcomes.items() if outcome == "done/none")
    report.check("most requests were served", answered > 0.9 * sum(outcomes.values()))
    answer = cell.wait_job("through", KEY, 40) or {}
    report.line("the job, in the end", answer, answer.get("outcome") == "done")


def show_own_jobs(cell, report, path):
    print(f"your own requests from {path}")
    with open(path, encoding="utf-8") as lines:
        for line in filter(str.strip, lines):
            request = json.loads(line)
            key = request.pop("key", KEY)
            answer = cell.ask(0, request, key)[1]
            report.line(request.get("id", "?"), answer, "outcome" in answer)


def show_summary(cell, report):
    print("summary")
    totals = collections.Counter()
    for entry in cell.alive():
        for line in call(cell.entry_port(entry), "GET", "/metrics")[1].splitlines():
            if line.startswith(("dotterel_placements_total", "dotterel_refusals_total", "dotterel_requests_total")):
                name, value = line.rsplit(" ", 1)
                totals[name] += float(value)
    for name, value in sorted(totals.items()):
        print(f"        {name} {value:.0f}")
    stats = cell.stats()
    for rule in ("over_capacity", "double_start", "repeated_non_idempotent", "repeated_key"):
        report.check(f"{rule} is {stats.get(rule)}", stats.get(rule) == 0)
    wrong = wrong_answers(cell)
    for line in wrong:
        print(f"        {line}")
    report.check(f"{len(wrong)} of {len(cell.answered)} answers were wrong", not wrong)


def show_stop(cell, report):
    print("graceful shutdown")
    for entry in cell.alive():
        code = cell.stop_entry(entry)
        report.check(f"e{entry} stopped with {code}", code == 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="fewer and shorter steps")
    parser.add_argument("--jobs", help="file with requests of your own, one JSON object a line")
    parser.add_argument("--base-port", type=int, help="first of 200 ports; without it, any free ones",
                        default=int(os.environ.get("DOTTEREL_BASE_PORT", "0")))
    options = parser.parse_args()
    report = Report()
    cell = Cell(options.base_port)
    keep = True
    try:
        begin = time.monotonic()
        cell.start()
        report.check("ticket 1 accepted", apply_ticket(cell, 1, setup_objects()))
        report.check("all backend servers claimed", cell.wait_claimed(30))
        show_ticket_in_force(cell, report)
        print(f"the cell is up after {time.monotonic() - begin:.1f} s")
        show_single_requests(cell, report)
        show_key_at_two_entries(cell, report)
        if options.jobs:
            show_own_jobs(cell, report, options.jobs)
        show_revoked_key(cell, report)
        show_limit(cell, report)
        show_kill(cell, report, 3 if options.short else 10)
        show_summary(cell, report)
        show_stop(cell, report)
        keep = report.wrong > 0
    finally:
        cell.close(keep)
        if keep:
            print(f"logs are in {cell.folder}")
    print(f"{report.wrong} wrong")
    return 1 if report.wrong else 0


if __name__ == "__main__":
    sys.exit(main())

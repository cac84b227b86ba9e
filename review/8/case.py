"""Callers hand jobs in, leave early, cancel them, and are told that the jobs are cancelled or don't exist. One of the
jobs runs all the same, to its end.

The entry host that owns the cell stands still for 3.5 s. Meanwhile 30 callers hand in a job each at the other hosts.
Of these callers 12 leave after 0.3 s without an answer, and send the cancelling of their job to another host. There they
wait for the answer, and repeat the call after any answer but 2xx and 410. The other callers wait, and try again.
"""
import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from cell_2 import BOUNDS, CALLERS_HOST, KEY, CannotRun, http_call, play, trouble  # noqa: E402

HOSTS = 4
CALLERS = 30
LEAVING_CALLERS = 12
TASK_MS = 14_000
PLAIN_TASK_MS = 300
FREEZE_S = 3.5
LEAVES_AFTER_S = 0.3
CANCEL_BOUND_S = 12.0
# RULES.md: a task of a cancelled job has to be gone after a stretch of cancel_ms + stop_timeout_ms without a disruption
# near. The stretch begins contact_ms after the last disruption or with the answer, whichever is later.
CALM_S = BOUNDS["contact_ms"] / 1000
GONE_S = (BOUNDS["cancel_ms"] + BOUNDS["stop_timeout_ms"]) / 1000
MARGIN_S = 0.5


def call(cell, method, job, host, timeout, body=None):
    sent_at = time.time()
    status, answer = http_call(cell.host_ports[host][0], method, f"/jobs/{job}", body,
                               {"Host": CALLERS_HOST, "Authorization": f"Bearer {KEY}",
                                "Deadline-Ms": str(int(timeout * 1000))}, timeout)
    cell.note("call", method=method, job=job, host=host, sent_at=round(sent_at, 3), status=status, answer=answer)
    return status


def job_of(ms):
    return {"spec": json.dumps({"ms": ms}),
            "job_steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": ms}]}


def leaving_caller(cell, job, first, second, cancelled):
    call(cell, "POST", job, first, LEAVES_AFTER_S if trouble() else 3.0, job_of(TASK_MS))
    until = time.monotonic() + CANCEL_BOUND_S
    while time.monotonic() < until:
        status = call(cell, "DELETE", job, second, 3.0)
        if status == 410 or status is not None and 200 <= status < 300:
            cancelled[job] = (time.time(), status)
            return
        time.sleep(0.3)


def patient_caller(cell, job, first, second):
    for host in (first, second, first, second):
        if call(cell, "POST", job, host, 3.0, job_of(PLAIN_TASK_MS)) == 200:
            return
        time.sleep(0.3)


def runs_at(cell, moment):
    """The jobs of which a task is at work at this time."""
    active = {}
    for event in cell.run_events():
        if event["t"] <= moment and "task" in event:
            if event["event"] == "start":
                active[(event["task"], event["run"])] = event["task"][:16]
            elif event["event"] == "end":
                active.pop((event["task"], event["run"]), None)
    return set(active.values())


def case(cell):
    cell.submit("00000000000000f8", [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 50}], 50)
    cell.wait(lambda: cell.owner() is not None, "an owner")
    time.sleep(2)
    owner = cell.owner()
    if owner is None:
        raise CannotRun("no host owns the cell")
    others = [host for host in range(HOSTS) if host != owner]
    cancelled = {}
    frozen_at = time.time()
    if trouble():
        cell.kill(f"host-{owner}", signal.SIGSTOP)
    threads = []
    for number in range(CALLERS):
        job, first, second = f"{0xa800 + number:016x}", others[number % 3], others[(number + 1) % 3]
        is_leaving = number < LEAVING_CALLERS
        threads.append(threading.Thread(target=leaving_caller if is_leaving else patient_caller,
                                        args=(cell, job, first, second) + ((cancelled,) if is_leaving else ())))
        threads[-1].start()
    if trouble():
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.time()))
        cell.kill(f"host-{owner}", signal.SIGCONT)
    last_disruption = time.time()
    for thread in threads:
        thread.join()
    broken = []
    for job, (answered_at, status) in sorted(cancelled.items()):
        judged_at = max(answered_at, last_disruption + CALM_S) + GONE_S + MARGIN_S
        time.sleep(max(0.0, judged_at + 0.3 - time.time()))
        if job in runs_at(cell, judged_at):
            _, shown = cell.call("GET", job, host=others[0])
            broken.append(f"{job} (cancelling answered {status}, still at work {judged_at - answered_at:.1f} s later, "
                          f"shown as {(shown or {}).get('state')})")
    return "UNASKED: tasks of cancelled jobs are at work: " + ", ".join(broken) if broken else ""


play(FOLDER / "record.txt", case, hosts=HOSTS)

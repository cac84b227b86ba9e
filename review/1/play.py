"""The owner is killed while the wide step of a job waits for the step before it."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_in import BOUNDS, CannotRun, LOST, desired_state, main, route  # noqa: E402  (needs the path above)

WIDE = "00000000000000ee"
WIDTH = 3000
FIRST_S = 4.0
TASK_S = 2.0
ORDINARY_S = 0.5
TRAFFIC_S = 30.0


def step(tasks, cpu, work_s, **more):
    return {"count": tasks, "cpu": cpu, "mem_mb": 1, "estimate_ms": int(work_s * 1000), **more}


async def play(site, has_trouble):
    def work_s(task):
        if not task.startswith(WIDE):
            return ORDINARY_S
        return FIRST_S if task.endswith(".0.0") else TASK_S
    site.work_s = work_s
    site.write_desired(desired_state(1, [route("jobs")]))
    for number in range(6):
        await site.add_runner(f"{number:016x}", labels=("a", f"r1-{number // 3}"), zone=f"zone-{number % 3}")
    await site.start()
    answer = await site.ask_any("POST", f"/jobs/{WIDE}", {
        "spec": "wide", "job_steps": [step(1, 500, FIRST_S), step(WIDTH, 30, TASK_S, depends_on=[0])]})
    if answer is LOST or answer[0] != 200:
        raise CannotRun(f"the job isn't accepted: {answer}")
    accepted, refused = [WIDE], 0
    begun = time.monotonic()
    is_killed = not has_trouble
    number = 0
    while time.monotonic() - begun < TRAFFIC_S:
        if not is_killed and time.monotonic() - begun > 2.0:
            is_killed = True
            site.signal_host(site.store.last_writer, signal.SIGKILL)
        number += 1
        job = f"{number:016x}"
        hosts = [host for host in range(site.hosts) if site.is_running(host)]
        answer = await site.ask(hosts[number % len(hosts)], "POST", f"/jobs/{job}",
                                {"spec": "ordinary", "job_steps": [step(1, 500, ORDINARY_S)]}, quiet=True)
        if answer is not LOST and answer[0] == 200:
            accepted.append(job)
            site.record.write(f"requester: {job} is accepted")
        else:
            refused += 1
            site.record.write(f"requester: {job}: {answer}")
        await asyncio.sleep(0.5)
    site.record.write("end of the traffic")
    await asyncio.sleep(BOUNDS["finish_s"])
    states = {}
    for job in accepted:
        answer = await site.ask_any("GET", f"/jobs/{job}", tries=9, quiet=True)
        states[job] = answer[1].get("state") if answer is not LOST and answer[0] == 200 else answer
        if states[job] != "completed":
            site.record.write(f"{job}: accepted; asked for {BOUNDS['finish_s']} s after the end of the traffic: "
                              f"{states[job]}")
    last = max((run.began for run in site.runs), default=begun)
    wide_done = sum(run.how == "done" and run.task.startswith(WIDE) for run in site.runs)
    site.record.write(f"{len(accepted)} jobs accepted, {refused} not; {wide_done} of {WIDTH + 1} tasks of the wide job "
                      f"are done; no task has begun for the last {time.monotonic() - last:.1f} s; the store has refused "
                      f"{site.store.refused_rows} transactions for the size of a row")
    return all(state == "completed" for state in states.values())


main(FOLDER, 3, play)

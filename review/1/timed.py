"""A scheduled job that can never be done is handed in beside ordinary jobs."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_in import BOUNDS, CannotRun, LOST, desired_state, main, route  # noqa: E402  (needs the path above)

TIMED = "00000000000000aa"
REPEATS = 4000
INTERVAL_MS = 12
TRAFFIC_S = 55
STEP_S = 3.0


def timed_job(label):
    return {"spec": "timed", "repeat_count": REPEATS, "start_at_ms": int(time.time() * 1000) + 500,
            "interval_ms": INTERVAL_MS,
            "job_steps": [{"count": 1, "cpu": 10, "mem_mb": 1, "estimate_ms": 20, "required_label": label}]}


def ordinary_job():
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": int(STEP_S * 1000)}
    return {"spec": "ordinary", "job_steps": [step, {**step, "depends_on": [0]}]}


def is_finished(site, job):
    done = {run.task for run in site.runs if run.how == "done"}
    return {f"{job}.0.0.0", f"{job}.0.1.0"} <= done


async def play(site, has_trouble):
    site.work_s = lambda task: 0.02 if task.startswith(TIMED) else STEP_S
    site.write_desired(desired_state(1, [route("jobs")]))
    for number in range(6):
        await site.add_runner(f"{number:016x}", labels=("a", f"r1-{number // 3}"), zone=f"zone-{number % 3}")
    await site.start()
    # No runner has label "b".
    answer = await site.ask_any("POST", f"/jobs/{TIMED}", timed_job("b" if has_trouble else "a"))
    if answer is LOST or answer[0] != 200:
        raise CannotRun(f"the timed job isn't accepted: {answer}")
    accepted, refused = [], 0
    begun = time.monotonic()
    number = 0
    while time.monotonic() - begun < TRAFFIC_S:
        number += 1
        job = f"{number:016x}"
        answer = await site.ask(number % site.hosts, "POST", f"/jobs/{job}", ordinary_job(), quiet=True)
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
        answer = await site.ask_any("GET", f"/jobs/{job}", tries=8, quiet=True)
        states[job] = answer[1].get("state") if answer is not LOST and answer[0] == 200 else answer
    unfinished = [job for job in accepted if not is_finished(site, job)]
    for job in accepted:
        if states[job] != "completed" or job in unfinished:
            site.record.write(f"{job}: accepted; asked for {BOUNDS['finish_s']} s after the end of the traffic: "
                              f"{states[job]}; its tasks have {'not ' if job in unfinished else ''}all run")
    last = max((run.began for run in site.runs), default=begun)
    site.record.write(f"{len(accepted)} ordinary jobs accepted, {refused} not; {len(unfinished)} of the accepted ones "
                      f"never finished; no task has begun for the last {time.monotonic() - last:.1f} s; the store has "
                      f"refused {site.store.refused_rows} transactions for the size of a row")
    return not unfinished and all(state == "completed" for state in states.values())


main(FOLDER, 3, play)

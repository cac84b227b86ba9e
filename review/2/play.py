"""The store is down for some seconds while a job of many short tasks runs on few runners."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_in import CannotRun, LOST, desired_state, main, route  # noqa: E402  (needs the path above)

JOB = "00000000000000ab"
RUNNERS = 2
TASKS = 3000
CPU = 100
TASK_S = 0.3
DOWN_S = 4.5


async def play(site, has_trouble):
    site.work_s = lambda task: TASK_S
    site.write_desired(desired_state(1, [route("jobs")]))
    for number in range(RUNNERS):
        await site.add_runner(f"{number:016x}", labels=("a", "r1-1"), zone=f"zone-{number % 3}")
    await site.start()
    answer = await site.ask_any("POST", f"/jobs/{JOB}", {
        "spec": "waivers", "job_steps": [{"count": TASKS, "cpu": CPU, "mem_mb": 16,
                                          "estimate_ms": int(TASK_S * 1000)}]})
    if answer is LOST or answer[0] != 200:
        raise CannotRun(f"the job isn't accepted: {answer}")
    await asyncio.sleep(0.3)
    if has_trouble:
        site.store.is_down = True
        site.record.write("store: is down")
    await asyncio.sleep(DOWN_S)
    if has_trouble:
        site.store.is_down = False
        site.record.write("store: is back")
    state = None
    for _ in range(40):
        await asyncio.sleep(1.0)
        answer = await site.ask_any("GET", f"/jobs/{JOB}")
        state = answer[1].get("state") if answer is not LOST else None
        if state == "completed":
            break
    await asyncio.sleep(3.0)
    twice = site.starts_after_done()
    for done, later in twice[:20]:
        site.record.write(f"{done.task}: run {later.attempt} on {later.worker} has begun {later.began - done.ended:.2f}"
                          f" s after run {done.attempt} on {done.worker} had ended done, which was taken note of")
    pairs = site.concurrent_runs()
    lapsed = sum(run.how == "lapsed" for run in site.runs)
    site.record.write(f"{TASKS} tasks, {len(site.runs)} runs, {lapsed} of them lapsed; the job is shown as {state}; "
                      f"{len(twice)} starts after an end `done` that was taken note of, {len(pairs)} pairs of runs of one "
                      f"task at the same time")
    return not twice and not pairs


main(FOLDER, 3, play)

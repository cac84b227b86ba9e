"""A service's runners drain, and a new desired state no longer names the service."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_in import CannotRun, LOST, desired_state, main, route  # noqa: E402  (needs the path above)

JOB = "00000000000000cc"
TASKS = 8
WORK_S = 5.0
DRAIN_S = 8.0


async def play(site, has_trouble):
    site.work_s = lambda task: WORK_S
    site.write_desired(desired_state(1, [route("jobs", "old")], services=("old", "new")))
    for number in range(4):
        await site.add_runner(f"{number:016x}", service="old", labels=("a", "r1-1"), zone=f"zone-{number % 3}")
    for number in range(4, 8):
        await site.add_runner(f"{number:016x}", service="new", labels=("a", "r1-2"), zone=f"zone-{number % 3}")
    await site.start()
    answer = await site.ask_any("POST", f"/jobs/{JOB}", {
        "spec": "waivers", "job_steps": [{"count": TASKS, "cpu": 1000, "mem_mb": 1024,
                                          "estimate_ms": int(WORK_S * 1000)}]})
    if answer is LOST or answer[0] != 200:
        raise CannotRun(f"the job isn't accepted: {answer}")
    await asyncio.sleep(1.0)
    old = [runner for runner in site.runners.values() if runner.service == "old"]
    for runner in old:
        runner.draining = True
        runner.register()
        site.record.write(f"runner {runner.id} drains")
    await asyncio.sleep(0.5)
    if has_trouble and os.environ.get("VARIANT") == "entry":
        for runner in old:
            site.store.put("servers", runner.id, ["not", "an", "entry"])
    elif has_trouble:
        site.write_desired(desired_state(2, [route("jobs", "new")], services=("new",)))
    await asyncio.sleep(DRAIN_S - 0.5)
    for runner in old:
        await runner.leave()
    await asyncio.sleep(6.0)
    await site.ask_any("GET", f"/jobs/{JOB}")
    pairs = site.concurrent_runs()
    for one, other, overlap in pairs:
        site.record.write(f"{one.task}: run {one.attempt} on {one.worker} and run {other.attempt} on {other.worker} "
                          f"were there at the same time for {overlap:.2f} s")
    for done, later in site.starts_after_done():
        site.record.write(f"{done.task}: run {later.attempt} on {later.worker} has begun {later.began - done.ended:.2f}"
                          f" s after run {done.attempt} had ended done, which was taken note of")
    return not pairs and not site.starts_after_done()


main(FOLDER, 3, play)

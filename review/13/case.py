"""A job that can never be done keeps its tenant's cap reserved, and the tenant's other jobs come to a halt."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_in_3 as stand_in  # noqa: E402  (needs the path above)

RUNNERS = 8
CORES_MS = 8000
CAP_CPU = 20_000
# One of 25 jobs: under 5% of the messages.
JOBS = [f"{0x1300 + number:016x}" for number in range(24)]
IMPOSSIBLE = f"{0x13:016x}"
FINISH_S = 14.0
WINDOW_S = 3.0


async def play(site, trouble):
    for number in range(RUNNERS):
        await site.add_worker(f"runner-{number}", ["a", f"r1-{number // 4}"], cpu=CORES_MS)
    await site.start({"rosters": {"priority": 1, "slack_factor": 2.2, "target_completion_ms": 1000},
                      "waivers": {"priority": 2, "slack_factor": 1.5, "target_completion_ms": 250}},
                     [{"name": "school", "api_keys": [stand_in.KEY], "priority": 1, "weight": 100,
                       "cap": {"cpu": CAP_CPU, "mem_mb": 0, "gpu": 0}}])
    if trouble:
        # No runner has 10 cores.
        await site.submit("rosters", IMPOSSIBLE, [{"count": 2, "cpu": 10_000, "mem_mb": 256, "estimate_ms": 2000,
                                                   "gang": True}], {"ms": [2000], "gang": 2})
    await asyncio.sleep(3.5)
    for job in JOBS:
        # The runs take longer than estimated, so that the second step begins late.
        await site.submit("waivers", job, [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300},
                                           {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300,
                                            "depends_on": [0]}], {"ms": [1000, 1000]})
    site.record.write("the traffic ends")
    await asyncio.sleep(FINISH_S)
    waiting = [job for job in JOBS if await site.state("waivers", job) != "completed"]
    idle = await asyncio.gather(*(site.runs_nothing_for(job, WINDOW_S) for job in waiting))
    lost = [job for job, is_idle in zip(waiting, idle) if is_idle and await site.state("waivers", job) != "completed"]
    if lost:
        return [f"LOST: {FINISH_S:.0f} s after the traffic {len(lost)} of {len(JOBS)} jobs run nothing for "
                f"{WINDOW_S:.0f} s, while their tenant and all runners are idle"]
    return []


if __name__ == "__main__":
    sys.exit(stand_in.main(play, FOLDER))

"""A runner crashes under a gang as large as its tenant's cap, and the gang never runs again."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_in_3 as stand_in  # noqa: E402  (needs the path above)

RUNNERS = 8
CORES_MS = 8000
CAP_CPU = 10_000
MEMBERS = 4
RUN_MS = 2000
DOWN_S = 2.0
TRAFFIC_S = 30.0
FINISH_S = 14.0
WINDOW_S = 3.0
GANG = f"{0x12:016x}"


async def look_up(site, seconds):
    """Hands a short lookup in, again and again, until the traffic ends."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        await site.submit("lookups", f"{0x120000 + number:016x}",
                          [{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 200}], {"ms": [200]})
        await asyncio.sleep(0.3)


async def crash(worker):
    worker.crash()
    await asyncio.sleep(DOWN_S)
    await worker.start()


async def play(site, trouble):
    for number in range(RUNNERS):
        await site.add_worker(f"runner-{number}", ["a", f"r1-{number // 4}"], cpu=CORES_MS)
    await site.start({"rosters": {"priority": 0, "slack_factor": 1.5, "target_completion_ms": 250},
                      "lookups": {"priority": 0, "slack_factor": 1.5, "target_completion_ms": 250}},
                     [{"name": "school", "api_keys": [stand_in.KEY], "priority": 1, "weight": 100,
                       "cap": {"cpu": CAP_CPU, "mem_mb": 0, "gpu": 0}}])
    await site.submit("rosters", GANG, [{"count": MEMBERS, "cpu": CAP_CPU // MEMBERS, "mem_mb": 256,
                                         "estimate_ms": RUN_MS, "gang": True}], {"ms": [RUN_MS], "gang": MEMBERS})
    await asyncio.sleep(RUN_MS / 2000)
    if trouble:
        hit = next(worker for worker in site.workers.values() if any(task.startswith(GANG) for task in worker.runs))
        asyncio.ensure_future(crash(hit))
    await look_up(site, TRAFFIC_S)
    site.record.write("the traffic ends")
    await asyncio.sleep(FINISH_S)
    if await site.state("rosters", GANG) == "completed":
        return []
    idle = await site.runs_nothing_for(GANG, WINDOW_S)
    state = await site.state("rosters", GANG)
    starts = [start for start in site.ledger.starts if start[2].startswith(GANG)]
    if idle and state != "completed":
        return [f"LOST: {FINISH_S:.0f} s after the traffic the gang is {state} and runs nothing for {WINDOW_S:.0f} s, "
                f"while its tenant and all runners are idle; {len(starts)} runs of it have started in all"]
    return []


if __name__ == "__main__":
    sys.exit(stand_in.main(play, FOLDER))

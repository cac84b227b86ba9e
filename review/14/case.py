"""Jobs that can never be done put a sound runner out of use, and a healthy job that needs it doesn't run."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_in_3 as stand_in  # noqa: E402  (needs the path above)

RUNNERS = 8
# The dose of the small sites: at most 5% of the messages, for 3 s.
MESSAGES = 100
HOPELESS_EVERY = 20
TRAFFIC_S = 3.0
RUN_MS = 300
MAX_ATTEMPTS = 4
FINISH_S = 14.0
WINDOW_S = 3.0
HEALTHY = f"{0x14:016x}"


async def play(site, trouble):
    for number in range(RUNNERS):
        await site.add_worker(f"runner-{number}", ["b" if number == 0 else "a", f"r1-{number // 4}"])
    await site.start({"lookups": {"priority": 0, "max_attempts": MAX_ATTEMPTS}})

    def submit(job, label, fails):
        step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": RUN_MS, "required_label": label}
        return site.submit("lookups", job, [step], {"ms": [RUN_MS], "fails": fails})

    for number in range(MESSAGES):
        is_hopeless = number % HOPELESS_EVERY == 7
        if trouble or not is_hopeless:
            await submit(f"{0x1400 + number:016x}", "b" if is_hopeless else "a", is_hopeless)
        await asyncio.sleep(TRAFFIC_S / MESSAGES - 0.02)
    # Until the runner has been given up for the longest time.
    end = time.monotonic() + 30
    failed = []
    while trouble and len(failed) < 12 and time.monotonic() < end:
        failed = [run for run in site.ledger.ends if run[4] == "failed"]
        await asyncio.sleep(0.05)
    await asyncio.sleep(4)
    await submit(HEALTHY, "b", False)
    site.record.write("the traffic ends")
    await asyncio.sleep(FINISH_S)
    if await site.state("lookups", HEALTHY) == "completed":
        return []
    idle = await site.runs_nothing_for(HEALTHY, WINDOW_S)
    state = await site.state("lookups", HEALTHY)
    if idle and state != "completed":
        return [f"LOST: {FINISH_S:.0f} s after the traffic the job is {state} and runs nothing for {WINDOW_S:.0f} s, "
                "while its runner is sound and idle"]
    return []


if __name__ == "__main__":
    sys.exit(stand_in.main(play, FOLDER))

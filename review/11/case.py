import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from lab import *

FOLDER = pathlib.Path(__file__).resolve().parent


async def register_foreign_worker(lab):
    """Keeps an entry of another writer up to date: the configuration doesn't name its service."""
    entry = {"service": "print-api", "address": "127.0.0.1:9", "zone": "z1", "version": "v7", "slots": 8, "state": "ready",
             "cold-left-ms": 0, "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "labels": ["a", "r-z1-9"], "clock-ms": 482113,
             "seq-no": 4, "born": int(time.time() * 1000)}
    while True:
        await lab.store.write("servers", "i-print-77", entry)
        await asyncio.sleep(HEARTBEAT_S)
        entry["seq-no"] += 1
        entry["clock-ms"] += int(HEARTBEAT_S * 1000)


async def run():
    lab = Lab(FOLDER, ["z1", "z2"])
    for zone in lab.zones:
        for number in range(3):
            lab.add_worker(f"{zone}-w{number + 1}", zone)
    try:
        await lab.start(config(1, [("work", "/work/", {})]))
        step = {"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1000}
        steps = [step, {**step, "after": [0]}, {**step, "after": [1]}]
        jobs = [(await lab.submit(instance, "/work/", steps, {"ms": 1000}))[0] for instance in lab.instances]
        await asyncio.sleep(0.5)
        if TROUBLE:
            lab.record("another writer registers i-print-77, a worker of the service print-api, in servers/")
            lab.spawn(register_foreign_worker(lab))
        await asyncio.sleep(2)
        for instance in lab.instances:  # For the record only: these may be refused.
            job = f"{random.getrandbits(64):016x}"
            lab.ledger.steps[job] = [step]
            await lab.http(instance.frontend, "POST", "/work/" + job, {"spec": '{"ms": 100}', "steps": [step]}, note="(for the record)")
        ended_at = lab.record.now()
        lab.record("the traffic ends")
        stalled = await lab.stalled(jobs, ended_at)
        for job in jobs:
            await lab.state(lab.instances[0], "/work/", job)
        return not stalled
    finally:
        await lab.close()


main(run)

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-3"))
from lab import *

FOLDER = pathlib.Path(__file__).resolve().parent


async def run():
    lab = Lab(FOLDER, ["z1", "z2"], instances_per_zone=1)
    for zone in lab.zones:
        for number in range(2):
            lab.add_worker(f"{zone}-w{number + 1}", zone)
    try:
        await lab.start(config(1, [("work", "/work/", {}), ("dropped", "/dropped/", {})]))
        steps = [{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 60}]
        known, _, _ = await lab.submit(lab.instances[0], "/work/", steps, {"ms": 60})
        # Lookups of 60 ms may take until their deadline of 1,500 ms: 25 times their longest chain of work.
        await lab.put_config(config(4, [("work", "/work/", {}), ("added", "/added/", {"stretch": 25.0 if TROUBLE else 1.6})]))
        acknowledged_at = lab.record.now()
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        faults = []
        while lab.record.now() < acknowledged_at + 12:
            for instance in lab.instances:
                _, status, _ = await lab.submit(instance, "/added/", steps, {"ms": 60})
                if status == 404:
                    faults.append(f"{instance.name} refused a job of the added route with 404")
                job, status, _ = await lab.submit(instance, "/dropped/", steps, {"ms": 60})
                await asyncio.sleep(0.3)
                if any(task.startswith(job + ".") for _, task, _, _ in lab.ledger.starts):
                    faults.append(f"{instance.name} ran a job of the dropped route")
            await asyncio.sleep(1)
        for fault in faults:
            lab.record(f"CONFIG: {fault}")
        # For the record only, not part of the check: what an instance answers that starts after the change.
        instance = lab.instances[0]
        instance.signal(signal.SIGKILL)
        await instance.process.wait()
        await asyncio.sleep(0.5)
        await instance.start()
        await asyncio.sleep(6)
        await lab.http(instance.ready, "GET", "/readyz", note="(for the record)")
        await lab.state(instance, "/work/", known)
        return not faults
    finally:
        await lab.close()


main(run)

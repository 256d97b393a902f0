import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from cluster import BODEGA, botika, job, main

CREW = "dispensing-ops-00"
SITE = botika([BODEGA], {("bodega-server", "pasig-hall", False): 2}, [(CREW, 200.0, 10000.0)])
WAIT_S = 108.0


async def case(cluster, trouble):
    record = cluster.record
    await cluster.start()
    fleet = cluster.fleet
    # A machine fetches at `fetch_gb_per_s`, give or take a third. With the trouble, the first machine is a third
    # faster and the second a third slower: they have the image after 37.5 s and 75 s. Without it, both take 50 s.
    factors = [4 / 3, 2 / 3] if trouble else [1.0, 1.0]
    plain = cluster.cloud.start

    async def start(name, *kind):
        address = await plain(name, *kind)
        fleet.workers[name].fetch_factor = factors.pop(0) if factors else 1.0
        rate = BODEGA["fetch_gb_per_s"] * fleet.workers[name].fetch_factor
        record("worker %s: fetches %.3f GB a second" % (name, rate))
        return address

    cluster.cloud.start = start
    await cluster.wait_until_ready(10)
    began = time.monotonic()
    await cluster.submit(job("run-000001", CREW, "ensemble", 2, docket="formulary-sync", vcpus=86.0, gpus=8.0,
                             memory_gb=460.0, together=True, plate="formulary", image_gb=6.0, expected_s=20.0,
                             bookmark_s=30.0, bookmark_cost_s=2.0), run_s=20.0)
    while time.monotonic() - began < WAIT_S:
        if len(fleet.starts) == 2:
            record.say("run-000001 runs %.1f s after it was accepted" % (time.monotonic() - began))
            return True
        await asyncio.sleep(0.2)
    await cluster.poll("run-000001")
    attempts = sorted({task.attempt for worker in fleet.workers.values() for task in worker.tasks.values()})
    record.say("the attempt that is on the machines now: %s" % attempts)
    record.say("run-000001 has not begun %.1f s after it was accepted" % (time.monotonic() - began))
    return False


main(case, SITE)

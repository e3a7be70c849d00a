"""The first machine fails every task that it starts, for less than a minute. From the third failed task
on no machine is requested for the job. The machine is released as idle between two starts, and the
accepted job never runs."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from cloud import Cloud  # noqa: E402
from harness import BROKEN, HELD, TROUBLE, HttpClient, run_case  # noqa: E402
from small_site import LIANFANG, Site  # noqa: E402

# The trouble: the first machine fails every task that it starts until then. Later machines are sound.
FAILS_UNTIL_S = 60.0
END_AT_S = 108.0
SHAPES = [
    {
        "label": "xiao", "cpus": 8, "gpus": 0, "mem_gb": 16, "local_gb": 50, "fetch_gb_per_s": 0.3,
        "price": 0.33, "spot_price": 0.09, "startup_s": 20.0, "bays": ["taoyuan-dc"],
    },
]
CAPACITY = {("xiao", "taoyuan-dc", False): 20, ("xiao", "taoyuan-dc", True): 10}
TEAMS = """
team "orders-team" {
  cpus = 216
  cpus_max = 896
}
"""
JOB = {
    "id": "j-000001", "pattern": "order-api", "owner": "orders-team", "weave": "standing", "rank": "prod",
    "threads": 4, "cpus": 2.0, "gpus": 0.0, "mem_gb": 2.3, "bundle": "img-01", "size_gb": 0.7,
    "shapes": None, "bay": None, "one_zone": False, "spread": False, "loaner": False,
    "guess_s": 0.0, "knot_s": 0.0, "tie_s": 0.0, "due_s": None,
}


async def case(record, work, processes):
    def fails(machine):
        failing = TROUBLE and machine["id"] == "host-000001" and record.now() < FAILS_UNTIL_S
        record(f"{machine['id']} gets a start command{', the task fails' if failing else ''}")
        return failing

    site = Site(record, work, processes, teams=TEAMS, settings=LIANFANG)
    controllers = {}
    boot_s = lambda shape, now: random.uniform(0.6, 1.5) * SHAPES[0]["startup_s"]  # noqa: E731
    cloud = Cloud(record, SHAPES, CAPACITY, boot_s, (controllers, 1.0, 10.0), fails)
    # The machines of taoyuan-dc belong to the other two controllers, which are in that zone.
    await site.start(cloud=await cloud.start(), first=1)
    controllers.update((c.name, c.front) for c in site.controllers)
    user = HttpClient(site.controllers[1].front)
    status = None
    while status not in (200, 201):
        status, body = await user.request("POST", "/v1/jobs", JOB)
        record(f"{JOB['id']} submit -> {status} {body}")
        await asyncio.sleep(1.0)
    last_run = 0.0
    while record.now() < END_AT_S:
        await asyncio.sleep(4.0)
        status, body = await user.request("GET", f"/v1/jobs/{JOB['id']}", timeout=2.0)
        running = cloud.running_tasks()
        last_run = record.now() if running else last_run
        record(f"{JOB['id']} poll -> {status} {body}; {running} tasks run, {len(cloud.machines)} machines")
    released_at = max((at for at, _ in cloud.released), default=END_AT_S)
    requested = sum(n for at, n in cloud.requested if at > released_at)
    record(f"last release at {released_at:.1f} s, {requested} machines requested after it; last run {last_run:.1f} s")
    gone = not cloud.machines and not requested
    return BROKEN if gone and not last_run else HELD


run_case(FOLDER, case)

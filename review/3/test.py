"""A controller is cut from the state service and from the other controllers. They go on without it
and take new machines into use. Then one of them ends, and workers of these machines report to the
controller that is cut off. It answers 200 with a token below the one that the report shows."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from harness import BROKEN, HELD, TROUBLE, HttpClient, run_case  # noqa: E402
from small_site import Site  # noqa: E402

TASKS = 10
CUT_AT_S = 11.5
CRASH_AT_S = 26.0
RESTART_AFTER_S = 8.0
END_AT_S = 50.0
JOB = {
    "id": "j-000001", "pattern": "menu-report", "owner": "orders-team", "weave": "array", "rank": "normal",
    "threads": TASKS, "cpus": 7.0, "gpus": 0.0, "mem_gb": 2.0, "bundle": "img-01", "size_gb": 0.5,
    "shapes": None, "bay": "taoyuan-dc", "one_zone": False, "spread": False, "loaner": False,
    "guess_s": 600.0, "knot_s": 0.0, "tie_s": 0.0, "due_s": None,
}


async def case(record, work, processes):
    unentitled = []

    def seen(controller, method, path, request, status, response):
        if path != "/hello":
            return
        threads = [(t["thread"], t["try"], t["status"]) for t in request["threads"]]
        answer = response.get("baton") if status == 200 else response
        record(
            f"{request['frame']} stint {request['stint']} tally {request['tally']} baton "
            f"{request['baton']} {threads} -> {controller.name}: {status} {answer}"
        )
        if status == 200 and response["baton"] < request["baton"]:
            unentitled.append((request["frame"], threads))

    site = Site(record, work, processes, boot_s=20.0, seen=seen)
    await site.start()
    cut_off, other, crashing = site.controllers
    user = HttpClient(other.door)
    status = None
    while status not in (200, 201):
        status, body = await user.request("POST", "/v1/jobs", JOB)
        record(f"{JOB['id']} submit -> {status} {body}")
        await asyncio.sleep(1.0)
    await asyncio.sleep(CUT_AT_S - record.now())
    if TROUBLE:
        record(f"cut: {cut_off.name} loses the state service and the other controllers")
        for link in [cut_off.state_link, *site.links_between(cut_off)]:
            link.cut()
    await asyncio.sleep(CRASH_AT_S - record.now())
    user.close()
    status, body = await user.request("GET", f"/v1/jobs/{JOB['id']}")
    record(f"{JOB['id']} poll -> {status} {body}")
    if TROUBLE:
        record(f"crash: {crashing.name} ends")
        crashing.process.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await site.start_controller(crashing)
    await asyncio.sleep(END_AT_S - record.now())
    for frame, threads in unentitled:
        record(f"{frame} with {threads} got 200 with a lower token than its report showed")
    return BROKEN if unentitled else HELD


run_case(FOLDER, case)

"""A controller is cut from the state service and from the other controllers, not from its users.
Users who were connected to it ask about their accepted jobs and never get an answer again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from harness import BROKEN, HELD, TROUBLE, HttpClient, run_case  # noqa: E402
from small_site import Site  # noqa: E402

USERS = 12
CUT_AT_S = 10.0
# The rule: every poll for a job fails for this long while most others get answers.
FORGOTTEN_AFTER_S = 90.0
CUT_FOR_S = 98.0
POLL_INTERVAL_S = 5.0
POLL_TIMEOUT_S = 2.0


def description(job):
    return {
        "id": job, "pattern": "menu-report", "owner": "orders-team", "weave": "array", "rank": "normal",
        "threads": 1, "cpus": 2.0, "gpus": 0.0, "mem_gb": 2.0, "bundle": "img-01", "size_gb": 0.5,
        "shapes": None, "bay": None, "one_zone": False, "spread": False, "loaner": False,
        "guess_s": 600.0, "knot_s": 0.0, "tie_s": 0.0, "due_s": None,
    }


class User:
    """Keeps its connection to the load balancer open, submits a job and asks about it every 5 s."""

    def __init__(self, record, address, number):
        self.record, self.job = record, f"j-{number:06d}"
        self.client = HttpClient(address)
        self.polls = []  # (when it was sent, whether it was answered)

    async def submit(self):
        for _ in range(50):
            status, body = await self.client.request("POST", "/v1/jobs", description(self.job))
            self.record(f"{self.job} submit -> {status} {body}")
            if status in (200, 201):
                return
            await asyncio.sleep(1.0)
        raise RuntimeError(f"{self.job} was not accepted")

    async def poll(self, until):
        while self.record.now() < until:
            sent = self.record.now()
            status, body = await self.client.request("GET", f"/v1/jobs/{self.job}", timeout=POLL_TIMEOUT_S)
            self.record(f"{self.job} poll -> {status} {body}")
            self.polls.append((sent, status == 200))
            await asyncio.sleep(max(0.0, sent + POLL_INTERVAL_S - self.record.now()))


def longest_silence(polls):
    """The first and the last poll of the longest run of polls without an answer."""
    longest, begin = (0.0, 0.0), None
    for sent, answered in polls:
        if answered:
            begin = None
            continue
        begin = sent if begin is None else begin
        if sent - begin > longest[1] - longest[0]:
            longest = (begin, sent)
    return longest


async def case(record, work, processes):
    site = Site(record, work, processes)
    await site.start()
    await asyncio.sleep(1.5)  # The load balancer takes all controllers for healthy.
    users = [User(record, site.users, number) for number in range(1, USERS + 1)]
    for user in users:
        await user.submit()
    until = CUT_AT_S + CUT_FOR_S
    polling = [asyncio.create_task(user.poll(until)) for user in users]
    await asyncio.sleep(max(0.0, CUT_AT_S - record.now()))
    cut_off = site.controllers[0]
    if TROUBLE:
        record(f"cut: {cut_off.name} loses the state service and the other controllers")
        for link in [cut_off.state_link, *site.links_between(cut_off)]:
            link.cut()
    await asyncio.gather(*polling)
    health, _ = await HttpClient(cut_off.front).request("GET", "/healthz", timeout=1.0)
    record(f"{cut_off.name} answers GET /healthz with {health}")
    broken = False
    for user in users:
        begin, end = longest_silence(user.polls)
        others = [ok for u in users if u is not user for sent, ok in u.polls if begin <= sent <= end]
        answered = sum(others)
        record(f"{user.job}: no answer for {end - begin:.1f} s; others: {answered} of {len(others)} answered")
        if end - begin >= FORGOTTEN_AFTER_S and answered * 2 > len(others):
            broken = True
    return BROKEN if broken else HELD


run_case(FOLDER, case)

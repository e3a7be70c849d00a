"""A small cloud with its machines' workers, as PROTOCOL describes them: requests for
machines that get the same answer when they are repeated, lists, releases of at most 100 names, and
workers that report, take commands and run their tasks until they are stopped."""

import asyncio
import random
import time

from harness import HttpClient, pack, read_message, unpack, write_message

MAX_RELEASED = 100
MAX_RENTED = 50
PAGE = 500


async def serve_http(handler, address="127.0.0.1:0"):
    """Serves `handler(method, path, body) -> (status, body)`; returns the address."""

    async def serve(reader, writer):
        try:
            while True:
                line, _, data = await read_message(reader)
                method, path = line.split()[:2]
                status, body = await handler(method, path, unpack(data) if data else None)
                data = pack(body)
                writer.write(write_message(f"HTTP/1.1 {status} Status", {"content-length": len(data)}, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(serve, host, int(port))
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Worker:
    """A machine's worker. Tasks run from their start command until they are stopped."""

    def __init__(self, machine, fails, controllers, report_s, lease_s):
        """`fails(machine)`: whether the machine fails every task that it starts now."""
        self.machine, self.fails, self.controllers = machine, fails, controllers
        self.report_s, self.lease_s = report_s, lease_s
        self.stint, self.tally, self.baton = 1, 0, 0
        self.threads = {}
        self.addr = None
        self.lease_from = time.monotonic()
        self.reported, self.token_counted = (1, {}, 0), 0.0

    async def start(self):
        self.addr = await serve_http(self.handle)
        self.reporting = asyncio.create_task(self.report_forever())

    def stop(self):
        self.reporting.cancel()
        self.threads.clear()

    def report(self):
        self.tally += 1
        threads = [{"thread": t, "try": n, **state} for (t, n), state in self.threads.items()]
        return {
            "frame": self.machine["id"], "addr": self.addr, "shape": self.machine["shape"],
            "bay": self.machine["bay"], "loaner": self.machine["loaner"], "stint": self.stint,
            "tally": self.tally, "baton": self.baton, "warning_s": None, "threads": threads,
        }

    def execute(self, orders):
        for order in orders:
            key = (order["thread"], order["try"])
            if order["verb"] == "launch":
                failed = {"status": "ended", "cause": "error"}
                self.threads.setdefault(key, failed if self.fails(self.machine) else {"status": "running"})
            elif order["verb"] == "stop" and key in self.threads:
                self.threads[key] = {"status": "ended", "cause": "halted"}
            elif order["verb"] == "clear" and self.threads.get(key, {}).get("status") == "ended":
                del self.threads[key]

    def end_lease_if_over(self):
        if time.monotonic() - self.lease_from > self.lease_s:
            self.threads.clear()
            self.stint += 1
            self.lease_from = time.monotonic()

    async def handle(self, method, path, body):
        self.end_lease_if_over()
        if path == "/commands":
            if body["baton"] < self.baton or body["stint"] != self.stint:
                return 409, self.report()
            self.baton = body["baton"]
            self.execute(body["orders"])
        return 200, self.report()

    async def wait_for_report(self, pause, may_report_changes):
        """Waits until the next report is due: after the pause or, if something has changed since the
        last report, half a second after it. A higher token counts once in half of the lease."""
        end = time.monotonic() + pause
        await asyncio.sleep(min(pause, 0.5))
        while time.monotonic() < end:
            token_counts = time.monotonic() - self.token_counted > self.lease_s / 2
            if may_report_changes and self.reported[:2] != (self.stint, dict(self.threads)):
                return
            if may_report_changes and token_counts and self.reported[2] != self.baton:
                self.token_counted = time.monotonic()
                return
            await asyncio.sleep(0.05)

    async def report_forever(self):
        names = list(self.controllers)
        target, client = random.randrange(len(names)), None
        while True:
            client = client or HttpClient(self.controllers[names[target]])
            self.end_lease_if_over()
            stint, sent = self.stint, time.monotonic()
            self.reported = (self.stint, dict(self.threads), self.baton)
            status, body = await client.request("POST", "/hello", self.report(), timeout=4.0)
            pause = self.report_s * random.uniform(0.75, 1.25)
            if status == 200:
                if body["baton"] >= self.baton and stint == self.stint:
                    self.baton, self.lease_from = body["baton"], sent
                    self.execute(body["orders"])
            else:
                other = body.get("foreman") if status == 421 else None
                known = other in names and names.index(other) != target
                target = names.index(other) if known else (target + 1) % len(names)
                pause = 0.2 if known else 1.0
                client.close()
                client = None
            await self.wait_for_report(pause, client is not None)


class Cloud:
    """`boot_s(shape, now)` is the time that a machine takes to come up; None: it never does."""

    def __init__(self, record, shapes, capacity, boot_s, workers, fails=lambda machine: False):
        """`capacity`: the number of machines by type, zone and whether they are spot machines.
        `workers`: the controllers' addresses by name, the interval of reports and the lease."""
        self.fails = fails
        self.record, self.shapes, self.free = record, shapes, dict(capacity)
        self.boot_s, self.workers = boot_s, workers
        self.machines, self.hires, self.last = {}, {}, 0
        self.too_long = []  # (time, names, status) of releases with more than 100 names
        self.released = []  # (time, names)
        self.requested = []  # (time, machines)

    async def start(self):
        return await serve_http(self.handle)

    async def handle(self, method, path, body):
        if path == "/machine_types":
            return 200, {"shapes": self.shapes}
        if method == "POST" and path == "/machines":
            return self.rent(body)
        if path == "/machines/release":
            return self.release(body["frames"])
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        return self.list(query.get("after", ""), int(query.get("page", PAGE)))

    def rent(self, body):
        if body["hire"] in self.hires:
            return 200, {"frames": self.hires[body["hire"]]}
        offer = (body["shape"], body["bay"], body["loaner"])
        count = min(body["number"], MAX_RENTED, self.free.get(offer, 0))
        if count <= 0:
            self.record(f"cloud: {body} -> 503 no capacity")
            return 503, {"error": "no capacity"}
        self.free[offer] -= count
        names = []
        for _ in range(count):
            self.last += 1
            name = f"host-{self.last:06d}"
            names.append(name)
            machine = {
                "id": name, "addr": "127.0.0.1:1", "shape": body["shape"], "bay": body["bay"],
                "loaner": body["loaner"], "status": "starting", "from": time.monotonic(),
            }
            self.machines[name] = machine
            boot_s = self.boot_s(body["shape"], self.record.now())
            machine["boot"] = asyncio.create_task(self.boot(machine, boot_s)) if boot_s is not None else None
        self.hires[body["hire"]] = names
        self.requested.append((self.record.now(), len(names)))
        self.record(f"cloud: {body} -> 200 {len(names)} machines from {names[0]} on")
        return 200, {"frames": names}

    async def boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        machine["worker"] = Worker(machine, self.fails, *self.workers)
        await machine["worker"].start()
        machine["addr"], machine["status"] = machine["worker"].addr, "running"
        self.record(f"cloud: {machine['id']} is up")

    def release(self, names):
        if len(names) > MAX_RELEASED:
            self.too_long.append((self.record.now(), len(names)))
            self.record(f"cloud: release of {len(names)} machines -> 400")
            return 400, {"error": f"more than {MAX_RELEASED} names"}
        for name in names:
            if machine := self.machines.pop(name, None):
                self.free[(machine["shape"], machine["bay"], machine["loaner"])] += 1
                if machine["boot"]:
                    machine["boot"].cancel()
                if "worker" in machine:
                    machine["worker"].stop()
        self.released.append((self.record.now(), len(names)))
        self.record(f"cloud: release of {len(names)} machines -> 200")
        return 200, {}

    def list(self, after, page):
        names = sorted(name for name in self.machines if name > after)
        now = time.monotonic()
        fields = ("id", "addr", "shape", "bay", "loaner", "status")
        frames = [
            {**{f: self.machines[n][f] for f in fields}, "held_s": now - self.machines[n]["from"]}
            for n in names[:page]
        ]
        return 200, {"frames": frames, "has_next": len(names) > page}

    def running_tasks(self):
        workers = [m["worker"] for m in self.machines.values() if "worker" in m]
        return sum(t["status"] == "running" for w in workers for t in w.threads.values())

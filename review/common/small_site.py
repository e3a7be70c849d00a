"""A site of the project's own stand-ins with the settings of a deployment. Every controller reaches the
state service and each of its peers over links of its own, which can be cut."""

import asyncio
import functools
import os
import re
import shutil

from harness import InspectingLink, Link, deploy_command, free_ports, wait_healthy

LIANFANG = {
    "controllers": [("loomhost-0", "taoyuan-dc"), ("loomhost-1", "taichung-dc"), ("loomhost-2", "taoyuan-dc")],
    "capacity": "{ taoyuan-dc = 20, taichung-dc = 20 }",
    "report_s": 1.0, "lease_s": 10, "gang_wait_s": 30, "gang_peer_s": 5, "cancel_s": 40,
    "rps": 200, "write_rps": 80, "value_kb": 16, "txn_ops": 12, "cloud_rps": 5, "list_lag_s": 8,
    "cores": 0.12, "memory_mb": 56, "max_connections": 900,
}
AALTOMITTA = {
    "controllers": [
        ("loomhost-0", "espoo-hall"), ("loomhost-1", "kuopio-hall"), ("loomhost-2", "vaasa-edge"),
        ("loomhost-3", "espoo-hall"), ("loomhost-4", "kuopio-hall"),
    ],
    "capacity": "{ espoo-hall = 20, kuopio-hall = 20, vaasa-edge = 20 }",
    "report_s": 4.0, "lease_s": 24, "gang_wait_s": 30, "gang_peer_s": 5, "cancel_s": 44,
    "rps": 80, "write_rps": 30, "value_kb": 8, "txn_ops": 16, "cloud_rps": 4, "list_lag_s": 10,
    "cores": 0.08, "memory_mb": 104, "max_connections": 1800,
}

SITE = """
seed = 7
listen {{ 
  users = "{users}"
  cloud = "{cloud}"
}}
{controllers}
machine_type "xiao" {{
  cpus = 8
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 1.0
  price = 0.33
  spot_price = 0.09
  boot_s = {boot_s}
  capacity = {capacity}
}}
{teams}
workers {{
  report_s = {report_s}
  lease_s = {lease_s}
  gang_wait_s = {gang_wait_s}
  gang_peer_s = {gang_peer_s}
  cancel_s = {cancel_s}
}}
state {{
  rps = {rps}
  write_rps = {write_rps}
  value_kb = {value_kb}
  txn_ops = {txn_ops}
}}
cloud {{
  rps = {cloud_rps}
  list_lag_s = {list_lag_s}
  slow_boots = 0
  quick_boots = 0
  never_up = 0
  notice_s = 30
}}
limits {{
  cores = {cores}
  memory_mb = {memory_mb}
  max_connections = {max_connections}
}}
"""

TEAMS = """
team "orders-team" {
  cpus = 216
  cpus_max = 896
}
"""

CONTROLLER = """
controller "{name}" {{
  zone = "{zone}"
  front = "{front}"
  internal = "{internal}"
  door = "{door}"
  state = "{state}"
}}
"""


class Controller:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.front, self.internal, self.door, self.state, self.listens_at = free_ports(5)
        self.state_link = None
        self.peer_links = {}
        self.process = None


class Site:
    def __init__(self, record, work, processes, boot_s=2.0, teams=TEAMS, seen=None, settings=LIANFANG):
        """`seen(controller, method, path, request, status, response)` is shown every exchange of
        users and workers with a controller."""
        self.record, self.work, self.processes, self.seen = record, work, processes, seen
        self.boot_s, self.teams, self.settings = boot_s, teams, settings
        self.choose_addresses()

    async def start(self, cloud=None, first=None):
        """`cloud`: the address of a cloud in place of the emulated one. `first`: the number of a
        controller that is started two seconds before the others, so that it leads."""
        for _ in range(4):
            if await self.try_start(cloud, first):
                return
            await self.processes.end_all()
            self.choose_addresses()
        raise RuntimeError("no free addresses were found")

    async def try_start(self, cloud, first):
        """Starts the site. Returns False if another process has taken one of its addresses."""
        folder = await self.start_stand_ins()
        if not folder:
            return self.address_taken("site")
        for c in self.controllers:
            try:
                await self.prepare(c, folder, cloud)
            except OSError as error:
                self.record(f"an address of {c.name} was taken ({error}); trying others")
                return False
        if first is not None:
            await self.start_controller(self.controllers[first])
            await asyncio.sleep(2.0)
        for c in self.controllers:
            if c.process is None:
                await self.start_controller(c)
        for c in self.controllers:
            if not await wait_healthy(c.front, lambda: c.process.returncode is not None):
                return self.address_taken(c.name)
            if c.process.returncode is not None:
                return self.address_taken(c.name)
            self.record(f"{c.name} is healthy at {c.front}")
        return True

    def address_taken(self, name):
        """Returns False if a process has ended because it could not listen; any other reason is an error."""
        with open(self.log(name)) as file:
            last = (file.read().strip().splitlines() or [""])[-1]
        self.record(f"{name} did not start: {last}")
        if "in use" not in last:
            raise RuntimeError(f"{name} did not start")
        return False

    def choose_addresses(self):
        self.controllers = [Controller(name, zone) for name, zone in self.settings["controllers"]]
        self.users, self.cloud = free_ports(2)

    async def start_stand_ins(self):
        """Starts the stand-ins. Returns the folder of the settings, or None if they have ended."""
        blocks = "".join(CONTROLLER.format(**vars(c)) for c in self.controllers)
        text = SITE.format(
            **{**self.settings, "controllers": blocks},
            users=self.users, cloud=self.cloud, boot_s=self.boot_s, teams=self.teams,
        )
        site_file, folder = os.path.join(self.work, "site.hcl"), os.path.join(self.work, "settings")
        shutil.rmtree(folder, ignore_errors=True)
        with open(site_file, "w") as file:
            file.write(text)
        process = await self.processes.start(
            [deploy_command()[0], "emulate", "--site", site_file, "--settings", folder], self.log("site")
        )
        last = os.path.join(folder, f"{self.controllers[-1].name}.toml")
        while not os.path.exists(last):
            if process.returncode is not None:
                return None
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        return folder if process.returncode is None else None

    def log(self, name):
        return os.path.join(self.work, f"{name}.log")

    async def prepare(self, c, folder, cloud):
        """Replaces the addresses in a controller's settings by those of its links."""
        path = os.path.join(folder, f"{c.name}.toml")
        with open(path) as file:
            text = file.read()
        c.state_link = Link(c.state)
        text = text.replace(f'state = "{c.state}"', f'state = "{await c.state_link.start()}"')
        for peer in self.controllers:
            if peer is not c:
                link = c.peer_links[peer.name] = Link(peer.internal)
                text = text.replace(f'address = "{peer.internal}"', f'address = "{await link.start()}"')
        assert not re.search(f'"{c.state}"', text)
        if self.seen:
            text = text.replace(f'front = "{c.front}"', f'front = "{c.listens_at}"')
            await InspectingLink(c.listens_at, functools.partial(self.seen, c)).start(c.front)
        if cloud:
            text = text.replace(f'cloud = "{self.cloud}"', f'cloud = "{cloud}"')
        c.settings = os.path.join(self.work, f"{c.name}.toml")
        with open(c.settings, "w") as file:
            file.write(text)

    async def start_controller(self, c):
        c.process = await self.processes.start(
            deploy_command() + [c.settings], self.log(c.name), {"LOG_LEVEL": "info"}
        )
        self.record(f"started {c.name}, process {c.process.pid}")

    def links_between(self, c):
        """The links between a controller and the other controllers, in both directions."""
        return list(c.peer_links.values()) + [
            other.peer_links[c.name] for other in self.controllers if other is not c
        ]

"""A site of the project's own stand-ins with three controllers, with settings like those of the
Lianfang deployment. Every controller reaches the state service and each of its peers over links of
its own, which can be cut."""

import asyncio
import functools
import os
import re

from harness import InspectingLink, Link, deploy_command, free_ports, wait_healthy

CONTROLLERS = [("loomhost-0", "taoyuan-dc"), ("loomhost-1", "taichung-dc"), ("loomhost-2", "taoyuan-dc")]

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
  capacity = {{ taoyuan-dc = 20, taichung-dc = 20 }}
}}
{teams}
workers {{
  report_s = 1.0
  lease_s = 10
  gang_wait_s = 30
  gang_peer_s = 5
  cancel_s = 40
}}
state {{
  rps = 200
  write_rps = 80
  value_kb = 16
  txn_ops = 12
}}
cloud {{
  rps = 5
  list_lag_s = 8
  slow_boots = 0
  quick_boots = 0
  never_up = 0
  notice_s = 30
}}
limits {{
  cores = 0.12
  memory_mb = 56
  max_connections = 900
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
    def __init__(self, record, work, processes, boot_s=2.0, teams=TEAMS, seen=None):
        """`seen(controller, method, path, request, status, response)` is shown every exchange of
        users and workers with a controller."""
        self.record, self.work, self.processes, self.seen = record, work, processes, seen
        self.boot_s, self.teams = boot_s, teams
        self.controllers = [Controller(name, zone) for name, zone in CONTROLLERS]
        self.users, self.cloud = free_ports(2)

    async def start(self):
        blocks = "".join(CONTROLLER.format(**vars(c)) for c in self.controllers)
        text = SITE.format(
            users=self.users, cloud=self.cloud, controllers=blocks, boot_s=self.boot_s, teams=self.teams
        )
        site_file, folder = os.path.join(self.work, "site.hcl"), os.path.join(self.work, "settings")
        with open(site_file, "w") as file:
            file.write(text)
        program = deploy_command()[0]
        await self.processes.start(
            [program, "emulate", "--site", site_file, "--settings", folder], self.log("site")
        )
        for c in self.controllers:
            await self.prepare(c, folder)
        for c in self.controllers:
            await self.start_controller(c)
        for c in self.controllers:
            if not await wait_healthy(c.front):
                raise RuntimeError(f"{c.name} did not become healthy")
            if c.process.returncode is not None:
                raise RuntimeError(f"{c.name} has ended")
            self.record(f"{c.name} is healthy at {c.front}")

    def log(self, name):
        return os.path.join(self.work, f"{name}.log")

    async def prepare(self, c, folder):
        """Replaces the addresses in a controller's settings by those of its links."""
        path = os.path.join(folder, f"{c.name}.toml")
        for _ in range(100):
            if os.path.exists(path):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.1)
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

"""What the review scripts share: a small deployment of the deploy file's program on loopback.

The store, the leaves' entries and the proxy are the stand-ins of fakes/routed_site.py. The daemons are
started with the command of deploy/system.toml, each with a settings file that platform/settings.template
gives for one machine of a small deployment (graceS 6, retrySlack 56, cpuShare 0.25).
"""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "fakes"))
import routed_site  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "apricotd")
GRACE_S = 6
HOST = "site.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} s  {text}\n")
        self.file.flush()


class Node:
    """One apricotd as the deploy file runs it. Its ports stay the same over restarts."""

    def __init__(self, record, folder, number, zone, first_port, store):
        self.record, self.name, self.zone = record, f"front-{zone}-{number}", zone
        self.first_port, self.store = first_port, store
        self.folder, self.process, self.log = folder, None, None
        self.settings = os.path.join(folder, f"{self.name}.settings")

    def address(self, offset):
        return f"127.0.0.1:{self.first_port + offset}"

    @property
    def front(self):
        return self.address(0)

    @property
    def directory(self):
        return self.address(1)

    @property
    def ready(self):
        return self.address(2)

    @property
    def control(self):
        return self.address(3)

    def settings_write(self, seeds):
        lines = [f"APRICOT_NAME={self.name}", f"APRICOT_DC={self.zone}",
                 f"APRICOT_HTTP={self.address(4)}", f"APRICOT_RPC={self.control}",
                 f"APRICOT_PEERS={','.join(seeds)}", f"APRICOT_PLATFORM={self.store}",
                 f"APRICOT_GATEWAY={self.front}", f"APRICOT_DIRECTORY={self.directory}",
                 f"APRICOT_READY={self.ready}", f"APRICOT_STOP_MS={GRACE_S}000",
                 "APRICOT_WATCH_MS=2000", "APRICOT_ENTRY_TTL_MS=1200",
                 "APRICOT_REPEAT_WINDOW_MS=10000", "APRICOT_REPEAT_SLACK=56",
                 "APRICOT_CPU=0.25", "APRICOT_PING_MS=450"]
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")

    async def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", self.settings, stdout=log, stderr=log, cwd=ROOT)
        self.record.add(f"{self.name} started, pid {self.process.pid}")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.add(f"{self.name} gets {signal.Signals(number).name}")
            os.kill(self.process.pid, number)

    async def end(self):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGCONT)
            os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        answer = (await routed_site.call(self.ready, "/ready", timeout_s=1))[1]
        return answer is not None and answer[0] == 200

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), errors="replace",
                  encoding="utf-8") as log:
            return log.read()


class Case:
    """The store, the leaves and the nodes of one case."""

    def __init__(self, folder):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/apricotd is missing: run the build of the deploy file first")
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.site = routed_site.Site()
        self.store = self.site.store
        self.nodes, self.servers = [], []

    def leaf_put(self, leaf_id, service, address, zone, state="ready", born=1, capacity=2):
        self.store.put("servers/" + leaf_id, json.dumps(
            {"service": service, "address": address, "zone": zone, "version": "v1",
             "capacity": capacity, "state": state, "warmupRemainingMs": 0, "sequence": 1,
             "born": born}).encode())

    def config_put(self, version, routes, services, **limits):
        every = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                 "idleTimeoutMs": 15000, **limits}
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "limits": every,
             "services": [{"name": n, "healthCheckPath": "/health", "maxConnections": 110,
                           "protocol": "h1", "tls": False} for n in services]}).encode())

    async def nodes_start(self, zones=("a", "b", "c"), stores=None):
        first = routed_site.free_ports(8 * len(zones))
        for i, zone in enumerate(zones):
            self.nodes.append(Node(self.record, self.temporary.name, i + 1, zone, first + 8 * i,
                                   stores[i] if stores else self.store.address))
        seeds = [n.control for n in self.nodes[:3]]
        for node in self.nodes:
            node.settings_write(seeds)
            await node.start()
        for node in self.nodes:
            if not await routed_site.wait_for(node.is_ready, 8):
                raise CannotRun(f"{node.name} does not get ready")

    async def end(self):
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def route(prefix, **more):
    return {"name": "r" + prefix, "hostname": HOST, "prefix": prefix, "routeType": "safe",
            "timeoutMs": 6000, "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, **more}


def main(folder, scenario):
    """Runs scenario(case), which returns the list of what broke the rule; exits with 0, 1 or 2."""
    async def run():
        case = Case(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)  # so that the processes are ended
        case.record.add("with the disturbance" if TROUBLE else "TROUBLE=0: without the disturbance")
        try:
            return case, await asyncio.wait_for(scenario(case), 110)
        finally:
            await case.end()

    try:
        case, broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        case.record.add("BROKEN: " + line)
        print("BROKEN:", line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)

"""A small deployment for the cases of review/6 and on: machines that run the deploy file's command on loopback
addresses, the platform's store, leaves, proxies between them, and a record of what was sent, answered and run.

The settings of a machine are platform/settings.template filled in from the fields that DEPLOY.md lists.
"""
import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "fakes"))
from routed_site import Server, Store, read_message, response_bytes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Of the site that the cases name; DEPLOY.md says what they mean.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
          "retrySlack": 52, "recoveryS": 12, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
HOST = "site.example"


def text_of(value):
    if isinstance(value, (list, tuple)):
        return ",".join(text_of(v) for v in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return "" if value is None else str(value)


def template_fill(text, fields):
    """Fills in the placeholders and sections of a template as DEPLOY.md describes them."""
    def find(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        value, inner = find(match[1], fields), match[2]
        if not value:
            return ""
        pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
        return "".join(inner.replace("{{@}}", str(k)).replace("{{.}}", text_of(v))
                       .replace("{{,}}", "," if i + 1 < len(pairs) else "")
                       for i, (k, v) in enumerate(pairs))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text_of(find(m[1], fields)), text)


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.began, self.lines = time.monotonic(), []
        self.path = os.path.join(folder, "record.txt")

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


class Proxy(Server):
    """TCP proxy before one address. delay_s is how late each block from the target is passed on; while is_silent,
    nothing passes in either direction. on_request(data) hears of each block for the target."""

    def __init__(self, target, ip="127.0.0.1", port=0):
        super().__init__(ip, port)
        self.target, self.is_silent, self.delay_s = target, False, 0.0
        self.on_request = None

    async def serve(self, reader, writer):
        ip, port = self.target.split(":")
        target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        self.writers.add(target_writer)
        try:
            tasks = [asyncio.create_task(self._forward(reader, target_writer, False)),
                     asyncio.create_task(self._forward(target_reader, writer, True))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        finally:
            self.writers.discard(target_writer)
            target_writer.close()

    async def _forward(self, reader, writer, is_answer):
        while True:
            data = await reader.read(65536)
            if not data:
                return
            if not is_answer and self.on_request:
                self.on_request(data)
            if is_answer and self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.is_silent:
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()


class Leaf(Server):
    """A leaf. It runs each request that names its id at once and records the run."""

    def __init__(self, site, leaf_id, service, zone, ip="127.0.0.1", port=0):
        super().__init__(ip, port)
        self.site, self.id, self.service, self.zone = site, leaf_id, service, zone
        self.born, self.sequence, self.state, self.work_s = int(time.time() * 1000), 0, "ready", 0.004

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "capacity": 4, "state": self.state, "warmupRemainingMs": 0,
                           "sequence": self.sequence, "born": self.born}).encode()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, fields, body = message
            request = fields.get("x-request-id")
            if fields.get("x-target-instance", self.id) != self.id:
                writer.write(response_bytes(421))
                continue
            self.site.run_note(self, request, line, body)
            await asyncio.sleep(self.work_s)
            payload = self.site.payload(request, self)
            writer.write(response_bytes(200, payload, {
                "X-Request-Id": request, "X-Response-Signature": f"{request}.{self.id}"}))
            await writer.drain()


class Machine:
    """A machine of the system: one process, started with the command of the deploy file."""

    def __init__(self, site, name, zone, ip):
        self.site, self.name, self.zone, self.ip, self.process = site, name, zone, ip, None
        self.store_address = site.store.address

    def fields(self):
        at = {k: f"{self.ip}:{p}" for k, p in self.site.ports.items()}
        return {"nodeName": self.name, "role": "entry", "machineClass": "front",
                "serves": ["front", "directory", "control"], "ip": self.ip, "zone": self.zone, "region": "r",
                "zones": {z: "r" for z in self.site.zones}, "listenAddrs": at,
                "internalPortRange": [self.site.internal_port, self.site.internal_port + 15],
                "seeds": [f"{m.ip}:{self.site.ports['control']}" for m in self.site.machines[:3]],
                "bootstrap": True, "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                                              "linkMbps": 1000.0, "diskMb": 0},
                "contracts": CONTRACTS, "bounds": BOUNDS,
                "platform": {"address": self.store_address, "form": "read", "readsPerS": 2000, "historyS": 20,
                             "valueBytes": 1048576}}

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = template_fill(template.read(), self.fields())
        settings = os.path.join(self.site.folder, self.name + ".settings")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(text)
        words = shlex.split(role["run"].replace("/etc/apricotworks/settings.yaml", settings))
        with open(os.path.join(self.site.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C"})
        self.site.record.note(f"start {self.name}")

    def signal_send(self, number):
        if self.process and self.process.returncode is None:
            self.site.record.note(f"signal {signal.Signals(number).name} {self.name}")
            self.process.send_signal(number)

    async def kill(self):
        self.signal_send(signal.SIGCONT)
        self.signal_send(signal.SIGKILL)
        await self.process.wait()

    @property
    def front(self):
        return self.ip, self.site.ports["front"]

    def log_has(self, text):
        with open(os.path.join(self.site.folder, self.name + ".log"), encoding="utf-8", errors="replace") as log:
            return any(text in line for line in log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.site.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(message) and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False


def free_ports(ip, count):
    """The first of some consecutive ports that nothing uses on the address."""
    for first in random.SystemRandom().sample(range(6000, 20000, count), 100):
        probes = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probes.append(socket.socket(socket.AF_INET, kind))
                    probes[-1].bind((ip, port))
            return first
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free ports")


class Site:
    def __init__(self, case_folder, zones=("za", "zb", "zc")):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(case_folder)
        self.zones, self.machines, self.leaves, self.proxies = list(zones), [], {}, []
        self.store, self.routes, self.version, self.runs = Store(), [], 0, {}
        block = random.SystemRandom().randrange(1 << 14)
        self.net = f"127.{64 + (block >> 8)}.{block & 255}"
        first = free_ports(f"{self.net}.1", 20)
        self.ports = {"front": first, "ready": first + 1, "control": first + 2, "directory": first + 3}
        self.internal_port = first + 4

    async def start(self):
        self.store.ip = self.net + ".200"
        await self.store.start()

    def machine_add(self, name, zone):
        machine = Machine(self, name, zone, f"{self.net}.{len(self.machines) + 1}")
        self.machines.append(machine)
        return machine

    async def leaf_add(self, leaf_id, service, zone):
        leaf = Leaf(self, leaf_id, service, zone, self.net + ".100")
        await leaf.start()
        self.leaves[leaf_id] = leaf
        self.store.put(f"servers/{leaf_id}", leaf.entry())
        return leaf

    def route_set(self, prefix, **fields):
        route = {"name": "r" + prefix, "hostname": HOST, "prefix": prefix, "routeType": "safe", "timeoutMs": 3000,
                 "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2, **fields}
        self.routes = [r for r in self.routes if r["prefix"] != prefix] + [route]

    def publish(self):
        self.version += 2
        names = sorted({leaf.service for leaf in self.leaves.values()})
        config = {"version": self.version, "routes": self.routes,
                  "services": [{"name": n, "healthCheckPath": "/health", "maxConnections": 110} for n in names],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                             "idleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(config).encode())
        self.record.note(f"confirmed op/config version {self.version}")

    def payload(self, request, leaf):
        return random.Random(f"{request}/{leaf.service}").randbytes(48)

    def run_note(self, leaf, request, line, body):
        self.runs.setdefault(request, []).append((time.monotonic(), leaf.id))
        self.record.note(f"run {request} at {leaf.id} of {leaf.service}: {line}")

    async def request(self, machine, path, wait_ms=3000, method="GET", body=b""):
        """One consumer attempt on a connection of its own: (id, status or None)."""
        request = f"{random.getrandbits(64):016x}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
                f"X-Deadline-Ms: {wait_ms}\r\nConnection: close\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.record.note(f"sent {request} to {machine.name}: {method} {path}")
        status = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*machine.front), 1)
            writer.write(head.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(reader), wait_ms / 1000)
            writer.close()
            status = int(message[0].split(" ")[1]) if message else None
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.note(f"answered {request}: {status}")
        return request, status

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                await machine.kill()
        for server in [*self.proxies, *self.leaves.values(), self.store]:
            if server.server:
                await server.stop()
        self.record.write()
        shutil.rmtree(self.folder, ignore_errors=True)


async def until(condition, seconds):
    """Waits until the condition, plain or async, holds; False after the given seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(0.01)
    return False


def main(case, folder):
    """Runs the case; exits with 1 if it returns BROKEN, 0 for HELD, and 2 if it could not run."""
    async def guarded():
        site = Site(folder)
        try:
            await site.start()
            return await asyncio.wait_for(case(site), 110)
        except Exception as error:  # pylint: disable=broad-except
            site.record.note(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(site.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await site.stop()
    sys.exit(asyncio.run(guarded()))

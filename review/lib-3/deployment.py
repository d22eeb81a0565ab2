"""A small deployment on loopback for the cases of this review.

The daemons run with the command and the settings template of deploy/system.toml, each on an address of
its own from 127.0.0.2 on, with the same ports. The store, the leaves and the clients are stand-ins that
follow the users' pages. Everything that was sent, answered and run goes to the record.
"""
import asyncio
import base64
import copy
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "site.example"
HEARTBEAT_S = 1.2
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
          "retrySlack": 56, "recoveryS": 12, "ttl_max_s": 5}


class Record:
    """The file record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


def render(template, fields):
    """Fills in a settings template as the platform does (DEPLOY.md, "Settings of a process")."""
    def find(scope, name):
        if name == ".":
            return scope[-1][1]
        if name == "@":
            return scope[-1][0]
        for _, value in reversed(scope):
            found = value
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    break
            else:
                return found
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text_of(v) for v in value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scope):
        def section(match):
            value = find(scope, match.group(2))
            inner = match.group(3)
            if match.group(1) == "^":
                return fill(inner, scope) if not value else ""
            if not value:
                return ""
            if not isinstance(value, (dict, list)):
                return fill(inner, scope)
            entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            return "".join(fill(inner.replace("{{,}}", "," if i + 1 < len(entries) else ""),
                                scope + [entry]) for i, entry in enumerate(entries))
        text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([^#/^}][^}]*)\}\}", lambda m: text_of(find(scope, m.group(1))), text)

    return fill(template, [("", fields)])


async def read_message(reader):
    """(first line, fields by lower-case name, body) of one message; None when the connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return lines[0], fields, body


def message_bytes(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Accepts connections on one loopback address."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port, self.server, self.writers = ip, 0, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def connections_abort(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        self.connections_abort()


class Store(Server):
    """The platform's store: keys with revisions, listings in pages, watches, and copies of itself.

    restore() puts a copy in place of the content, as in a drill: revisions go back, watches from a
    revision that the store does not have get 410, and Store-Era rises by one.
    """

    HISTORY_S = 20

    def __init__(self, record):
        super().__init__()
        self.record, self.items, self.history, self.revision, self.era = record, {}, [], 0, 1
        self.dropped_revision = 0
        self.is_away = False
        self.changed = asyncio.Event()

    def _event_add(self, event):
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and now - self.history[0][0] > self.HISTORY_S:
            self.dropped_revision = self.history.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "createRevision": created, "lease": 0}
        self._event_add(dict(self.items[key]))
        self.record.add("store", "era", self.era, "revision", self.revision, "put", key, value.decode()[:160])

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._event_add({"key": key, "revision": self.revision, "tombstone": True})
        self.record.add("store", "era", self.era, "revision", self.revision, "remove", key)

    def copy_take(self):
        self.record.add("store", "copy taken at revision", self.revision)
        return copy.deepcopy((self.items, self.history, self.revision, self.dropped_revision))

    async def go_away(self):
        """Ends all connections and accepts none until come_back()."""
        self.record.add("store", "away")
        self.is_away = True
        await self.stop()

    async def come_back(self, taken=None):
        if taken:
            self.items, self.history, self.revision, self.dropped_revision = copy.deepcopy(taken)
            self.era += 1
        self.is_away = False
        await self.start()
        self.record.add("store", "back, era", self.era, "revision", self.revision)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None or self.is_away:
                return
            path, _, query = message[0].split(" ")[1].partition("?")
            arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            era = self.era
            status, body = await self._answer(path, arguments)
            if era != self.era or self.is_away:
                return
            writer.write(message_bytes(f"HTTP/1.1 {status} X", {
                "Content-Type": "application/json", "Store-Era": self.era}, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, path, arguments):
        prefix = arguments.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(arguments.get("key", ""))
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > arguments.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "storeRevision": self.revision}
        if path != "/kv-watch":
            return 404, {}
        after = int(arguments.get("after", 0))
        until = time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
        while True:
            if after < self.dropped_revision or after > self.revision:
                self.record.add("store", "watch after", after, "gets 410, revision", self.revision)
                return 410, {}
            events = [e for _, e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass


class Leaf(Server):
    """A leaf. It runs what is sent to its id, answers with a digest, and reports itself to the store."""

    def __init__(self, site, leaf_id, service, zone, work_s=0.005, warmup_ms=0):
        super().__init__()
        self.site, self.id, self.service, self.zone, self.work_s = site, leaf_id, service, zone, work_s
        self.state, self.born, self.warmup_ms = "ready", int(time.time() * 1000), warmup_ms
        self.runs = []  # (seconds, request id)

    def entry(self):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                           "version": "v1", "capacity": 4, "state": self.state,
                           "warmupRemainingMs": self.warmup_ms, "sequence": 1, "born": self.born}).encode()

    def report(self):
        self.site.store.put("servers/" + self.id, self.entry())

    async def serve(self, reader, writer):
        record = self.site.record
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, fields, body = message
            request = fields.get("x-request-id", "")
            if fields.get("x-target-instance", self.id) != self.id:
                record.add("leaf", self.id, "rejects (421)", request)
                writer.write(message_bytes("HTTP/1.1 421 X", {"X-Request-Id": request, "X-Not-Executed": 1}))
                continue
            self.runs.append((record.now(), request))
            self.site.runs.setdefault(request, []).append(self)
            record.add("leaf", self.id, self.service, "runs", request, line)
            await asyncio.sleep(self.work_s)
            payload = f"{self.service} {self.id} {request}".encode()
            writer.write(message_bytes("HTTP/1.1 200 OK", {
                "X-Request-Id": request, "X-Response-Signature": f"{self.id}.{request}.{len(payload)}",
                "Keep-Alive": "timeout=5"}, payload))
            await writer.drain()


def free_ports(ips, count):
    """The first of so many consecutive ports that are free on all addresses."""
    while True:
        first = random.randrange(10000, 30000)
        probes = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        probes.append(probe)
                        probe.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class Daemon:
    """One process of the deploy file's role."""

    def __init__(self, site, index, zone):
        self.site, self.ip, self.zone = site, f"127.0.0.{index + 2}", zone
        self.name, self.process = f"front-{zone}-{index}", None
        self.settings_path = os.path.join(site.folder, self.name + ".yaml")
        self.log_path = os.path.join(site.folder, self.name + ".log")
        self.store_address = None  # None: that of the site's store
        self.seeds = None  # None: the first three daemons

    def address(self, name):
        offset = {"front": 0, "ready": 1, "control": 2, "directory": 3, "internal": 4}[name]
        return f"{self.ip}:{self.site.first_port + offset}"

    def settings(self):
        site = self.site
        return {"nodeName": self.name, "role": "entry", "machineClass": "front",
                "serves": ["front", "directory", "control"], "ip": self.ip, "zone": self.zone,
                "region": "norte", "zones": {zone: "norte" for zone in site.zones},
                "listenAddrs": {n: self.address(n) for n in ("front", "ready", "control", "directory")},
                "internalPortRange": [site.first_port + 4, site.first_port + 19],
                "seeds": self.seeds or [d.address("control") for d in site.daemons[:3]],
                "bootstrap": True, "inFaultBudget": False,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                           "linkMbps": 1000.0, "diskMb": 0},
                "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"],
                "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "platform": {"address": self.store_address or site.store.address, "form": "read",
                             "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                             "valueBytes": 1048576, "ttlMinMs": 1000}}

    def settings_write(self):
        with open(os.path.join(ROOT, site_role()["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.settings())
        with open(self.settings_path + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.rename(self.settings_path + ".new", self.settings_path)

    async def start(self):
        self.settings_write()
        words = [self.settings_path if w.startswith("/etc/") else w for w in site_role()["run"].split()]
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": "/usr/bin:/bin", "APRICOTWORKS_SETTINGS": self.settings_path})
        self.site.record.add("daemon", self.name, "started, pid", self.process.pid)

    def signal(self, number):
        self.site.record.add("daemon", self.name, signal.Signals(number).name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        answer = await fetch(self.address("ready"), "GET /ready HTTP/1.1", {"Host": HOST}, timeout_s=1)
        return answer is not None and answer[0] == 200


def site_role():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return next(iter(tomllib.load(file)["roles"].values()))


async def fetch(address, first_line, fields, body=b"", timeout_s=8.0):
    """(status, fields, body) of the answer to one request on a new connection, or None."""
    ip, port = address.split(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        text = "\r\n".join([first_line] + [f"{k}: {v}" for k, v in fields.items()])
        if body:
            text += f"\r\nContent-Length: {len(body)}"
        writer.write(text.encode() + b"\r\n\r\n" + body)
        return await read_message(reader)
    try:
        message = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()
    return (int(message[0].split(" ")[1]), message[1], message[2]) if message else None


class Site:
    """The stand-ins and the daemons of one case."""

    def __init__(self, case_folder, n_daemons=3, zones=("norte-a", "norte-b", "norte-c")):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="apricot-case-")
        self.zones, self.store, self.leaves, self.runs = zones, Store(self.record), {}, {}
        self.routes, self.version, self.sent = [], 0, 0
        self.daemons = [Daemon(self, i, zones[i % len(zones)]) for i in range(n_daemons)]
        self.first_port = free_ports([d.ip for d in self.daemons], 20)

    def route_set(self, prefix, **more):
        route = {"name": "r" + prefix.strip("/"), "hostname": HOST, "prefix": prefix, "routeType": "safe",
                 "timeoutMs": 6000, "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, **more}
        self.routes = [r for r in self.routes if r["prefix"] != prefix] + [route]

    def config(self):
        services = sorted({leaf.service for leaf in self.leaves.values()})
        return json.dumps({
            "version": self.version, "routes": self.routes,
            "services": [{"name": s, "healthCheckPath": "/health", "maxConnections": 110} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}).encode()

    def publish(self):
        """Writes the routes as a new version; the store's acceptance is the confirmation."""
        self.version += random.randrange(1, 5)
        self.store.put("op/config", self.config())
        self.record.add("operator", "version", self.version, "is confirmed")

    def config_write_again(self):
        self.store.put("op/config", self.config())
        self.record.add("operator", "version", self.version, "is written again")

    async def leaf_add(self, leaf_id, service, zone, **more):
        leaf = self.leaves[leaf_id] = Leaf(self, leaf_id, service, zone, **more)
        await leaf.start()
        leaf.report()
        return leaf

    async def daemons_start(self):
        """Starts all daemons and waits until each is ready and has found the others."""
        for daemon in self.daemons:
            await daemon.start()
        until = time.monotonic() + 15
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{daemon.name} does not become ready")
                await asyncio.sleep(0.05)

    async def request(self, daemon, path, method="GET", body=b"", wait_ms=6000):
        """One consumer attempt on a new connection: (request id, answer or None)."""
        self.sent += 1
        request = f"{random.getrandbits(64):016x}"
        self.record.add("client", "sends", request, method, path, "to", daemon.name)
        answer = await fetch(daemon.address("front"), f"{method} {path} HTTP/1.1",
                             {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": wait_ms}, body,
                             timeout_s=wait_ms / 1000 + 1)
        self.record.add("client", "gets", answer[0] if answer else "nothing", "for", request,
                        answer[2].decode("latin-1")[:80] if answer else "")
        return request, answer

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        for leaf in self.leaves.values():
            await leaf.stop()
        await self.store.stop()


def run(case_file, scenario, **options):
    """Runs scenario(site, trouble) -> True if the rule held. Exits with 1, 0 or 2 (could not run)."""
    site = None

    async def main():
        nonlocal site
        site = Site(os.path.dirname(os.path.abspath(case_file)), **options)
        try:
            return await asyncio.wait_for(scenario(site, os.environ.get("TROUBLE") != "0"), 110)
        finally:
            await site.stop()
    try:
        held = asyncio.run(main())
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {type(error).__name__}: {error}")
        if site:
            site.record.add("the case could not run:", type(error).__name__, error)
        sys.exit(2)
    site.record.add("result:", "the rule held" if held else "the rule is broken")
    print("the rule held" if held else "the rule is broken")
    sys.exit(0 if held else 1)

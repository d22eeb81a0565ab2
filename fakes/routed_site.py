"""Stand-in for the users' site: store, leaves and callers of a routed deployment, in one process.

Speaks the published protocol over loopback and keeps its own record of what ran, so that tests can
check what callers and leaves saw. Faults are set by assigning attributes.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import time

RECORD_BYTES = 16


async def read_message(reader):
    """Reads one HTTP message; returns (first line, fields in lower case, body) or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def answer_bytes(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} X"]
    for name, value in (fields or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections; each subclass handles one in serve()."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip, self.port, self.server, self.writers = ip, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()


class Store(Server):
    """The configuration store: keys with revisions, listings in pages, watches."""

    def __init__(self, page=50):
        super().__init__()
        self.items, self.history, self.revision = {}, [], 0
        self.page, self.mode, self.calls, self.forgotten = page, "ok", 0, 0
        self.swallowed = 0
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "createRevision": self.revision, "lease": 0}
        self._note(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        self.forgotten = self.revision
        self.history = []

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            self.calls += 1
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "reset":
                writer.transport.abort()
                return
            if self.mode == "busy":
                writer.write(answer_bytes(503))
                continue
            path, _, query = message[0].split(" ")[1].partition("?")
            arguments = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
            status, body = await self._answer(path, arguments)
            writer.write(answer_bytes(status, json.dumps(body).encode(),
                                      {"Content-Type": "application/json"}))
            await writer.drain()

    def swallow(self):
        """Questions that wait now are never answered, connections stay open; new ones hang too."""
        self.mode = "silent"
        self.swallowed += 1

    async def _answer(self, path, arguments):
        swallowed = self.swallowed
        status, body = await self._answer_now(path, arguments)
        if swallowed != self.swallowed:
            await asyncio.sleep(3600)
        return status, body

    async def _answer_now(self, path, arguments):
        prefix = arguments.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > arguments.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:self.page]],
                         "hasMore": len(keys) > self.page, "storeRevision": self.revision}
        after = int(arguments.get("after", 0))
        until = time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass


class Gate(Server):
    """Loopback proxy before one address: passes on, resets, cuts one way or falls silent."""

    def __init__(self, target, ip="127.0.0.1", port=0):
        super().__init__(ip, port)
        self.target, self.mode, self.delay_s = target, "ok", 0.0

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode == "silent":
            await asyncio.sleep(3600)
        ip, port = self.target.split(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        self.writers.add(far_writer)
        try:
            await asyncio.gather(self._pump(reader, far_writer, "cut_out"),
                                 self._pump(far_reader, writer, "cut_in"))
        finally:
            self.writers.discard(far_writer)
            far_writer.close()

    async def _pump(self, reader, writer, cut):
        while True:
            data = await reader.read(65536)
            while self.mode in (cut, "silent"):
                await asyncio.sleep(0.05)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Leaf(Server):
    """One leaf of a service. Faults: mode and work_s; a run is counted when work begins."""

    def __init__(self, site, leaf_id, service, dc="a", work_s=0.003):
        super().__init__()
        self.site, self.id, self.service, self.dc, self.work_s = site, leaf_id, service, dc, work_s
        self.mode, self.rate, self.born, self.runs = "ok", 1.0, int(time.time() * 1000), {}
        self.state, self.arrivals, self.late_arrivals = "ready", 0, 0
        self.leaving_since, self.readers = None, set()

    def entry(self):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.dc,
                           "version": "v1", "capacity": 2, "state": self.state,
                           "warmupRemainingMs": 0, "sequence": 1, "born": self.born}).encode()

    def is_hit(self, mode):
        return self.mode == mode and random.random() < self.rate

    def has_open_connections(self):
        return any(not reader.at_eof() for reader in self.readers)

    async def serve(self, reader, writer):
        self.readers.add(reader)
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, fields, body = message
            if fields.get("x-target-instance") not in (None, self.id):
                writer.write(answer_bytes(421, b"", {"X-Instance-Id": self.id}))
                continue
            self.arrivals += 1
            if self.leaving_since and time.monotonic() - self.leaving_since > self.site.drain_s:
                self.late_arrivals += 1
            request = fields.get("x-request-id", "")
            if self.is_hit("shed"):
                writer.write(answer_bytes(503, b"", {"X-Not-Executed": "1",
                                                     "X-Request-Id": request}))
                continue
            if self.is_hit("mute"):
                await asyncio.sleep(3600)
            self.runs[request] = self.runs.get(request, 0) + 1
            self.site.record_run(request, self, line, body)
            await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
            if self.is_hit("lose"):
                writer.transport.abort()
                return
            payload = self.site.payload(request, self)
            signature = self.site.signature(request, self, payload)
            good = {"X-Response-Signature": signature, "X-Request-Id": request}
            if self.is_hit("error"):
                writer.write(answer_bytes(500, b"no", good))
            elif self.is_hit("garbage"):
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
                return
            elif self.is_hit("cut"):
                writer.write(answer_bytes(200, payload, good)[:-3])
                return
            else:
                writer.write(answer_bytes(200, payload, good))
            if self.is_hit("twice"):
                writer.write(answer_bytes(200, payload, good))
            await writer.drain()


class Daemon:
    """One apricotd as a process; ports are fixed, so that it can start again."""

    def __init__(self, binary, name, dc, base_port, store, peers=None, extra=()):
        self.binary, self.name, self.dc, self.base, self.store = binary, name, dc, base_port, store
        self.peers, self.extra, self.process, self.log = peers, extra, None, None
        self.ip = "127.0.0.1"

    def address(self, offset):
        return f"{self.ip}:{self.base + offset}"

    @property
    def gateway(self):
        return self.address(0)

    @property
    def directory(self):
        return self.address(1)

    @property
    def rpc(self):
        return self.address(4)

    async def start(self, log_path="/dev/null"):
        arguments = ["--name", self.name, "--dc", self.dc, "--gateway", self.address(0),
                     "--directory", self.address(1), "--ready", self.address(2),
                     "--http", self.address(3), "--rpc", self.address(4),
                     "--platform", self.store, "--stop-ms", "6000",
                     "--watch-ms", "2000", "--repeat-slack", "50", *self.extra]
        if self.peers:
            arguments += ["--peers", self.peers]
        with open(log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, *arguments, stdout=log, stderr=log)

    def send(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


class Site:
    """A store with a configuration, and leaves; checks answers against what the leaves gave."""

    def __init__(self):
        self.store, self.leaves, self.routes, self.version = Store(), {}, [], 0
        self.drain_s, self.ran, self.given, self.shard_sets = 3.0, {}, {}, []
        self.faults = []

    async def start(self):
        await self.store.start()

    async def stop(self):
        for leaf in self.leaves.values():
            await leaf.stop()
        await self.store.stop()

    async def leaf_add(self, leaf_id, service, dc="a", work_s=0.003):
        leaf = Leaf(self, leaf_id, service, dc, work_s)
        await leaf.start()
        self.leaves[leaf_id] = leaf
        self.store.put(f"servers/{leaf_id}", leaf.entry())
        return leaf

    def leaf_report(self, leaf, state):
        leaf.state = state
        leaf.leaving_since = time.monotonic() if state != "ready" else None
        self.store.put(f"servers/{leaf.id}", leaf.entry())

    def route(self, prefix, **more):
        route = {"name": "r" + prefix, "hostname": "site.example", "prefix": prefix,
                 "routeType": "safe", "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
                 "maxAttempts": 2}
        route.update(more)
        self.routes = [r for r in self.routes if r["prefix"] != prefix] + [route]

    def publish(self):
        self.version += 3
        names = {leaf.service for leaf in self.leaves.values()}
        for route in self.routes:
            if "gather" in route and set(route["gather"]) not in self.shard_sets:
                self.shard_sets.append(set(route["gather"]))
        config = {"version": self.version, "routes": self.routes,
                  "services": [{"name": n, "healthCheckPath": "/health", "maxConnections": 40,
                                "protocol": "h1", "tls": False} for n in sorted(names)],
                  "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 20000,
                             "headerTimeoutMs": 800, "idleTimeoutMs": 5000}}
        self.store.put("op/config", json.dumps(config).encode())

    def record_run(self, request, leaf, line, body):
        self.ran.setdefault(request, []).append((leaf.service, leaf.id, line, body))

    def payload(self, request, leaf):
        source = random.Random(f"{request}/{leaf.service}")
        return bytes(source.randrange(256) for _ in range(RECORD_BYTES * 3 + 5))

    def signature(self, request, leaf, payload):
        signature = f"{abs(hash((request, leaf.id, leaf.born))):x}.{len(payload)}"
        self.given[signature] = (request, leaf.service, payload)
        return signature

    def check_answer(self, request, route, answer):
        """Returns what is wrong with an answer as a caller sees it, or None."""
        status, fields, body = answer
        if status in (429, 503, 408, 421) and route["routeType"] != "safe" and request in self.ran:
            return f"refused with {status} although it ran"
        if not 200 <= status < 300:
            return None
        if "gather" not in route:
            known = self.given.get(fields.get("x-response-signature", ""))
            if known is None or known[0] != request or known[2] != body:
                return "a foreign, cut or unsigned answer"
            return None
        return self._check_parts(request, route, fields, body)

    def _check_parts(self, request, route, fields, body):
        parts = [s.strip() for s in fields.get("x-part-signatures", "").split(",")]
        services, records = set(), []
        for part in parts:
            known = self.given.get(part)
            if known is None or known[0] != request or known[1] in services:
                return "a part that is foreign or named twice"
            services.add(known[1])
            records += [known[2][i:i + RECORD_BYTES]
                        for i in range(0, len(known[2]) - RECORD_BYTES + 1, RECORD_BYTES)]
        total = len(services) + int(fields.get("x-missing-parts", 0))
        if not any(services <= s and len(s) == total for s in self.shard_sets):
            return "parts and missing count make up no configured set"
        if len(services) < route["minShardRatio"] * total:
            return "less than the least share"
        if b"".join(sorted(records, reverse=True)[:route["topK"]]) != body:
            return "not the greatest records of its parts"
        return None


async def call(address, path, method="GET", body=b"", fields=None, wait_ms=2000, request=None,
               timeout_s=8.0, streams=None):
    """One attempt of a caller: (request id, (status, fields, body)) or (request id, None)."""
    request = request or f"{random.getrandbits(64):016x}"
    head = {"Host": "site.example", "X-Request-Id": request, "X-Deadline-Ms": str(wait_ms)}
    head.update(fields or {})
    if body:
        head["Content-Length"] = str(len(body))
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
    try:
        if streams is None:
            ip, port = address.split(":")
            streams = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            close = True
        else:
            close = False
        reader, writer = streams
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        message = await asyncio.wait_for(read_message(reader), timeout_s)
        if close:
            writer.close()
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return request, None
    if message is None:
        return request, None
    return request, (int(message[0].split(" ")[1]), message[1], message[2])


def free_ports(count):
    """First of a run of ports that are free now, below those that the system hands out itself."""
    for _ in range(200):
        first = random.SystemRandom().randrange(5000, 31000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


async def wait_for(condition, seconds=5.0):
    """Polls until the condition (a function, plain or async) holds; False when time is up."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(0.03)
    return False

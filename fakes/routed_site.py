"""Stand-ins for everything around apricotd in a routed deployment, all in one process: the
configuration store, the leaves, the callers, and proxies that inject network faults.

They speak the published protocol over loopback and record which requests ran at which leaf, so that
tests can check the responses that callers get. A test injects a fault by assigning an attribute,
such as Store.mode, FaultProxy.mode or Leaf.mode.
"""
import asyncio
import base64
import contextlib
import copy
import fcntl
import json
import os
import random
import re
import signal
import socket
import struct
import time
import urllib.parse

RECORD_BYTES = 16


async def read_message(reader):
    """Reads one HTTP message; returns (first line, header fields by lower-case name, body).

    Returns None when the connection ends or the message is incomplete or too long.
    """
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


def response_bytes(status, body=b"", fields=None):
    """Formats an HTTP response; fields are its header fields."""
    lines = [f"HTTP/1.1 {status} X"]
    for name, value in (fields or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def framed_response(payload, fields, framing):
    """Formats a 200 response whose body has a "length", is "chunked" or ends with the "connection"."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    if framing == "length":
        return response_bytes(200, payload, fields)
    if framing == "connection":
        return f"HTTP/1.1 200 X\r\n{head}Connection: close\r\n\r\n".encode() + payload
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part)
                      for part in (payload[:20], payload[20:]) if part)
    return f"HTTP/1.1 200 X\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode() + \
        chunks + b"0\r\n\r\n"


def connection_reset(writer):
    """Ends the connection with a reset, also when all data was read."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """Accepts TCP connections; a subclass handles each of them in serve()."""

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
        """Aborts all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()


class Store(Server):
    """The configuration store: keys with revisions, listings in pages, and watches.

    mode: "ok"; "silent" (does not respond, connections stay open); "reset" (aborts the connection
    of each request); "busy" (responds 503). calls counts the requests, listings those for a first page.
    era_text is the value of the field Store-Era of all responses; None: they have no such field.
    """

    def __init__(self, page_items=50):
        super().__init__()
        self.items, self.history, self.revision = {}, [], 0
        self.page_items, self.mode, self.calls, self.compacted_revision = page_items, "ok", 0, 0
        self.listings, self.era, self.era_text = 0, 0, None
        self.hang_count = 0  # calls of hang_waiting_requests()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.put_text(key, base64.b64encode(value).decode())

    def put_text(self, key, value, fields=None):
        """Stores a value that is base64 text already, or is none; fields replace those of the item."""
        self.revision += 1
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "createRevision": self.revision, "lease": 0, **(fields or {})}
        self._history_append({**self.items[key], "at": self.revision})

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._history_append({"key": key, "revision": self.revision, "tombstone": True,
                                  "at": self.revision})

    def _history_append(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def history_drop(self):
        """Drops the history; a watch from an older revision then gets 410."""
        self.compacted_revision = self.revision
        self.history = []

    def era_begin(self, era):
        self.era, self.era_text = era, str(era)

    def copy_take(self):
        """What come_back() takes to bring the store back to this moment."""
        return copy.deepcopy((self.items, self.history, self.revision, self.compacted_revision))

    async def come_back(self, taken):
        """Starts the store again after stop(), from a copy and in the next era."""
        self.items, self.history, self.revision, self.compacted_revision = copy.deepcopy(taken)
        self.era_begin(self.era + 1)
        await self.start()

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
                writer.write(response_bytes(503))
                continue
            path, _, query = message[0].split(" ")[1].partition("?")
            arguments = {name: urllib.parse.unquote(value) for name, _, value in
                         (pair.partition("=") for pair in query.split("&"))}
            status, body = await self._respond(path, arguments)
            fields = {"Content-Type": "application/json"}
            if self.era_text is not None:
                fields["Store-Era"] = self.era_text
            writer.write(response_bytes(status, json.dumps(body).encode(), fields))
            await writer.drain()

    def hang_waiting_requests(self):
        """Never responds to the requests that wait now, and sets the mode "silent" for new ones.

        All connections stay open.
        """
        self.mode = "silent"
        self.hang_count += 1

    async def _respond(self, path, arguments):
        hang_count = self.hang_count
        status, body = await self._respond_now(path, arguments)
        if hang_count != self.hang_count:  # hang_waiting_requests() was called meanwhile
            await asyncio.sleep(3600)
        return status, body

    async def _respond_now(self, path, arguments):
        prefix = arguments.get("prefix", "")
        if path == "/kv-range":
            self.listings += "after" not in arguments
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > arguments.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:self.page_items]],
                         "hasMore": len(keys) > self.page_items, "storeRevision": self.revision}
        after = int(arguments.get("after", 0))
        deadline = time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [{name: value for name, value in e.items() if name != "at"}
                      for e in self.history if e["at"] > after]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), remaining_s)
            except asyncio.TimeoutError:
                pass


class FaultProxy(Server):
    """TCP proxy on loopback in front of one address, with faults.

    mode: "ok" (forwards both ways); "reset" (aborts each new connection); "silent" (holds back all
    data; a connection that opens meanwhile is never forwarded); "cut_out" (holds back data to the
    target); "cut_in" (holds back data from the target). delay_s delays each block of data. rate_bytes_s
    limits the data in each direction of a connection; 0: no limit.
    """

    def __init__(self, target, ip="127.0.0.1", port=0):
        super().__init__(ip, port)
        self.target, self.mode, self.delay_s, self.rate_bytes_s = target, "ok", 0.0, 0

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode == "silent":
            await asyncio.sleep(3600)
        ip, port = self.target.split(":")
        target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        self.writers.add(target_writer)
        try:
            await asyncio.gather(self._forward(reader, target_writer, "cut_out"),
                                 self._forward(target_reader, writer, "cut_in"))
        finally:
            self.writers.discard(target_writer)
            target_writer.close()

    async def _forward(self, reader, writer, cut_mode):
        while True:
            data = await reader.read(self.rate_bytes_s // 20 or 65536)
            if self.rate_bytes_s:
                await asyncio.sleep(len(data) / self.rate_bytes_s)
            while self.mode in (cut_mode, "silent"):
                await asyncio.sleep(0.05)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Leaf(Server):
    """One leaf of a service, with faults. A run is counted when the work begins.

    mode, applied to a request with the probability rate:
    - before the work: "shed" (responds 503 with X-Not-Executed), "shed_one" (the same for one request),
      "mute" (never responds)
    - after the work: "lose" (aborts the connection), "error" (responds 500), "deny" (responds 408, 429 or
      503 without X-Not-Executed), "garbage" (sends bytes
      that are not HTTP and closes), "cut" (omits the last 3 bytes and closes), "twice" (sends the
      response twice), "short_head" (closes within the head), those of ENDLESS (go on until the connection
      is closed)

    copies sends each response of a connection a second time. "whole": right before the next response on
    it; "unnamed": the same without the request's id; "halves": the first half at once, the second half
    before the next response.

    raw is a response without its first line that is sent instead, with %s for the usual fields, behind
    first_line; after_raw counts requests that arrive on a connection behind such a response.

    cut is (framing, number of bytes, whether the connection is reset then) of a response that breaks off;
    framing is one of framed_response().

    fields are added to the head of every response of the leaf; arrival_times are those of its
    requests (time.monotonic).

    work_s is the mean service time; each request takes 0.5 to 1.5 times as long, with slots (an
    asyncio.Semaphore) only so many at the same time. late_arrivals
    counts requests that arrive more than Site.drain_s after the leaf started to leave. With accepts_any
    it also runs requests to another leaf.
    """

    # Modes that send without end: the begin of the response, and what is repeated.
    ENDLESS = {"endless_head": (b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * 4096),
               "endless_interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 160),
               "endless_body": (b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n", b"x" * 4096),
               "endless_length": (b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", b"x" * 4096),
               "endless_reason": (b"HTTP/1.1 200 ", b"x" * 4096),
               "endless_blank_lines": (b"", b"\r\n" * 2048),
               "endless_fields": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 512),
               "endless_chunks": (CHUNKED_HEAD, b"1\r\nx\r\n" * 700),
               "endless_chunk_line": (CHUNKED_HEAD + b"1;", b"x" * 4096),
               "endless_chunk_size": (CHUNKED_HEAD, b"0" * 4096),
               "endless_trailer": (CHUNKED_HEAD + b"0\r\nX-A: ", b"x" * 4096),
               "endless_trailers": (CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n" * 512)}

    def __init__(self, site, leaf_id, service, dc="a", work_s=0.003):
        super().__init__()
        self.site, self.id, self.service, self.dc, self.work_s = site, leaf_id, service, dc, work_s
        self.mode, self.rate, self.born_ms, self.runs = "ok", 1.0, int(time.time() * 1000), {}
        self.state, self.arrivals, self.late_arrivals, self.accepts_any = "ready", 0, 0, False
        self.leaving_since, self.readers = None, set()
        self.fields, self.arrival_times = {}, []
        self.endless = 0  # responses without end that are being sent
        self.copies, self.cut, self.slots = None, None, None
        self.warmup_ms = 0  # remaining warm-up, as the entry says
        self.raw, self.first_line, self.after_raw = None, "HTTP/1.1 200 X", 0
        self.framing = "length"  # of each complete response, see framed_response()
        self.payload = None  # body of each response; None: as Site.make_payload draws it
        self.sequence = 0  # of the last entry

    def entry(self):
        """The leaf's next entry in the store, as JSON."""
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.dc,
                           "version": "v1", "capacity": 2, "state": self.state,
                           "warmupRemainingMs": self.warmup_ms, "sequence": self.sequence,
                           "born": self.born_ms}).encode()

    def has_fault(self, mode):
        """Whether the fault mode is set and applies to the current request."""
        return self.mode == mode and random.random() < self.rate

    async def _send_endlessly(self, writer, head, block):
        self.endless += 1
        writer.write(head)
        try:
            while True:
                writer.write(block)
                await writer.drain()
        finally:
            self.endless -= 1

    def arrivals_most(self, seconds, since):
        """Most requests within any span of so many seconds that begins at or after since."""
        times = [t for t in self.arrival_times if t >= since]
        return max((sum(start <= t < start + seconds for t in times) for start in times), default=0)

    def has_open_connections(self):
        return any(not reader.at_eof() for reader in self.readers)

    async def _send_cut(self, writer, payload, headers):
        framing, n_bytes, has_reset = self.cut
        writer.write(framed_response(payload, headers, framing)[:n_bytes])
        await writer.drain()
        if has_reset:
            await asyncio.sleep(0.005)  # what was sent arrives before the reset
            connection_reset(writer)

    async def _send_copy(self, writer, response):
        """Sends a part of the response once more; returns what is due before the next response."""
        if self.copies == "unnamed":
            return re.sub(b"X-Request-Id: [^\r]*\r\n", b"", response)
        if self.copies == "halves":
            await writer.drain()
            await asyncio.sleep(0.002)
            writer.write(response[:len(response) // 2])
            return response[len(response) // 2:]
        return response if self.copies else b""

    async def serve(self, reader, writer):
        self.readers.add(reader)
        copy, was_raw = b"", False
        while True:
            message = await read_message(reader)
            if message is None:
                return
            self.after_raw += was_raw
            writer.write(copy)
            copy = b""
            line, fields, body = message
            if fields.get("x-target-instance") not in (None, self.id) and not self.accepts_any:
                writer.write(response_bytes(421, b"", {
                    "X-Instance-Id": self.id, "X-Request-Id": fields.get("x-request-id", "")}))
                continue
            self.arrivals += 1
            self.arrival_times.append(time.monotonic())
            if self.leaving_since and time.monotonic() - self.leaving_since > self.site.drain_s:
                self.late_arrivals += 1
            request_id = fields.get("x-request-id", "")
            if self.has_fault("shed") or self.mode == "shed_one":
                self.mode = "ok" if self.mode == "shed_one" else self.mode
                response = response_bytes(503, b"", {"X-Not-Executed": "1", **self.fields,
                                                     "X-Request-Id": request_id})
                writer.write(response)
                copy = await self._send_copy(writer, response)
                continue
            if self.has_fault("mute"):
                await asyncio.sleep(3600)
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.site.record_run(request_id, self, line, body)
            async with self.slots or contextlib.nullcontext():
                await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
            if self.has_fault("lose"):
                writer.transport.abort()
                return
            payload = self.site.make_payload(request_id, self)
            signature = self.site.sign(request_id, self, payload)
            headers = {"X-Response-Signature": signature, "X-Request-Id": request_id,
                       **self.fields}
            if self.cut:
                await self._send_cut(writer, payload, headers)
                return
            if self.raw:
                was_raw = True
                lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
                writer.write((self.first_line + "\r\n" + self.raw % lines).encode())
            elif self.has_fault("error"):
                writer.write(response_bytes(500, b"no", headers))
            elif self.has_fault("deny"):
                writer.write(response_bytes(random.choice([408, 429, 503]), b"no", headers))
            elif self.has_fault("garbage"):
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
                return
            elif self.has_fault("short_head"):
                text = response_bytes(200, payload, headers)
                writer.write(text[:random.randrange(1, text.index(b"\r\n\r\n") + 4)])
                return
            elif self.mode in self.ENDLESS and self.has_fault(self.mode):
                await self._send_endlessly(writer, *self.ENDLESS[self.mode])
                return
            elif self.has_fault("cut"):
                writer.write(response_bytes(200, payload, headers)[:-3])
                return
            else:
                response = framed_response(payload, headers, self.framing)
                writer.write(response)
                copy = await self._send_copy(writer, response)
            if self.has_fault("twice"):
                writer.write(response_bytes(200, payload, headers))
            await writer.drain()


def odd_entries(address, service):
    """Entries of leaves as another writer may leave them, by name: (name, bytes).

    Each is the entry of a ready leaf at the address with one fault, so that a reader that overlooks the
    fault calls that address.
    """
    fields = {"service": service, "address": address, "zone": "a", "version": "v1", "capacity": 2,
              "state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": 1}
    text = json.dumps(fields)
    ip, port = address.split(":")
    for depth in (10, 2047, 2048, 100000):
        # Those of fewer levels can be parsed, so they get a second fault.
        state = "ready" if depth > 2047 else "unknown"
        nested = json.dumps({**fields, "state": state, "x": "@"})
        yield f"nested-{depth}", nested.replace('"@"', "[" * depth + "]" * depth).encode()
        yield f"open-{depth}", b"[" * depth
    for name in ("capacity", "warmupRemainingMs", "sequence", "born"):
        numbers = ["1e400", "-1", "9" * 20, "9" * 400, str(1 << 64), "\"2\"", "null", "[2]"]
        if name == "capacity":
            numbers += ["0", str(1 << 31), str((1 << 31) - 1), str(1 << 32), str((1 << 32) + 1), "2.5"]
        for number in numbers:
            odd = json.dumps({**fields, name: "@"}).replace('"@"', number)
            yield f"{name}-{number[:24]}", odd.encode()
    for odd_port in ("0", "65536", "-1", "99999999999", str((1 << 32) + int(port)), f"{port}x",
                     f"+{port}", f" {port}", "", port + ":1"):
        yield f"port-{odd_port}", json.dumps({**fields, "address": f"{ip}:{odd_port}"}).encode()
    for name in ("service", "address", "zone", "state", "capacity"):
        for value in (None, "", True, ["x"], {}):
            yield f"{name}-{value}", json.dumps({**fields, name: value}).encode()
        yield f"{name}-missing", json.dumps({k: v for k, v in fields.items() if k != name}).encode()
    yield "address-missing-port", json.dumps({**fields, "address": ip}).encode()
    yield "service-line", json.dumps({**fields, "service": service + "\r\nX-Evil: 1"}).encode()
    yield "twice", (text[:-1] + ', "state": "ready"}').encode()
    yield "megabyte", (text[:-1] + ', "x": "' + "x" * (1 << 20) + '"}').encode()[:1 << 20]
    for name, value in (("nul", b"\x00" + text.encode()), ("text", b"ready"), ("array", b"[]"),
                        ("null", b"null"), ("empty", b""), ("latin", b'{"service": "\xe9"}')):
        yield name, value


class Daemon:
    """One apricotd process. Its ports are fixed, so that a restart keeps them.

    base_port is the first of five ports: gateway, directory, ready, http and rpc. store is the
    address of the store, and extra are further arguments of the command line.
    """

    def __init__(self, binary, name, dc, base_port, store, peers=None, extra=()):
        self.binary, self.name, self.dc, self.base_port = binary, name, dc, base_port
        self.store_address, self.peers, self.extra = store, peers, extra
        self.process, self.log = None, None
        self.ip = "127.0.0.1"

    def address(self, offset):
        return f"{self.ip}:{self.base_port + offset}"

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
                     "--platform", self.store_address, "--stop-ms", "6000",
                     "--watch-ms", "2000", "--repeat-slack", "50", *self.extra]
        if self.peers:
            arguments += ["--peers", self.peers]
        with open(log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, *arguments, stdout=log, stderr=log)

    def signal_send(self, signal_number):
        """Sends a signal, unless the process has exited."""
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal_number)

    async def kill(self):
        """Kills the process, even one that SIGSTOP has suspended, and waits until it has exited."""
        if self.process and self.process.returncode is None:
            self.signal_send(signal.SIGCONT)
            self.signal_send(signal.SIGKILL)
            await self.process.wait()


class Site:
    """A store with a configuration, and leaves. Checks responses against what the leaves sent.

    runs_by_request: request id to its runs, each (service, leaf id, request line, body)
    signed_payloads: signature to (request id, service, payload)
    shard_sets: the set of services of each gather route that was published in any version
    """

    def __init__(self):
        self.store, self.leaves, self.routes, self.version = Store(), {}, [], 0
        self.drain_s, self.runs_by_request, self.signed_payloads, self.shard_sets = 3.0, {}, {}, []
        self.faults, self.idle_ms, self.body_bytes = [], 5000, 20000
        self.service_fields = {}  # further fields of each service of the configuration
        self.config = b""  # as published last

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

    def leaf_state_set(self, leaf, state):
        """Sets and stores the state of the leaf. In any state but "ready" it is leaving."""
        leaf.state = state
        leaf.leaving_since = time.monotonic() if state != "ready" else None
        self.store.put(f"servers/{leaf.id}", leaf.entry())

    def route_set(self, prefix, **more):
        """Adds or replaces the route of a prefix; publish() puts it into the store."""
        route = {"name": "r" + prefix, "hostname": "site.example", "prefix": prefix,
                 "routeType": "safe", "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1,
                 "maxAttempts": 2}
        route.update(more)
        self.routes = [r for r in self.routes if r["prefix"] != prefix] + [route]

    def route_of(self, path):
        """The route of a path, or None."""
        return next((r for r in self.routes if path.startswith(r["prefix"])), None)

    def publish(self):
        """Stores the routes as a configuration with a higher version."""
        self.version += 3
        services = {leaf.service for leaf in self.leaves.values()}
        for route in self.routes:
            if "gather" in route and set(route["gather"]) not in self.shard_sets:
                self.shard_sets.append(set(route["gather"]))
        config = {"version": self.version, "routes": self.routes,
                  "services": [{"name": n, "healthCheckPath": "/health", "maxConnections": 40,
                                "protocol": "h1", "tls": False, **self.service_fields}
                               for n in sorted(services)],
                  "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": self.body_bytes,
                             "headerTimeoutMs": 800, "idleTimeoutMs": self.idle_ms}}
        self.config = json.dumps(config).encode()
        self.store.put("op/config", self.config)

    def record_run(self, request_id, leaf, line, body):
        self.runs_by_request.setdefault(request_id, []).append((leaf.service, leaf.id, line, body))

    def make_payload(self, request_id, leaf):
        """Body of a response: 3 records and 5 bytes that depend on the request and the service."""
        if leaf.payload is not None:
            return leaf.payload
        source = random.Random(f"{request_id}/{leaf.service}")
        return bytes(source.randrange(256) for _ in range(RECORD_BYTES * 3 + 5))

    def sign(self, request_id, leaf, payload):
        """Returns a signature and records the request, service and payload that it belongs to."""
        signature = f"{abs(hash((request_id, leaf.id, leaf.born_ms))):x}.{len(payload)}"
        self.signed_payloads[signature] = (request_id, leaf.service, payload)
        return signature

    def check_response(self, request_id, route, response):
        """Returns what is wrong with a response, from a caller's point of view, or None.

        response is (status, header fields, body).
        """
        status, fields, body = response
        is_refusal = status in (429, 503, 408, 421)
        if is_refusal and route["routeType"] != "safe" and request_id in self.runs_by_request:
            return f"refused with {status} although it ran"
        if not 200 <= status < 300:
            return None
        if "gather" not in route:
            known = self.signed_payloads.get(fields.get("x-response-signature", ""))
            if known is None or known[0] != request_id or known[2] != body:
                return "response is unsigned, incomplete or belongs to another request"
            return None
        return self._check_parts(request_id, route, fields, body)

    def _check_parts(self, request_id, route, fields, body):
        parts = [s.strip() for s in fields.get("x-part-signatures", "").split(",")]
        services, records = set(), []
        for part in parts:
            known = self.signed_payloads.get(part)
            if known is None or known[0] != request_id or known[1] in services:
                return "a part is unsigned, belongs to another request or repeats a service"
            services.add(known[1])
            records += [known[2][i:i + RECORD_BYTES]
                        for i in range(0, len(known[2]) - RECORD_BYTES + 1, RECORD_BYTES)]
        total = len(services) + int(fields.get("x-missing-parts", 0))
        if not any(services <= s and len(s) == total for s in self.shard_sets):
            return "parts and number of missing parts do not make up a configured set of shards"
        if len(services) < route["minShardRatio"] * total:
            return "share of included shards is below minShardRatio"
        if b"".join(sorted(records, reverse=True)[:route["topK"]]) != body:
            return "body is not the greatest records of the included parts"
        return None


async def call(address, path, method="GET", body=b"", fields=None, wait_ms=2000,
               request_id=None, timeout_s=8.0, streams=None):
    """Sends one request of a caller; returns (request id, (status, header fields, body)).

    The second item is None when no complete response arrives within timeout_s. wait_ms is the
    deadline that the request carries. With streams, a pair of reader and writer, the request uses
    that connection and leaves it open.
    """
    request_id = request_id or f"{random.getrandbits(64):016x}"
    head = {"Host": "site.example", "X-Request-Id": request_id, "X-Deadline-Ms": str(wait_ms)}
    head.update(fields or {})
    if body:
        head["Content-Length"] = str(len(body))
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
    try:
        if streams is None:
            ip, port = address.split(":")
            streams = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            close_after = True
        else:
            close_after = False
        reader, writer = streams
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        message = await asyncio.wait_for(read_message(reader), timeout_s)
        if close_after:
            writer.close()
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return request_id, None
    if message is None:
        return request_id, None
    return request_id, (int(message[0].split(" ")[1]), message[1], message[2])


PORT_BLOCK = 64  # ports that one lock file stands for
_port_locks = {}  # first port of a reservation: the open lock files of its blocks


def _block_lock(first):
    """Locks the block of ports that begins at first; an open file, or None if a process has it."""
    lock = open(f"/tmp/apricot-ports-{first}", "w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return None
    return lock


def _ports_are_free(first, count):
    sockets = []
    try:
        for port in range(first, first + count):
            probe = socket.socket()
            sockets.append(probe)
            probe.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False
    finally:
        for probe in sockets:
            probe.close()


def free_ports(count):
    """Reserves count consecutive ports until release_ports() or the end of the process; returns the first.

    They lie below those of the system tests (ports_reserve() of tests/process.cc, from 20000 on) and the
    system's ephemeral ports. A lock file keeps other test processes from them while nothing listens there.
    """
    n_blocks = -(-count // PORT_BLOCK)
    starts = range(5056, 20000 - n_blocks * PORT_BLOCK, PORT_BLOCK)
    for first in random.SystemRandom().sample(starts, len(starts)):
        locks = [_block_lock(first + i * PORT_BLOCK) for i in range(n_blocks)]
        if None not in locks and _ports_are_free(first, count):
            _port_locks[first] = locks
            return first
        for lock in locks:
            if lock:
                lock.close()
    raise RuntimeError(f"found no {count} consecutive free ports")


def release_ports(first):
    """Gives up the reservation that begins with this port."""
    for lock in _port_locks.pop(first):
        lock.close()


async def wait_for(condition, seconds=5.0):
    """Polls condition, a plain or async function, until it holds; False after the given seconds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(0.03)
    return False

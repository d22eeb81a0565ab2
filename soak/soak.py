#!/usr/bin/env python3
"""Randomized fault soak: injects faults into real daemons and checks their guarantees meanwhile.

soak/soak.py [--seconds N] [--daemons N] [--parallel N] [--ranks] [--returns] SEED...   one run for each seed
With --ranks the daemons serve by rank, and bursts of a lower rank ask more than the leaves can do. With
--returns the store comes back from older copies of itself, again and again.
The seed determines the faults, their times and their targets. The timing of everything else depends on
the machine. The exit status is 1 if a guarantee was violated; the logs of that run are kept.
"""
import argparse
import asyncio
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "fakes"))
from routed_site import (Daemon, FaultProxy, Site, call, release_ports,
                         free_ports, wait_for)  # noqa: E402

BINARY = os.path.join(os.environ.get("B", "build"), "apricotd")
SHARDS = 5
# Each new configuration moves one route to a service that no earlier one named, so that the service which ran
# a request tells the configuration. Its leaf starts so many moves before: a storm makes six within 1.5 s.
MOVES_AHEAD = 6
SETTLE_S = 4.0  # a daemon is settled when neither it nor the store had a fault for this long
DRAIN_S = 3.0  # this long after a leaf left, a settled daemon sends it no new work (drainMs)
EVACUATE_S = 5.0  # this long after an evacuation began, settled daemons send no calls there (evacuationMs)
CONFIG_S = 3.0  # a settled daemon applies a new configuration within this time (configApplyMs)
RECOVER_S = 12.0  # time from the last fault until all daemons serve complete answers
RANK_WINDOW_S, RANK_TARGET_S = 2.0, 0.6  # span in which ranks are compared; latency target of both
# Requests a second, share of rank 0, in windows without and with a burst. All leaves of a shard run 80 a second.
RANK_CALM, RANK_BURST = (20, 0.5), (140, 0.2)
RANK_LEAD_MAX, RANK_SIGMAS = 0.03, 3.0


class Soak:
    """One run: a site, its daemons, callers, and a sequence of faults drawn from the seed."""

    def __init__(self, seed, seconds, n_daemons, port, has_ranks, has_returns):
        self.random, self.seconds, self.port = random.Random(seed), seconds, port
        self.evacuation_random = random.Random(seed)  # of its own, so that the faults of a seed stay the same
        self.site, self.daemons, self.leaf_proxies, self.violations = Site(), [], {}, []
        self.n_daemons, self.running, self.tasks = n_daemons, True, []
        self.has_returns, self.return_random = has_returns, random.Random(seed)
        self.ended = set()  # ids of leaves that have ended
        self.has_ranks, self.windows = has_ranks, []  # of each window and rank: requests, those in time
        self.log_dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.moves, self.move_at = [], {}  # service and time of each move of the route /move/
        self.newest_seen = {}  # (daemon, incarnation): newest move that it has served, time
        # Time of the last start or fault of each daemon and of the last fault of the store. It lies in
        # the future while a fault lasts.
        self.fault_at, self.store_fault_at = {}, 0.0
        self.evacuated = None  # the evacuated data centre, time of the operator's request
        self.counts = {"answers": 0, "successes": 0, "lost": 0, "faults": 0}
        self.next_leaf = 0

    def fail(self, what):
        if len(self.violations) < 20:
            self.violations.append(f"{time.monotonic() - self.began:.2f} s {what}")

    def note(self, what):
        with open(os.path.join(self.log_dir, "faults.log"), "a", encoding="utf-8") as log:
            log.write(f"{time.strftime('%H:%M:%S')} {time.monotonic() - self.began:.2f} {what}\n")

    async def leaf_start(self, service, dc):
        """Starts a leaf behind a proxy that can cut the path. The store lists the proxy's port."""
        self.next_leaf += 1
        leaf = await self.site.leaf_add(f"leaf{self.next_leaf}", service, dc)
        if self.has_ranks and service[0] == "s":
            leaf.work_s, leaf.slots = 0.05, asyncio.Semaphore(2)
        proxy = FaultProxy(leaf.address)
        await proxy.start()
        self.leaf_proxies[leaf.id] = proxy
        leaf.port = proxy.port
        self.site.store.put(f"servers/{leaf.id}", leaf.entry())
        return leaf

    async def setup(self):
        if self.has_returns:
            self.site.store.era_begin(1)
        await self.site.start()
        self.site.drain_s = 1e9  # leaving_watch() checks for late work, and only of settled daemons
        for shard in range(SHARDS):
            for dc in "ab":
                await self.leaf_start(f"s{shard}", dc)
        for i in range(MOVES_AHEAD):
            await self.leaf_start(f"m{i}", "ab"[i % 2])
        for dc in "ab":
            await self.leaf_start("loans", dc)
        for rank, path in enumerate(("/look/", "/all/")):
            self.site.route_set(path, gather=[f"s{i}" for i in range(SHARDS)], topK=5, minShardRatio=0.6,
                                priority=rank, targetLatencyMs=int(RANK_TARGET_S * 1000) if self.has_ranks else 200)
        self.site.route_set("/loan/", service="loans", routeType="unsafe", maxAttempts=2)
        (await self.site.leaf_add("large", "large")).payload = bytes(400000)
        self.site.route_set("/large/", service="large")
        self.move()
        for i in range(self.n_daemons):
            proxy = FaultProxy(self.site.store.address)
            await proxy.start()
            daemon = Daemon(BINARY, f"vm{i}", "ab"[i % 2], self.port + 8 * i, proxy.address,
                            extra=(("--held-mb", "4") if i % 2 else ()) +
                            (("--features", "base,pressure") if self.has_ranks else ()))
            daemon.peers = ",".join(f"127.0.0.1:{self.port + 8 * k + 4}" for k in range(3))
            daemon.store_proxy, daemon.starts = proxy, 0
            self.daemons.append(daemon)
        await asyncio.gather(*(self.daemon_start(d) for d in self.daemons))

    async def daemon_start(self, daemon):
        daemon.starts += 1
        self.fault_at[daemon.name] = time.monotonic()
        await daemon.start(os.path.join(self.log_dir, daemon.name + ".log"))

    def move(self):
        """Publishes a configuration that moves the route /move/ to the next service."""
        self.moves.append(f"m{len(self.moves)}")
        self.site.route_set("/move/", service=self.moves[-1])
        self.site.publish()
        self.move_at[len(self.moves) - 1] = time.monotonic()
        ahead = len(self.moves) + MOVES_AHEAD - 1
        self.tasks.append(asyncio.create_task(self.leaf_start(f"m{ahead}", "ab"[ahead % 2])))

    def is_settled(self, daemon, at):
        """Whether neither the daemon nor the store has had a fault since SETTLE_S before at."""
        return at - max(self.fault_at[daemon.name], self.store_fault_at) > SETTLE_S

    async def caller(self, number):
        """Sends requests one after another; every second caller keeps its connections open."""
        source = random.Random(number)
        streams = {}
        while self.running:
            daemon = source.choice(self.daemons)
            path = source.choice(["/all/x", "/all/x", "/loan/x", "/move/x"])
            kept = streams.pop(daemon.name, None)
            if kept is None and number % 2:
                try:
                    ip, port = daemon.gateway.split(":")
                    kept = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
                except (OSError, asyncio.TimeoutError):
                    kept = None
            incarnation, began = daemon.starts, time.monotonic()
            method, body = ("POST", b"loan") if path == "/loan/x" else ("GET", b"")
            request, answer = await call(daemon.gateway, path, method, body, streams=kept,
                                         timeout_s=4)
            self.answer_check(daemon, incarnation, began, path, request, answer)
            if answer and kept and answer[1].get("connection") != "close":
                streams[daemon.name] = kept
            await asyncio.sleep(source.uniform(0, 0.03))

    async def rank_load(self):
        """Sends requests of both ranks, in windows with and without a burst of the lower rank by turns."""
        source, until, requests = random.Random(2000), time.monotonic() + self.seconds, []
        while time.monotonic() < until:
            per_s, share = RANK_BURST if len(self.windows) % 2 else RANK_CALM
            window, end = [[0, 0], [0, 0]], time.monotonic() + RANK_WINDOW_S
            self.windows.append(window)
            while time.monotonic() < end:
                rank = int(source.random() >= share)
                requests.append(asyncio.create_task(self.ranked_request(window[rank], rank, source.choice(self.daemons))))
                await asyncio.sleep(1 / per_s)
        await asyncio.gather(*requests)
        self.ranks_check()

    async def ranked_request(self, counts, rank, daemon):
        path, incarnation, began = ("/look/x", "/all/x")[rank], daemon.starts, time.monotonic()
        request, answer = await call(daemon.gateway, path, timeout_s=4)
        counts[0] += 1
        counts[1] += answer is not None and answer[0] == 200 and time.monotonic() - began <= RANK_TARGET_S
        self.answer_check(daemon, incarnation, began, path, request, answer)

    def ranks_check(self):
        """Checks each window, and all of them together, for a lower rank that is served in time more often.

        Both ranks have the same shards and target, and chance draws the rank of each request, so a fault meets both
        alike. Were they also served alike, the difference of the shares in time had the variance
        p(1 - p)(1/n0 + 1/n1), with p of both ranks together and n0, n1 requests. RANK_SIGMAS times its root
        is allowed besides RANK_LEAD_MAX. All windows together are weighted by their requests of rank 0.
        """
        sum_n = sum_lead = sum_variance = 0
        for i, ((n0, in_time0), (n1, in_time1)) in enumerate(self.windows):
            if not n0 or not n1:
                continue
            p = (in_time0 + in_time1) / (n0 + n1)
            lead, variance = in_time1 / n1 - in_time0 / n0, p * (1 - p) * (1 / n0 + 1 / n1)
            self.lead_check(f"window {i}: {in_time1} of {n1} and {in_time0} of {n0}", lead, variance)
            sum_n, sum_lead, sum_variance = sum_n + n0, sum_lead + n0 * lead, sum_variance + n0 * n0 * variance
        if sum_n:
            self.lead_check("all windows", sum_lead / sum_n, sum_variance / sum_n ** 2)
            self.counts["rank_lead"] = round(sum_lead / sum_n, 3)

    def lead_check(self, what, lead, variance):
        if lead > RANK_LEAD_MAX + RANK_SIGMAS * variance ** 0.5:
            self.fail(f"{what}: rank 1 is in time {lead:.3f} more often than rank 0, standard deviation {variance ** 0.5:.3f}")

    async def slow_caller(self, number):
        """Reads large answers slowly, each over a connection with a small receive window."""
        source = random.Random(1000 + number)
        while self.running:
            daemon = source.choice(self.daemons)
            incarnation, began, sock = daemon.starts, time.monotonic(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.setblocking(False)
            try:
                ip, port = daemon.gateway.split(":")
                await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
                streams = await asyncio.open_connection(sock=sock, limit=8192)
            except OSError:
                sock.close()
                await asyncio.sleep(0.1)
                continue
            proxy = asyncio.StreamReader()
            feed = asyncio.create_task(self.slow_read(streams[0], proxy, source.uniform(0.005, 0.03)))
            request, answer = await call(None, "/large/x", streams=(proxy, streams[1]), timeout_s=8)
            feed.cancel()
            streams[1].close()
            if answer:
                began = max(began, time.monotonic() - 3)  # how long it takes is up to this caller
            self.answer_check(daemon, incarnation, began, "/large/x", request, answer)

    @staticmethod
    async def slow_read(reader, out, pause_s):
        """Passes on 8000 bytes after each pause."""
        while data := await reader.read(8000):
            out.feed_data(data)
            await asyncio.sleep(pause_s)
        out.feed_eof()

    def answer_check(self, daemon, incarnation, began, path, request, answer):
        route = next(r for r in self.site.routes if path.startswith(r["prefix"]))
        runs = self.site.runs_by_request.get(request, [])
        self.counts["answers" if answer else "lost"] += 1
        self.evacuation_check(daemon, began, request, runs)
        if path == "/loan/x" and len(runs) > 1:
            self.fail(f"{request} of {daemon.name} ran {len(runs)} times")
        if not answer:
            return
        if time.monotonic() - began > 3.2 and self.is_settled(daemon, began):
            self.fail(f"{request} of {daemon.name} was answered more than 3.2 s after it was sent")
        wrong = self.site.check_response(request, route, answer)
        if wrong:
            self.fail(f"{request} of {daemon.name}: {wrong}")
        if answer[0] == 404:
            self.fail(f"{request} of {daemon.name}: 404 for a route that all configurations have")
        self.counts["successes"] += 200 <= answer[0] < 300
        if path == "/move/x" and answer[0] == 200:
            self.version_check(daemon, incarnation, began, runs)

    def version_check(self, daemon, incarnation, began, runs):
        """Checks that a daemon neither returns to an older configuration nor misses a new one."""
        newest = self.moves.index(runs[0][0])
        key = (daemon.name, incarnation)
        seen, seen_at = self.newest_seen.get(key, (0, 0.0))
        if newest < seen and began > seen_at + 0.3:
            self.fail(f"{daemon.name} went back from move {seen} to {newest}")
        if newest > seen:
            self.newest_seen[key] = (newest, time.monotonic())
        overdue = [i for i, at in self.move_at.items() if began - at > CONFIG_S and i > newest]
        if overdue and self.is_settled(daemon, began):
            self.fail(f"{daemon.name} still serves move {newest} more than {CONFIG_S:.0f} s after move "
                      f"{overdue[-1]}")

    async def leaving_watch(self, leaf, left_at):
        """Checks that settled daemons send no new work to a leaf that left at the time left_at."""
        await asyncio.sleep(DRAIN_S)
        before, began = leaf.arrivals, time.monotonic()
        if all(self.is_settled(d, left_at) for d in self.daemons):
            await asyncio.sleep(0.5)
            if leaf.arrivals > before and all(self.is_settled(d, left_at) for d in self.daemons):
                self.fail(f"{leaf.id} got {leaf.arrivals - before} calls "
                          f"{time.monotonic() - left_at:.1f} s after it left (from {began:.1f})")

    async def replace(self, service, announced):
        """Replaces a leaf of the service.

        If announced, the entry of the old leaf says that it drains; else the entry is removed.
        """
        old = [x for x in self.site.leaves.values() if x.service == service and x.state == "ready"]
        await self.leaf_start(service, old[0].dc)
        leaf = old[0]
        leaf.state = "draining"
        left_at = time.monotonic()
        if announced:
            self.site.store.put(f"servers/{leaf.id}", leaf.entry())
        else:
            self.site.store.remove(f"servers/{leaf.id}")
        await self.leaving_watch(leaf, left_at)
        self.ended.add(leaf.id)
        self.site.store.remove(f"servers/{leaf.id}")
        await self.leaf_proxies[leaf.id].stop()

    async def evacuation(self):
        """Evacuates a data centre once."""
        r = self.evacuation_random
        await asyncio.sleep(r.uniform(0.5, 3))
        dc = r.choice("ab")
        self.note(f"evacuate {dc}")
        self.site.store.put(f"op/evacuate/{dc}", b"{}")
        self.evacuated = (dc, time.monotonic())
        await asyncio.sleep(EVACUATE_S + 4)
        self.evacuated = None
        self.site.store.remove(f"op/evacuate/{dc}")

    def evacuation_check(self, daemon, began, request, runs):
        """Checks that a settled daemon has not called a leaf of the evacuated data centre."""
        if not self.evacuated or began < self.evacuated[1] + EVACUATE_S or not self.is_settled(daemon, began):
            return
        for _, leaf, _, _ in runs:
            if self.site.leaves[leaf].dc == self.evacuated[0]:
                self.fail(f"{request} of {daemon.name} ran at {leaf} in the evacuated data centre")

    def fault_begin(self, *daemons):
        for daemon in daemons:
            self.fault_at[daemon.name] = time.monotonic() + 1e6

    def fault_end(self, *daemons):
        for daemon in daemons:
            self.fault_at[daemon.name] = time.monotonic()

    async def pause(self, daemon, for_s):
        self.fault_begin(daemon)
        daemon.signal_send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        daemon.signal_send(signal.SIGCONT)
        self.fault_end(daemon)

    async def kill(self, daemon, for_s):
        self.fault_begin(daemon)
        daemon.signal_send(signal.SIGCONT)
        daemon.signal_send(signal.SIGKILL)
        await daemon.process.wait()
        await asyncio.sleep(for_s)
        await self.daemon_start(daemon)

    async def terminate(self, daemon):
        self.fault_begin(daemon)
        daemon.signal_send(signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.process.wait(), 8)
        except asyncio.TimeoutError:
            self.fail(f"{daemon.name} did not exit within 8 s of SIGTERM")
            await daemon.kill()
        await self.daemon_start(daemon)

    async def proxy_fault(self, proxy, mode, for_s, owner=None):
        """Sets a fault mode of a proxy. owner is the daemon that reaches the store through it."""
        if owner:
            self.fault_begin(owner)
        proxy.mode = mode
        if mode == "reset":
            proxy.reset_all()
        await asyncio.sleep(for_s)
        proxy.mode = "ok"
        if owner:
            self.fault_end(owner)

    async def store_fault(self, mode, for_s):
        self.store_fault_at = time.monotonic() + 1e6
        self.site.store.mode = mode
        self.site.store.reset_all()
        ready_leaves = [x for x in self.site.leaves.values() if x.state == "ready"]
        if self.random.random() < 0.5:
            for leaf in ready_leaves:
                self.site.store.remove(f"servers/{leaf.id}")
        if self.random.random() < 0.5:
            self.site.store.history_drop()
        await asyncio.sleep(for_s)
        self.site.store.mode = "ok"
        self.site.store.reset_all()
        await asyncio.sleep(1.0)
        for leaf in ready_leaves:
            if leaf.state == "ready":
                self.site.store.put(f"servers/{leaf.id}", leaf.entry())
        self.store_fault_at = time.monotonic()

    async def store_returns(self):
        """Brings the store back from a copy some seconds old, twice or three times."""
        r = self.return_random
        for _ in range(r.randint(2, 3)):
            taken = self.site.store.copy_take()
            await asyncio.sleep(r.uniform(0.3, 3))
            await self.store_return(taken, r)
            await asyncio.sleep(r.uniform(0, 2))

    async def store_return(self, taken, r):
        self.store_fault_at = time.monotonic() + 1e6
        self.note("the store returns from a copy")
        await self.site.store.stop()
        await asyncio.sleep(r.choice([0, r.uniform(0, 0.8)]))
        lost = await self.come_back(taken)
        if r.random() < 0.3:  # once more, before all is written again
            await asyncio.sleep(r.uniform(0, 0.5))
            await self.site.store.stop()
            lost |= await self.come_back(taken)
        await self.write_again(lost, r)
        self.store_fault_at = time.monotonic()

    async def come_back(self, taken):
        """Brings the store back from the copy; the keys that were written or removed since."""
        items = self.site.store.items
        await self.site.store.come_back(taken)
        copied = self.site.store.items
        return {key for key in items.keys() | copied.keys() if items.get(key) != copied.get(key)}

    async def write_again(self, lost, r):
        """The operator and the leaves write again what the store has lost, in any order within about a second."""
        await asyncio.sleep(r.uniform(0, 0.5))
        for key in r.sample(sorted(lost), len(lost)):
            kind, name = key.rsplit("/", 1)
            if key == "op/config":
                self.site.store.put(key, self.site.config)
            elif kind == "op/evacuate" and self.evacuated and self.evacuated[0] == name:
                self.site.store.put(key, b"{}")
            elif kind == "servers" and name not in self.ended:
                self.site.store.put(key, self.site.leaves[name].entry())
            else:
                self.site.store.remove(key)
            if r.random() < 0.2:
                await asyncio.sleep(r.uniform(0, 0.2))

    async def later_changes(self):
        """Changes behind a return that the callers and leaving_watch() check, since all daemons are settled."""
        taken = self.site.store.copy_take()
        for _ in range(4):
            self.move()
            await asyncio.sleep(0.4)
        await self.store_return(taken, self.return_random)
        await asyncio.sleep(SETTLE_S + 0.1)
        self.move()
        await self.replace("s0", True)
        await asyncio.sleep(0.5)

    async def leaf_fault(self, leaf, mode, for_s):
        leaf.mode, leaf.rate = mode, self.random.choice([0.05, 0.3, 1.0])
        await asyncio.sleep(for_s)
        leaf.mode = "ok"

    def draw(self):
        """Draws a fault: (name, function that returns its coroutine).

        The leaves of the later moves and of large answers are not drawn from, so that a seed draws the same faults as before
        there were any.

        Returns None if the fault is one of a daemon that already has a fault. "hangup" and "move"
        act when their function is called; sleep(0) only provides the coroutine.
        """
        r, daemon = self.random, self.random.choice(self.daemons)
        leaf = r.choice([x for x in self.site.leaves.values()
                         if x.state == "ready" and not self.is_of_later_move(x)])
        for_s = r.uniform(0.3, 4)
        mode = r.choice(["reset", "silent", "cut_in", "cut_out"])
        faults = [
            ("pause", lambda: self.pause(daemon, for_s)),
            ("kill", lambda: self.kill(daemon, for_s / 4)),
            ("terminate", lambda: self.terminate(daemon)),
            ("hangup", lambda: asyncio.sleep(0, daemon.signal_send(signal.SIGHUP))),
            ("kill_all", lambda: asyncio.gather(*(self.kill(d, for_s / 4) for d in self.daemons
                                                  if not self.has_fault(d)))),
            ("store_gate " + mode,
             lambda: self.proxy_fault(daemon.store_proxy, mode, for_s, daemon)),
            ("leaf_gate " + mode,
             lambda: self.proxy_fault(self.leaf_proxies[leaf.id], mode, for_s)),
            ("store", lambda: self.store_fault(r.choice(["silent", "reset", "busy"]), for_s)),
            ("leaf", lambda: self.leaf_fault(leaf, r.choice(
                ["shed", "mute", "lose", "error", "garbage", "cut", "twice"]), for_s)),
            ("replace", lambda: self.replace(f"s{r.randrange(SHARDS)}", r.random() < 0.5)),
            ("move", lambda: asyncio.sleep(0, self.move())),
            ("storm", self.storm),
        ]
        name, fault = r.choice(faults)
        if name in ("pause", "kill", "terminate", "hangup") or name.startswith("store_gate"):
            if self.has_fault(daemon):
                return None
            name += " " + daemon.name
        return name, fault

    @staticmethod
    def is_of_later_move(leaf):
        return leaf.id == "large" or leaf.service[0] == "m" and int(leaf.service[1:]) >= MOVES_AHEAD

    def has_fault(self, daemon):
        """Whether a fault of this daemon lasts."""
        return self.fault_at[daemon.name] > time.monotonic()

    async def storm(self):
        """Publishes six configurations, one every 0.25 s."""
        for _ in range(6):
            self.move()
            await asyncio.sleep(0.25)

    async def run(self):
        self.began = time.monotonic()
        await self.setup()
        if not await wait_for(self.serves_all, 8):
            self.fail("not all daemons serve complete answers 8 s after the start")
        # With ranks, few other requests: the leaves' capacity is for those of the windows.
        callers = [asyncio.create_task(self.caller(i)) for i in range(2 if self.has_ranks else 8)]
        if self.has_ranks:
            self.tasks.append(asyncio.create_task(self.fault_run(self.rank_load())))
        self.tasks.append(asyncio.create_task(self.fault_run(self.evacuation())))
        if self.has_returns:
            self.tasks.append(asyncio.create_task(self.fault_run(self.store_returns())))
        callers += [asyncio.create_task(self.slow_caller(i)) for i in range(3)]
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            drawn = self.draw()
            if drawn:
                self.note(drawn[0])
                self.counts["faults"] += 1
                self.tasks.append(asyncio.create_task(self.fault_run(drawn[1]())))
            await asyncio.sleep(self.random.uniform(0.05, 1.2))
        await asyncio.gather(*self.tasks)
        if not await wait_for(self.serves_all, RECOVER_S):
            self.fail(f"not all daemons serve complete answers {RECOVER_S:.0f} s after the last fault")
        if self.has_returns:
            await self.fault_run(self.later_changes())
        self.running = False
        await asyncio.gather(*callers)
        if not await wait_for(self.holds_nothing, 3):
            self.fail("a daemon counts bytes that it holds for callers or leaves after all connections ended")
        await self.stop()

    async def fault_run(self, fault):
        try:
            await fault
        except Exception as error:  # pylint: disable=broad-except
            self.fail(f"error of the soak itself: {type(error).__name__} {error}")

    async def serves_all(self):
        for daemon in self.daemons:
            answer = (await call(daemon.gateway, "/all/x", timeout_s=3))[1]
            if not answer or answer[0] != 200 or answer[1].get("x-missing-parts", "0") != "0":
                return False
        return True

    async def holds_nothing(self):
        pages = [(await call(daemon.address(3), "/metrics"))[1] for daemon in self.daemons]
        return all(page and not re.search(rb"apricot_held_bytes{.*} [1-9]", page[2]) for page in pages)

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process.returncode not in (None, 0, -signal.SIGKILL):
                self.fail(f"{daemon.name} ended with exit code {daemon.process.returncode}")
            await daemon.kill()
        for proxy in [d.store_proxy for d in self.daemons] + list(self.leaf_proxies.values()):
            await proxy.stop()
        await self.site.stop()


async def seed_run(seed, arguments):
    # Each run has ports of its own: with shared ports, parallel runs would answer each other's callers.
    soak = Soak(seed, arguments.seconds, arguments.daemons, free_ports(8 * arguments.daemons), arguments.ranks,
                arguments.returns)
    try:
        await soak.run()
    except Exception as error:  # pylint: disable=broad-except
        soak.fail(f"error of the soak itself: {type(error).__name__} {error}")
        await soak.stop()
    release_ports(soak.port)
    counts = " ".join(f"{k}={v}" for k, v in soak.counts.items())
    print(f"seed {seed}: {'FAILED' if soak.violations else 'ok'} {counts}"
          + (f" logs={soak.log_dir}" if soak.violations else ""), flush=True)
    for line in soak.violations[:8]:
        print("    " + line, flush=True)
    if not soak.violations:
        for name in os.listdir(soak.log_dir):
            os.unlink(os.path.join(soak.log_dir, name))
        os.rmdir(soak.log_dir)
    return not soak.violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--ranks", action="store_true")
    parser.add_argument("--returns", action="store_true")
    parser.add_argument("seeds", nargs="+", type=int)
    arguments = parser.parse_args()
    if arguments.parallel == 1:
        passed = [asyncio.run(seed_run(seed, arguments))
                  for seed in arguments.seeds]
        return 0 if all(passed) else 1
    return asyncio.run(parallel_run(arguments))


async def parallel_run(arguments):
    """Runs each seed in a process of its own, with a limit on how many run at once."""
    limit, codes = asyncio.Semaphore(arguments.parallel), []

    async def one(seed):
        async with limit:
            process = await asyncio.create_subprocess_exec(
                sys.executable, __file__, "--seconds", str(arguments.seconds), "--daemons",
                str(arguments.daemons), *(["--ranks"] if arguments.ranks else []),
                *(["--returns"] if arguments.returns else []), str(seed))
            codes.append(await process.wait())

    await asyncio.gather(*(one(seed) for seed in arguments.seeds))
    return max(codes)


sys.exit(main())

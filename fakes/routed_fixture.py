"""Runs scenarios of a routed deployment: a site of stand-ins and the daemons that serve it."""
import asyncio
import os
import sys
import time

from routed_site import Daemon, Site, call, free_ports, wait_for

BINARY = os.path.join(os.environ.get("B", "build"), "apricotd")
FIRST_PORT = free_ports(64)


def log_path(name):
    """Path of the log of the daemon with this name."""
    return f"/tmp/check-routed-{os.getpid()}-{name}.log"


class Fixture:
    """A site and the daemons that serve it. Both are started by a scenario and stopped after it."""

    def __init__(self):
        self.site, self.daemons, self.failures = Site(), [], []

    def expect(self, value, wanted, what):
        if value != wanted:
            self.failures.append(f"{what}: expected {wanted}, got {value}")

    async def shards_add(self, n, replicas=2, min_ratio=0.75):
        """Adds the leaves of n shards and a route that gathers the answers of all shards."""
        for shard in range(n):
            for replica in range(replicas):
                await self.site.leaf_add(f"l{shard}-{replica}", f"s{shard}", "ab"[replica % 2])
        self.site.route_set("/all/", gather=[f"s{i}" for i in range(n)], topK=4,
                            minShardRatio=min_ratio)

    @staticmethod
    def log_lines(daemon, event):
        """The lines of the daemon's log with this event."""
        with open(log_path(daemon.name), encoding="utf-8", errors="replace") as log:
            return [line for line in log if f" event={event} " in line]

    def reads_store(self, daemon):
        """Whether the daemon's latest store_reading event says that it reads the store itself."""
        events = self.log_lines(daemon, "store_reading")
        return bool(events) and "reads=self" in events[-1]

    def has_version(self, daemon):
        """Whether the daemon has logged that it applied the newest configuration."""
        return any(f" version={self.site.version} " in line
                   for line in self.log_lines(daemon, "config_applied"))

    async def is_answered(self, path):
        return await self.status(path) == 200

    async def is_used(self, leaf, arrivals):
        """Sends requests to all VMs until the leaf has had the number of arrivals, for at most 4 s."""
        until = time.monotonic() + 4
        while time.monotonic() < until and leaf.arrivals < arrivals:
            await asyncio.gather(*(self.request(daemon=i) for i in range(len(self.daemons))))
        return leaf.arrivals >= arrivals

    async def version_is_applied(self, i):
        return self.has_version(self.daemons[i])

    async def start(self, n=1, peers=False, extra=(), store_of=None):
        for i in range(n):
            store = (store_of or {}).get(i, self.site.store.address)
            daemon = Daemon(BINARY, f"vm{i}", "ab"[i % 2], FIRST_PORT + 8 * i, store, extra=extra)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            if peers:
                daemon.peers = self.daemons[0].rpc
            await daemon.start(log_path(daemon.name))
        for daemon in self.daemons:
            self.expect(await wait_for(lambda d=daemon: self.is_ready(d)), True, "ready")

    async def is_ready(self, daemon):
        answer = (await call(daemon.address(2), "/ready"))[1]
        return answer is not None and answer[0] == 200

    async def request(self, path="/all/q", daemon=0, **options):
        """Sends one request and checks a successful answer: (request id, answer or None)."""
        request, answer = await call(self.daemons[daemon].gateway, path, **options)
        route = self.site.route_of(path)
        if answer is not None and route is not None:
            wrong = self.site.check_response(request, route, answer)
            self.expect(wrong, None, f"answer to {request}")
        return request, answer

    async def status(self, path="/all/q", **options):
        answer = (await self.request(path, **options))[1]
        return answer[0] if answer else None

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        await self.site.stop()


async def run(scenario):
    fixture = Fixture()
    try:
        await scenario(fixture)
    except Exception as error:  # pylint: disable=broad-except
        fixture.failures.append(f"{type(error).__name__}: {error}")
    finally:
        await fixture.stop()
    if not fixture.failures:
        for daemon in fixture.daemons:
            if os.path.exists(log_path(daemon.name)):
                os.unlink(log_path(daemon.name))
    return fixture.failures


def known_red(scenario):
    """Whether KNOWN-RED.txt lists the scenario, in a line "test: SCRIPT NAME"."""
    path = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")
    with open(path, encoding="utf-8") as lines:
        return f"test: {os.path.basename(sys.argv[0])} {scenario.__name__}\n" in lines


def main(scenarios):
    """Runs the scenarios that the command line names, by default all; returns the exit status. A failure of
    a scenario that KNOWN-RED.txt lists is printed and does not count."""
    chosen = [s for s in scenarios if not sys.argv[1:] or s.__name__ in sys.argv[1:]]
    failed, red = 0, 0
    for scenario in chosen:
        failures = asyncio.run(run(scenario))
        is_known = bool(failures) and known_red(scenario)
        print(("known red: " if is_known else "FAILED " if failures else "ok ") + scenario.__name__)
        for failure in sorted(set(failures))[:5]:
            print("   ", failure)
        failed += bool(failures) and not is_known
        red += is_known
    print(f"{len(chosen) - failed - red} scenarios passed, {failed} failed"
          + (f", {red} known red" if red else ""))
    return 1 if failed or not chosen else 0


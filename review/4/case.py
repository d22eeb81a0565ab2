"""A machine's preferred reader of the store is cut off from the store while leafs are taken away.

Each machine reaches the store through a proxy. The readers are told apart by their log lines
(store_reading reads=self); nothing else of the logs is used, and the check goes by what the leafs see.
"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import kit  # noqa: E402
from routed_site import FaultProxy, Server, call, read_message, response_bytes  # noqa: E402

DRAIN_S = 3.0
SHARDS = 12
ZONES = ("a", "a", "b", "b", "c")
STORM_S, STORM_GAP_S = 4.0, 0.33  # as the config_storm of the site file
CUT_AT_S = 0.5  # of the storm
LEAVE_AT_S = 1.75  # of the storm
SENT_PER_S = 40


class Leaf(Server):
    """A sound leaf with two slots that answers a part of three records after 5 to 15 ms."""

    def __init__(self, case, leaf_id, service, zone):
        super().__init__()
        self.case, self.id, self.service, self.zone = case, leaf_id, service, zone
        self.gone_at, self.slots, self.late = None, asyncio.Semaphore(2), []

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            _, fields, _ = message
            request_id = fields["x-request-id"]
            if fields.get("x-target-instance") != self.id:
                writer.write(response_bytes(421, b"", {"X-Instance-Id": self.id}))
                continue
            if self.gone_at and time.monotonic() - self.gone_at > DRAIN_S:
                late_ms = 1000 * (time.monotonic() - self.gone_at)
                self.late.append((request_id, late_ms))
                self.case.record.add(f"{self.id} is reached by {request_id} {late_ms:.0f} ms after the store "
                                     "confirmed that it is gone")
            async with self.slots:
                await asyncio.sleep(random.uniform(0.005, 0.015))
            writer.write(response_bytes(200, random.randbytes(48), {
                "X-Request-Id": request_id, "X-Response-Signature": f"{request_id}.{self.id}"}))
            await writer.drain()


async def sender(case, node, statuses):
    """Sends searches to the node, SENT_PER_S a second, and counts the statuses."""
    async def one(number):
        _, answer = await call(node.front, f"/catalogo/{number}", wait_ms=1500, timeout_s=3)
        status = answer[0] if answer else None
        statuses[status] = statuses.get(status, 0) + 1

    number = 0
    while True:
        number += 1
        asyncio.ensure_future(one(number))
        await asyncio.sleep(1 / SENT_PER_S)


def reads_store(node):
    lines = [line for line in node.log_text().splitlines() if " event=store_reading " in line]
    return bool(lines) and "reads=self" in lines[-1]


async def scenario(case):
    await case.store.start()
    services = [f"pesquisa-{i}" for i in range(SHARDS)]
    leaves = []
    for service in services:
        for zone in "ab":
            leaf = Leaf(case, f"i-{service}{zone}", service, zone)
            await leaf.start()
            case.servers.append(leaf)
            leaves.append(leaf)
            case.leaf_put(leaf.id, service, leaf.address, zone)
    route = kit.route("/catalogo/", gather=services, topK=10, minShardRatio=0.75, timeoutMs=1500,
                      targetLatencyMs=200)
    case.config_put(3, [route], services)
    proxies = [FaultProxy(case.store.address) for _ in ZONES]
    for proxy in proxies:
        await proxy.start()
        case.servers.append(proxy)
    await case.nodes_start(zones=ZONES, stores=[proxy.address for proxy in proxies])
    await asyncio.sleep(6)  # calm, longer than stableWindowMs
    pairs = [(i, k) for i, reader in enumerate(case.nodes) for k, other in enumerate(case.nodes)
             if reader.zone == other.zone and reads_store(reader) and not reads_store(other)]
    if not pairs:
        raise kit.CannotRun("no zone has a machine that reads the store and one that does not")
    cut, follower = pairs[0]
    case.record.add(f"{case.nodes[cut].name} reads the store, {case.nodes[follower].name} follows it")
    statuses = {}
    load = asyncio.ensure_future(sender(case, case.nodes[follower], statuses))
    await asyncio.sleep(2)
    began, version, is_cut, taken = time.monotonic(), 3, False, []
    while (passed_s := time.monotonic() - began) < STORM_S:
        if kit.TROUBLE and not is_cut and passed_s >= CUT_AT_S:
            is_cut, proxies[cut].mode = True, "silent"
            case.record.add(f"{case.nodes[cut].name} is cut off from the store")
        if not taken and passed_s >= LEAVE_AT_S:
            taken = [x for x in leaves if x.zone == case.nodes[follower].zone][:4]
            for leaf in taken:
                case.store.remove("servers/" + leaf.id)
                leaf.gone_at = time.monotonic()
                case.record.add(f"the store confirms that {leaf.id} is gone; it serves on")
        if passed_s >= (version - 3) / 2 * STORM_GAP_S:
            version += 2
            case.config_put(version, [{**route, "timeoutMs": 1500 + version}], services)
            case.record.add(f"the store confirms version {version}")
        await asyncio.sleep(0.005)
    await asyncio.sleep(4)
    load.cancel()
    case.record.add(f"statuses: {statuses}")
    return [f"DRAIN: {leaf.id} was reached by {len(leaf.late)} requests later than drainMs, the last "
            f"{leaf.late[-1][1]:.0f} ms after the confirmation, all from {case.nodes[follower].name}"
            for leaf in leaves if leaf.late]


if __name__ == "__main__":
    kit.main(FOLDER, scenario)

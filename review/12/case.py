"""After the store has come back from an older copy, a leaf that leaves goes on getting requests."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, HEARTBEAT_S, run  # noqa: E402

COPY_AGE_S = 3
AWAY_S = 1.0
DRAIN_S = BOUNDS["drainMs"] / 1000
WATCHED_S = 5  # the leaf serves for so long beyond drainMs, then exits


async def requests_send(site, path, seconds):
    """Requests for so many seconds, in turn to all daemons."""
    until = site.record.now() + seconds
    while site.record.now() < until:
        for daemon in site.daemons:
            await site.request(daemon, path)
        await asyncio.sleep(0.05)


async def scenario(site, trouble):
    await site.store.start()
    for zone in "ab":
        await site.leaf_add(f"first-{zone}", "proveniencia", f"norte-{zone}")
    site.route_set("/ficha/", service="proveniencia")
    site.publish()
    await site.daemons_start()
    await asyncio.sleep(6)

    taken = site.store.copy_take()
    # A leaf starts and reports itself, with less left of its slow start each time.
    leaf = await site.leaf_add("late-c", "proveniencia", "norte-c", warmup_ms=3000)
    for _ in range(2):
        await asyncio.sleep(HEARTBEAT_S)
        leaf.warmup_ms -= int(HEARTBEAT_S * 1000)
        leaf.report()
    await asyncio.sleep(COPY_AGE_S - 2 * HEARTBEAT_S)
    if trouble:
        await site.store.go_away()
        await asyncio.sleep(AWAY_S)
        await site.store.come_back(taken)
        leaf.warmup_ms = 0
        leaf.report()  # what the leaf wrote since the copy is written again
    else:
        await asyncio.sleep(AWAY_S)
        leaf.warmup_ms = 0
        leaf.report()
    # The store is stable again, and all machines are in touch, after stableWindowMs.
    await asyncio.sleep(2 * BOUNDS["stableWindowMs"] / 1000)

    await requests_send(site, "/ficha/before", 3)
    n_before = len(leaf.runs)
    leaf.state = "draining"
    leaf.report()
    confirmed = site.record.now()
    site.record.add("leaf", leaf.id, "draining is confirmed")
    await requests_send(site, "/ficha/after", DRAIN_S + WATCHED_S)
    late = [at - confirmed for at, _ in leaf.runs if at > confirmed + DRAIN_S]
    print(f"the leaf ran {n_before} requests before it reported draining, and {len(late)} later than "
          f"drainMs ({DRAIN_S:g} s) after the store's confirmation"
          + (f", the last one after {max(late):.1f} s" if late else ""))
    if not n_before:
        raise RuntimeError("the leaf was not used before it left")
    return not late


run(__file__, scenario)

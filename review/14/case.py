"""After the store has come back from an older copy, a new configuration is not followed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, run  # noqa: E402

COPY_AGE_S = 3
N_CHANGES = 3
CHANGE_GAP_S = 0.8
AWAY_S = 1.0


async def requests_send(site, path, n):
    """n requests, in turn to all daemons; the services that ran them."""
    services = []
    for i in range(n):
        request, _ = await site.request(site.daemons[i % len(site.daemons)], path)
        services += [leaf.service for leaf in site.runs.get(request, [])]
    return services


async def scenario(site, trouble):
    await site.store.start()
    for zone in "ab":
        await site.leaf_add(f"old-{zone}", "proveniencia", f"norte-{zone}")
        await site.leaf_add(f"new-{zone}", "emprestimos", f"norte-{zone}")
    site.route_set("/ficha/", service="proveniencia")
    site.publish()
    await site.daemons_start()
    await asyncio.sleep(6)

    taken = site.store.copy_take()
    for i in range(N_CHANGES):
        site.route_set("/ficha/", service="proveniencia", timeoutMs=6000 - 10 * i)
        site.publish()
        await asyncio.sleep(CHANGE_GAP_S)
    await asyncio.sleep(COPY_AGE_S - N_CHANGES * CHANGE_GAP_S)
    if trouble:
        await site.store.go_away()
        await asyncio.sleep(AWAY_S)
        await site.store.come_back(taken)
        # What the operator and the leaves wrote since the copy is written again.
        site.config_write_again()
    else:
        await asyncio.sleep(AWAY_S)
    # The store is stable again, and all machines are in touch, after stableWindowMs.
    await asyncio.sleep(2 * BOUNDS["stableWindowMs"] / 1000)

    before = await requests_send(site, "/ficha/before", 12)
    site.route_set("/ficha/", service="emprestimos")
    site.publish()
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 2)
    after = await requests_send(site, "/ficha/after", 60)
    old = after.count("proveniencia")
    print(f"before the change: {before.count('proveniencia')} of {len(before)} ran at proveniencia; "
          f"5 s after its confirmation: {old} of {len(after)} ran at proveniencia, which only an older "
          "version allows")
    if len(before) < 12 or len(after) < 30:
        raise RuntimeError("requests were not served")
    return old == 0


run(__file__, scenario)

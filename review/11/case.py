"""After the store has come back from an older copy, a new unsafe route is handled as the old safe one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from deployment import BOUNDS, run  # noqa: E402

COPY_AGE_S = 3
N_CHANGES = 3
CHANGE_GAP_S = 0.8
AWAY_S = 1.0
# Runs differ in length, as usual; one in so many takes long.
LONG_RUN_EACH = 8
WORK_S = 0.04
LONG_WORK_S = 0.6
N_LOANS = 120


def work_vary(leaf):
    """Sets how long the leaf's next run takes."""
    leaf.work_s = LONG_WORK_S if len(leaf.runs) % LONG_RUN_EACH == 0 else WORK_S


async def requests_send(site, path, n, **more):
    """n requests, in turn to all daemons; the ids."""
    ids = []
    for i in range(n):
        for leaf in site.leaves.values():
            work_vary(leaf)
        request, _ = await site.request(site.daemons[i % len(site.daemons)], path, **more)
        ids.append(request)
    return ids


async def scenario(site, trouble):
    await site.store.start()
    for zone in "abc":
        await site.leaf_add(f"read-{zone}", "proveniencia", f"norte-{zone}")
        await site.leaf_add(f"loan-{zone}", "emprestimos", f"norte-{zone}")
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
        # What the operator wrote since the copy is written again.
        site.config_write_again()
    else:
        await asyncio.sleep(AWAY_S)
    # The store is stable again, and all machines are in touch, after stableWindowMs.
    await asyncio.sleep(2 * BOUNDS["stableWindowMs"] / 1000)
    await requests_send(site, "/ficha/read", 60)

    site.route_set("/ficha/emprestar/", service="emprestimos", routeType="unsafe", maxAttempts=1)
    site.publish()
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 2)
    loans = await requests_send(site, "/ficha/emprestar/9", N_LOANS, method="POST", body=b"loan")
    runs = [site.runs.get(request, []) for request in loans]
    n_run = sum(1 for r in runs if r)
    n_twice = sum(1 for r in runs if len(r) > 1)
    services = {leaf.service for r in runs for leaf in r}
    print(f"of {n_run} loans that ran, on a route that is unsafe since a version confirmed 5 s before, "
          f"{n_twice} ran more than once; they ran at {', '.join(sorted(services))}")
    if n_run < N_LOANS / 2:
        raise RuntimeError("requests were not served")
    return n_twice == 0


run(__file__, scenario)

"""While the store answers none of the machines that read it for the others, the others keep an old configuration.
See claim.txt."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Proxy, main, until  # noqa: E402

SILENT_FOR_S = 8.0  # platform_down, how nodes: the site file has up to 9 s for a share of 0.35, 3 of 8 machines
OTHERS, RELEASED = 60, 26  # leaves of another service, and how many a release replaces: share 0.43 of up to 0.45
MACHINES = {"za": 3, "zb": 3, "zc": 2}


async def release(site):
    """Replaces a leaf a second: the new one starts first, the old one drains and leaves."""
    for i in range(RELEASED):
        old = site.leaves[f"i-other-{i}"]
        await site.leaf_add(f"i-other-{i}-new", "other", old.zone)
        await asyncio.sleep(0.5)
        old.state = "draining"
        site.store.put("servers/" + old.id, old.entry())
        await asyncio.sleep(0.5)


async def case(site):
    record = site.record
    for zone, n in MACHINES.items():
        for i in range(n):
            site.machine_add(f"front-{zone}-{i + 1}", zone)
    for service in ("before", "after"):
        for zone in site.zones:
            await site.leaf_add(f"i-{service}-{zone}", service, zone)
    for i in range(OTHERS):
        await site.leaf_add(f"i-other-{i}", "other", site.zones[i % 3])
    site.route_set("/ledger/", service="before")
    site.publish()
    last_call = {}
    for i, machine in enumerate(site.machines):
        path = Proxy(site.store.address, f"{site.net}.{201 + i}")
        path.on_request = lambda data, name=machine.name: last_call.__setitem__(name, time.monotonic())
        await path.start()
        site.proxies.append(path)
        machine.path, machine.store_address = path, path.address
    for machine in site.machines:
        await machine.start()
    for machine in site.machines:
        if not await until(machine.is_ready, 5):
            return NOT_RUN
    # A release goes on all the while: it replaces the leaves of another service one after the other.
    released = asyncio.create_task(release(site))
    await asyncio.sleep(10)
    asking = [m for m in site.machines if time.monotonic() - last_call.get(m.name, 0) < 2.5]
    calm = [m for m in site.machines if m not in asking]
    record.note("machines that ask the store: " + " ".join(m.name for m in asking))
    if len(asking) != 3:
        return NOT_RUN
    if TROUBLE:
        for machine in asking:
            machine.path.is_silent = True
        record.note("the store gives them no answer")
    await asyncio.sleep(0.1)
    site.route_set("/ledger/", service="after")
    site.publish()
    confirmed_at = time.monotonic()
    late = []

    async def consumer(machine):
        while time.monotonic() < confirmed_at + SILENT_FOR_S:
            sent_at = time.monotonic()
            request, _ = await site.request(machine, "/ledger/x")
            for _, leaf in site.runs.get(request, []):
                if leaf.startswith("i-before") and sent_at - confirmed_at > BOUNDS["configApplyMs"] / 1000:
                    late.append(request)
                    record.note(f"CONFIG: {request}, sent {sent_at - confirmed_at:.2f} s after the confirmation to "
                                f"{machine.name}, ran at {leaf} of the older version")
            await asyncio.sleep(0.03)

    await asyncio.gather(*(consumer(m) for m in calm))
    released.cancel()
    print(f"{len(late)} requests were handled as only an older version allows, by machines in touch")
    return BROKEN if late else HELD


main(case, FOLDER)

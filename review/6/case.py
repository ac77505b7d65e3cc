"""A replica leaves without reporting it; a beat of it that the store took seconds before is done late."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from platform_stand_in import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_MS, CONTACT_MS, LATE_S, INTERVAL = 2000, 3000, 5.5, 1.2
LINGER_S = 5.0   # from the removal: drain_ms "and a little longer (at times many seconds)"

async def case(folder):
    store = Store(); await store.start()
    store.put("keyed.op", "config", config(1))
    replicas = [Replica(store, "i-%d" % i, "app", work=0.15) for i in range(1, 4)]
    for one in replicas: await one.start()
    routers = [Router(store, folder) for _ in range(3)]
    STARTED.extend(routers)
    for one in routers: await one.start()
    for one in routers:
        if not await one.wait_ready(): return 2, "an entry is not ready"
    results = {}
    async def client(router):
        status, _, _, attempt = await ask(router, "/once/x"); results[attempt] = status
    async def load():
        while True:
            asyncio.create_task(client(routers[next(ids) % 3])); await asyncio.sleep(0.02)
    traffic = asyncio.create_task(load())
    await asyncio.sleep(5.0)
    leaver = replicas[0]
    lost_at = now()
    if TROUBLE:
        # The store takes this beat and does not answer it; it is done LATE_S later (1 to 6 s).
        leaver.sequence += 1; late = leaver.entry()
        note("store.lost", key=leaver.id, sequence=late["sequence"])
    await asyncio.sleep(CONTACT_MS / 1000 + 0.3)   # beats go on, in order; the store is calm
    leaver.silence()
    store.put("keyed.servers", leaver.id, None); removed_at = now()
    note("removed", replica=leaver.id)
    async def late_write():
        await asyncio.sleep(lost_at + LATE_S - now())
        store.put("keyed.servers", leaver.id, late); note("store.late", key=leaver.id, sequence=late["sequence"])
        await asyncio.sleep(3 * INTERVAL)          # three intervals of silence
        store.put("keyed.servers", leaver.id, None)
    if TROUBLE: asyncio.create_task(late_write())
    await asyncio.sleep(removed_at + LINGER_S - now())
    cut = {a for _, a in leaver.runs[-20:]}
    await leaver.stop(); note("exit", replica=leaver.id)
    await asyncio.sleep(6.0)
    traffic.cancel(); await asyncio.sleep(1.0)
    limit = removed_at + DRAIN_MS / 1000
    broken = [(at, a) for at, a in leaver.runs if at > limit]
    lost = [a for a in cut if results.get(a, 0) not in (200,) and a in results]
    statuses = {}
    for s in results.values(): statuses[s] = statuses.get(s, 0) + 1
    text = "requests that reached and were run by %s later than drain_ms after its removal: %d (first %.2f s after it); run there and cut by its exit: %d; statuses %s" % (
        leaver.id, len(broken), broken[0][0] - removed_at if broken else 0, len(lost), statuses)
    return (1 if broken else 0), text

open_record(os.path.join(HERE, "record.txt"))   # what was sent, answered and run
note("case", number=6, trouble=int(TROUBLE))
run_case(case)

"""Keys are taken away until no tenant is left; requests with keys that no config ever held follow."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from platform_stand_in import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 2.0   # config_apply_ms
KEY, NEVER = "key-1", "never-held-by-any-config"

async def case(folder):
    store = Store(); await store.start()
    tenants = [("t1", [KEY])]
    store.put("keyed.op", "config", config(3, tenants=tenants)); held = {KEY}
    replicas = [Replica(store, "i-%d" % i, "app") for i in range(1, 4)]
    for one in replicas: await one.start()
    routers = [Router(store, folder) for _ in range(3)]
    STARTED.extend(routers)
    for one in routers: await one.start()
    for one in routers:
        if not await one.wait_ready(): return 2, "an entry is not ready"
    keys = {}
    async def round_of(name):
        seen = {}
        for i in range(20):
            for router in routers:
                for key in (KEY, NEVER, None):
                    status, _, _, attempt = await ask(router, "/once/x", key=key)
                    keys[attempt] = (key, name)
                    seen.setdefault(key, {}).setdefault(status, 0); seen[key][status] += 1
        note("round", after=name, seen=str(seen).replace(" ", ""))
        return seen
    await round_of("version 3: tenant t1 has a key")
    if TROUBLE:
        # The tenant loses its key, and is taken out of the config: no tenant is left.
        store.put("keyed.op", "config", config(5, tenants=[("t1", [])])); await asyncio.sleep(APPLY_S + 0.5)
        await round_of("version 5: t1 has no key")
        store.put("keyed.op", "config", config(8, tenants=[])); await asyncio.sleep(APPLY_S + 0.5)
        await round_of("version 8: no tenant")
    else:
        store.put("keyed.op", "config", config(5, tenants=tenants, note="as before")); await asyncio.sleep(APPLY_S + 0.5)
        await round_of("version 5: as before")
    ran = {a for one in replicas for _, a in one.runs}
    foreign = [a for a in ran if keys[a][0] not in held]
    dropped = [a for a in ran if keys[a][0] == KEY and keys[a][1] != "version 3: tenant t1 has a key" and TROUBLE]
    text = "requests run whose key no config ever held: %d (of these without any key: %d); run with the key that was taken away, later than config_apply_ms after the acknowledgement: %d" % (
        len(foreign), len([a for a in foreign if keys[a][0] is None]), len(dropped))
    return (1 if foreign else 0), text

open_record(os.path.join(HERE, "record.txt"))   # what was sent, answered and run
note("case", number=5, trouble=int(TROUBLE))
run_case(case)

"""The config has grown by many routes, all in use, when a bad version is rolled out."""
import os, random, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
from platform_stand_in import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GROWN = 150                      # the site's big_config adds 350
ROLLOUT_S, FAILS, RATE = 16, 0.5, 100
SHARE, SLACK, ROLLBACK_S = 0.15, 30, 5.0

async def case(folder):
    store = Store(); await store.start()
    routes = ["/team%03d/" % i for i in range(10)]
    def put(version): store.put("keyed.op", "config", config(version, routes=lambda route: [route(p) for p in routes]))
    put(3)
    old = [Replica(store, "i-%d" % i, "app", slots=64) for i in range(4)]
    for one in old: await one.start()
    routers = [Router(store, folder, zone="z%d" % (i + 1)) for i in range(3)]
    STARTED.extend(routers)
    for one in routers: await one.start()
    for one in routers:
        if not await one.wait_ready(): return 2, "an entry is not ready"
    if TROUBLE:
        routes += ["/team%03d/" % i for i in range(10, 10 + GROWN)]; put(4)
        await asyncio.sleep(3.0)
    sent, results, arrivals = {}, {}, []
    chance = random.Random(7)
    async def bad(self, first, headers, body, reader, writer):
        attempt = headers["x-reedramp-attempt-id"]; fails = chance.random() < FAILS
        note("run", replica=self.id, attempt=attempt, fails=fails)
        await asyncio.sleep(0.02)
        arrivals.append((attempt, now() if fails else None))
        self.send(writer, 500 if fails else 200, attempt, self.body_for(attempt))
        note("answer", replica=self.id, attempt=attempt, status=500 if fails else 200)
        return True
    async def client(router, path, attempt):
        sent[attempt] = now(); results[attempt], _, _, _ = await ask(router, path, attempt=attempt, headers={"Session": "s%d" % (len(sent) % 997)})
    async def load():
        k = 0
        while True:
            k += 1; asyncio.create_task(client(routers[k % 3], routes[(k // 3) % len(routes)] + "x", "a%06d" % next(ids))); await asyncio.sleep(1 / RATE)
    traffic = asyncio.create_task(load())
    await asyncio.sleep(12.0)
    fresh = [Replica(store, "j-%d" % i, "app", slots=64, version="v2") for i in range(4)]
    for one in fresh: one.handler = bad; await one.start()
    store.put("keyed.op", "rollout/app", {"service": "app", "target": "v2", "duration_s": ROLLOUT_S}); ordered = now()
    await asyncio.sleep(ROLLOUT_S)
    traffic.cancel(); await asyncio.sleep(0.5)
    at_service = [a for a, at in sent.items() if ordered <= at <= ordered + ROLLOUT_S]
    limit = SHARE * len(at_service) + SLACK
    fifty = sorted(at for _, at in arrivals if at)[49:50]
    late = [a for a, _ in arrivals if fifty and sent[a] > fifty[0] + ROLLBACK_S]
    status = store.newest("keyed.status", "rollout/app")
    lost = len([a for a, at in arrivals if at and results.get(a) == 500])
    text = "the bad version got %d of %d requests (bound %d), and %d that were sent later than rollback_ms after its 50th bad answer; %d requests that may run once failed there; state at the end: %s" % (
        len(arrivals), len(at_service), limit, len(late), lost, status and status["state"])
    return (1 if len(arrivals) > limit or late else 0), text

open_record(os.path.join(HERE, "record.txt"))   # what was sent, answered and run
note("case", number=4, trouble=int(TROUBLE))
run_case(case)

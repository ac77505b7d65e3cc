"""Small stand-ins of the platform (store, replicas, clients) for reedramp-router, on loopback."""
import asyncio, base64, json, os, signal, socket, struct, tempfile, time, itertools

T0 = time.monotonic()
RECORD = []
RECORD_FILE = None
def line_of(at, kind, data):
    return "%9.3f %-14s %s\n" % (at, kind, " ".join("%s=%s" % i for i in data.items()))
def open_record(path):
    """Each line is in the file as soon as it is noted, so that a run that is ended early leaves its record."""
    global RECORD_FILE
    RECORD_FILE = open(path, "w", buffering=1)
def note(kind, **data):
    RECORD.append((time.monotonic() - T0, kind, data))
    if RECORD_FILE: RECORD_FILE.write(line_of(*RECORD[-1]))
def now(): return time.monotonic() - T0

async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin1").split("\r\n")
    first = lines[0]
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers

async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    size = int(headers.get("content-length", "0"))
    return await reader.readexactly(size) if size else b""

def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]

class Topic:
    def __init__(self):
        self.records, self.newest, self.news = [], {}, asyncio.Event()
        self.first = 0
    def add(self, key, value):
        self.records.append((key, value))
        if value: self.newest[key] = (value, len(self.records) - 1)
        else: self.newest.pop(key, None)
        self.news.set(); self.news = asyncio.Event()

class Store:
    """The platform's metadata store: keyed topics of one partition each."""
    def __init__(self):
        self.topics, self.port, self.delay = {}, None, 0.004
        self.gate = None   # async hook(method, path, query) -> None | "drop" | status
    def topic(self, name):
        if name not in self.topics: self.topics[name] = Topic()
        return self.topics[name]
    def put(self, topic, key, value):
        raw = value if value is None or isinstance(value, bytes) else json.dumps(value).encode()
        note("store.put", topic=topic, key=key, value=(raw or b"-").decode()[:300])
        self.topic(topic).add(key, raw or b"")
    def newest(self, topic, key):
        got = self.topic(topic).newest.get(key)
        return json.loads(got[0]) if got else None
    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if not got: break
                first, headers = got
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                path, _, q = target.partition("?")
                query = dict(p.partition("=")[::2] for p in q.split("&") if p)
                if self.gate:
                    verdict = await self.gate(method, path, query)
                    if verdict == "drop": return
                    if verdict == "hang":
                        await asyncio.sleep(3600)
                    if isinstance(verdict, int):
                        self.reply(writer, verdict, b"{}"); await writer.drain(); continue
                await asyncio.sleep(self.delay)
                status, data, ctype = await self.handle(path, query, body)
                self.reply(writer, status, data, ctype)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
    def reply(self, writer, status, data, ctype="application/json"):
        writer.write(b"HTTP/1.1 %d S\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (status, ctype.encode(), len(data)) + data)
    async def handle(self, path, query, body):
        log = self.topic(query.get("topic", ""))
        js = "application/json"
        if path == "/v1/log-append":
            if "at" in query and int(query["at"]) != len(log.records):
                return 412, json.dumps({"end": len(log.records)}).encode(), js
            offset, at = len(log.records), 0
            while at < len(body):
                size, = struct.unpack(">I", body[at:at + 4]); rec = body[at + 4:at + 4 + size]; at += 4 + size
                key = rec[1:1 + rec[0]].decode(); value = rec[1 + rec[0]:]
                note("store.append", topic=query["topic"], key=key, value=value.decode("latin1")[:200])
                log.add(key, value)
            return 200, json.dumps({"offset": offset, "end": len(log.records)}).encode(), js
        if path == "/v1/log-read":
            start, wait = int(query["from"]), int(query.get("wait_ms", "0"))
            if start < log.first: return 410, json.dumps({"first": log.first}).encode(), js
            if start >= len(log.records) and wait:
                news = log.news
                try: await asyncio.wait_for(news.wait(), wait / 1000)
                except asyncio.TimeoutError: pass
            out = struct.pack(">QQ", len(log.records), log.first)
            for key, value in log.records[start:]:
                rec = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(rec)) + rec
            return 200, out, "application/octet-stream"
        if path == "/v1/log-newest":
            items = [{"key": k, "value": base64.b64encode(v).decode(), "offset": o} for k, (v, o) in sorted(log.newest.items())]
            return 200, json.dumps({"items": items, "truncated": False, "end": len(log.records)}).encode(), js
        return 404, b"{}", js

class Replica:
    """A replica: one request at a time on a channel; drops a request when its channel closes."""
    def __init__(self, store, rid, service, port=0, host="127.0.0.1", version="v1", work=0.02, slots=6, body=b"answer", zone="z1"):
        self.store, self.id, self.service, self.host, self.version = store, rid, service, host, version
        self.port, self.work, self.slots, self.zone, self.state = port, work, slots, zone, "ready"
        self.sequence, self.beats, self.runs, self.handler, self.writers = 0, None, [], None, set()
        self.extra = {}
    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()
        self.beats = asyncio.create_task(self.beat())
    def entry(self):
        e = {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": self.zone, "version": self.version,
             "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence}
        e.update(self.extra); return e
    def register(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.id, self.entry())
    async def beat(self):
        while True:
            await asyncio.sleep(1.2); self.register()
    def silence(self):
        if self.beats: self.beats.cancel(); self.beats = None
    async def stop(self, reset=False):
        self.silence()
        self.server.close()
        for w in list(self.writers):
            if reset:
                w.get_extra_info("socket") and w.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            w.transport.abort() if reset else w.close()
    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if not got: break
                first, headers = got
                body = await read_body(reader, headers)
                attempt = headers.get("x-reedramp-attempt-id", "")
                note("arrive", replica=self.id, attempt=attempt, first=first.replace(" ", "_"), tenant=headers.get("x-reedramp-tenant"), expect=headers.get("x-reedramp-expect-replica"), model=headers.get("x-reedramp-model"), last=headers.get("last-event-id"), ms=headers.get("x-reedramp-deadline-ms"))
                expect = headers.get("x-reedramp-expect-replica")
                if expect and expect != self.id:
                    self.send(writer, 421, attempt, b"", {"X-Reedramp-Replica-Id": self.id}, seal=False); continue
                if self.handler:
                    if await self.handler(self, first, headers, body, reader, writer): continue
                note("run", replica=self.id, attempt=attempt); self.runs.append((now(), attempt))
                await asyncio.sleep(self.work)
                if writer.is_closing(): note("cut", replica=self.id, attempt=attempt); break
                self.send(writer, 200, attempt, self.body_for(attempt))
                note("answer", replica=self.id, attempt=attempt, status=200)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer); writer.close()
    def body_for(self, attempt): return ("%s by %s" % (attempt, self.id)).encode()
    def send(self, writer, status, attempt, body, more=None, seal=True):
        head = "HTTP/1.1 %d S\r\nContent-Length: %d\r\nX-Reedramp-Attempt-Id: %s\r\n" % (status, len(body), attempt)
        if seal: head += "X-Reedramp-Replica-Seal: seal.%s.%s\r\n" % (self.id, attempt)
        for k, v in (more or {}).items(): head += "%s: %s\r\n" % (k, v)
        writer.write(head.encode() + b"\r\n" + body)

class Router:
    number = itertools.count(2)
    peers_port = None
    def __init__(self, store, folder, program="target/bin/reedramp-router", more=None, zone="z1", host=None):
        self.store, self.folder, self.program = store, folder, program
        n = next(Router.number); self.ip = host or "127.0.0.%d" % n
        self.name = "front-%d" % n
        Router.peers_port = Router.peers_port or free_port("127.0.0.2")
        self.callers, self.ready = free_port(self.ip), free_port(self.ip)
        self.settings = os.path.join(folder, self.name + ".json")
        s = {"host": self.name, "data_centre": zone, "callers": {"listen": "%s:%d" % (self.ip, self.callers)},
             "ready": {"listen": "%s:%d" % (self.ip, self.ready)},
             "peers": {"listen": "%s:%d" % (self.ip, Router.peers_port), "first": ["127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"]},
             "shutdown": {"grace": "8 s"}, "session_time": "5 s", "retries": {"ratio": 0.9, "extra": 52, "window": "10 s"},
             "rollouts": {"exposure": 0.15, "exposure_slack": 30},
             "deployment": {"features": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]},
             "process": {"memory_mb": 260}, "regions": {"z1": "r1", "z2": "r1", "z3": "r1"}, "store": {"address": "127.0.0.1:%d" % store.port}}
        s.update(more or {})
        json.dump(s, open(self.settings, "w"))
        self.proc = None
    async def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "REEDRAMP_BOOT": self.settings}
        env.update({k: v for k, v in os.environ.items() if k.startswith(("ASAN", "UBSAN"))})
        self.proc = await asyncio.create_subprocess_exec(self.program, stdout=log, stderr=log, env=env)
        note("router.start", name=self.name, pid=self.proc.pid)
    async def is_ready(self):
        try:
            r, w = await asyncio.open_connection(self.ip, self.ready)
            w.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            got = await asyncio.wait_for(read_head(r), 1); w.close()
            return bool(got) and " 200 " in got[0] + " "
        except (OSError, asyncio.TimeoutError): return False
    async def wait_ready(self, limit=10):
        end = now() + limit
        while now() < end:
            if await self.is_ready(): return True
            await asyncio.sleep(0.05)
        return False
    def signal(self, number):
        note("signal", name=self.name, number=int(number)); self.proc.send_signal(number)
    async def end(self):
        if self.proc and self.proc.returncode is None:
            try: self.proc.send_signal(signal.SIGCONT); self.proc.kill()
            except ProcessLookupError: pass
            await self.proc.wait()

ids = itertools.count(1)
async def ask(router, path, key="key-1", host="h.example", method="POST", body=b"question", headers=None, wait=20.0, deadline=None, attempt=None, conn=None):
    """One client attempt. Returns (status, headers, body, attempt); status 0: no complete answer."""
    attempt = attempt or "a%06d" % next(ids)
    h = {"Host": host, "X-Reedramp-Attempt-Id": attempt}
    if key: h["X-Reedramp-Key"] = key
    if deadline: h["X-Reedramp-Deadline-Ms"] = deadline
    if body or method == "POST": h["Content-Length"] = len(body)
    h.update(headers or {})
    raw = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % i for i in h.items()) + "\r\n"
    note("ask", attempt=attempt, to=router.name, path=path, key=key)
    try:
        r, w = conn or await asyncio.open_connection(router.ip, router.callers)
        w.write(raw.encode() + body); await w.drain()
        got = await asyncio.wait_for(read_head(r), wait)
        if not got: note("got", attempt=attempt, status=0); return 0, {}, b"", attempt
        status = int(got[0].split(" ")[1])
        data = await asyncio.wait_for(read_body(r, got[1]), wait)
        if not conn: w.close()
        note("got", attempt=attempt, status=status, seal=got[1].get("x-reedramp-replica-seal"), body=data[:80].decode("latin1").replace("\n", "|"))
        return status, got[1], data, attempt
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
        note("got", attempt=attempt, status=0, why=type(e).__name__)
        return 0, {}, b"", attempt

def config(version, routes=None, services=("app",), tenants=(("t1", ["key-1"]),), **more):
    def route(prefix, service="app", kind="non_idempotent", **kw):
        r = {"name": "r" + prefix.replace("/", "-"), "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 4000,
             "target_latency_ms": 300, "priority": 0, "service": service, "max_attempts": 3, "anonymous": False, "sticky": False, "resumable": False}
        r.update(kw); return r
    rs = routes(route) if routes else [route("/once/"), route("/again/", kind="idempotent"),
        route("/talk/", kind="streaming", resumable=True, gap_aim_ms=800, timeout_ms=20000), route("/open/", anonymous=True)]
    c = {"version": version, "routes": rs, "services": [{"name": s, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": False} for s in services],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
         "tenants": [{"name": n, "api_keys": list(k), "priority": 1} for n, k in tenants]}
    c.update(more); return c

STARTED = []
BROKEN = 10   # run.sh makes 1 of it: Python itself exits with 1 for an error before a case begins.
def run_case(case):
    """Runs `case(folder)`, which returns 0, 1 or 2 and a sentence, and ends all that was started."""
    async def main():
        import shutil, traceback
        folder = tempfile.mkdtemp(prefix="reedramp-case-")
        code, text = 2, "the case could not run"
        task = asyncio.ensure_future(asyncio.wait_for(case(folder), 105))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try: code, text = await task
        except BaseException as e: traceback.print_exc(); text += ": " + type(e).__name__
        for one in STARTED: await one.end()
        note("verdict", code=code, text=text)
        if os.environ.get("KEEP"): print(folder)
        else: shutil.rmtree(folder, ignore_errors=True)
        print(text, flush=True); print({0: "held", 1: "BROKEN", 2: "could not run"}[code], flush=True)
        RECORD_FILE.close()
        os._exit(BROKEN if code == 1 else code)
    asyncio.run(main())

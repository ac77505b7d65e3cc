"""Starts a small system on loopback: stand-ins, agents and entries, each a process of its own.

Used by tools/demo and by the scripts that measure whole processes. All ports are ephemeral; secrets
are made for each run. Ends only the processes that it started.
"""

import hashlib
import json
import os
import secrets
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def decode(text):
    try:
        return json.loads(text) if text else {}
    except ValueError:
        return {"text": text.decode(errors="replace")}


def call(method, url, body=None, key=None, timeout=15):
    """Returns status and decoded JSON body."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = "Bearer " + key
    request = urllib.request.Request(url, data=data, method=method, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, decode(answer.read())
    except urllib.error.HTTPError as failed:
        return failed.code, decode(failed.read())


class Cluster:
    def __init__(self, build):
        self.bin = os.path.join(os.path.abspath(build), "bin")
        self.folder = tempfile.mkdtemp(prefix="reedramp-")
        self.processes = {}
        self.parts = {}
        self.entries = {}
        self.agents = {}
        self.operator_key = secrets.token_hex(16)
        self.write("shared.key", secrets.token_hex(32))
        self.write("session.key", secrets.token_hex(32))

    def write(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(content if isinstance(content, str) else json.dumps(content, indent=1))
        return path

    def start(self, name, program, settings):
        path = self.write(name + ".json", settings)
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        process = subprocess.Popen(
            [os.path.join(self.bin, program), "--settings", path],
            stdout=subprocess.PIPE, stderr=log, text=True)
        self.processes[name] = process
        lines = []
        while True:
            line = process.stdout.readline()
            if not line:
                raise RuntimeError(f"{name} ended at once; see {log.name}")
            lines.append(json.loads(line))
            if lines[-1].get("ready"):
                return lines

    def start_stand_ins(self, settings):
        for line in self.start("standin", "reedramp-standin", settings):
            if "part" in line:
                address = f"{line['address']}:{line['port']}"
                self.parts[line["name"] or line["part"]] = address
                self.parts.setdefault(line["part"], address)

    def list_host(self, host, data_centre, role, rpc, http, state="live"):
        row = {"host": host, "data_centre": data_centre, "region": "home", "role": role,
               "state": state, "rpc": rpc, "http": http}
        status, _ = call("PUT", f"http://{self.parts['hosts']}/hosts/{host}", row)
        if status != 200:
            raise RuntimeError(f"the host list refused {host}: {status}")

    def start_agent(self, server, host, data_centre, backend, extra=None):
        settings = {
            "server": server, "host": host, "data_centre": data_centre,
            "rpc.listen": "127.0.0.1:0", "rpc.shared_key_file": self.folder + "/shared.key",
            "http.listen": "127.0.0.1:0", "backend.address": self.parts[backend],
            "platform.log": self.parts["log"], "platform.hosts": self.parts["hosts"],
            "operators.key_hashes": [sha256(self.operator_key)], "log.level": "info"}
        if "weights" in self.parts:
            settings["platform.weights"] = self.parts["weights"]
        settings.update(extra or {})
        ready = self.start("agent-" + server, "reedramp-agent", nest(settings))[-1]
        self.agents[server] = f"127.0.0.1:{ready['http_port']}"
        self.list_host(host, data_centre, "server", ready["rpc"], self.agents[server])

    def start_entry(self, host, data_centre, extra=None):
        settings = {
            "host": host, "data_centre": data_centre, "region": "home",
            "http.listen": "127.0.0.1:0", "rpc.listen": "127.0.0.1:0",
            "rpc.shared_key_file": self.folder + "/shared.key",
            "sessions.key_file": self.folder + "/session.key",
            "platform.log": self.parts["log"], "platform.hosts": self.parts["hosts"],
            "platform.ratings": self.parts["ratings"],
            "operators.key_hashes": [sha256(self.operator_key)], "log.level": "info"}
        settings.update(extra or {})
        ready = self.start(host, "reedramp-entry", nest(settings))[-1]
        self.entries[host] = f"127.0.0.1:{ready['http_port']}"
        self.list_host(host, data_centre, "entry", ready["rpc"], self.entries[host])

    def wait_until(self, what, condition, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError("waited in vain for: " + what)

    def is_ready(self, address):
        try:
            return call("GET", f"http://{address}/health/ready", timeout=2)[0] == 200
        except (OSError, ValueError):
            return False

    def admin(self, method, path, body=None, entry=None):
        address = self.entries[entry] if entry else next(iter(self.entries.values()))
        return call(method, f"http://{address}/admin/v1/{path}", body, self.operator_key)

    def in_force(self, offset):
        return all(
            self.admin("GET", "status", entry=name)[1].get("offset", 0) >= offset
            for name in self.entries)

    def ctl(self, *arguments, entry=None):
        """Runs reedramp-ctl as an operator would; returns its exit code and output."""
        address = self.entries[entry] if entry else next(iter(self.entries.values()))
        environment = dict(os.environ, REEDRAMP_OPERATOR_KEY=self.operator_key)
        done = subprocess.run(
            [os.path.join(self.bin, "reedramp-ctl"), "--entry", address, *arguments],
            env=environment, capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout + done.stderr

    def stop(self, name, seconds=30):
        """Ends one process gracefully; returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def log_text(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8") as file:
            return file.read()

    def stop_all(self):
        order = sorted(self.processes, key=lambda name: (name == "standin", name.startswith("agent")))
        for name in order:
            self.stop(name, 10)


def nest(flat):
    """{"a.b": 1} -> {"a": {"b": 1}}"""
    made = {}
    for path, value in flat.items():
        *folders, last = path.split(".")
        place = made
        for folder in folders:
            place = place.setdefault(folder, {})
        place[last] = value
    return made

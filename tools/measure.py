"""What the measuring scripts share: processor time, memory and socket bytes of processes, fits by
least squares, and the line that each figure is printed as."""

import collections
import http.client
import os
import re
import subprocess
import time

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SOCKET = re.compile(r"^\s*\d+\s+\d+\s+(\S+):(\d+)\s+(\S+):(\d+).*?pid=(\d+)")
PASSED = re.compile(r"bytes_(acked|received):(\d+)")


def metric(name, value, unit):
    print(f"METRIC {name} {value:.6g} {unit}", flush=True)


def note(text):
    print("# " + text, flush=True)


def note_machine():
    note(f"processors {os.cpu_count()}, load average {' '.join(f'{one:.1f}' for one in os.getloadavg())}")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def resident_mb(pid):
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 2**20


class SocketBytes:
    """Bytes of payload that processes' TCP connections have carried, by the role of the far end.

    The kernel counts for each connection; a sample adds what came since the last one. A connection
    that opens and closes between two samples is missed, so kept connections are what this counts.
    """

    def __init__(self, pids, role_of_port):
        self.pids = set(pids)
        self.role_of_port = role_of_port
        self.seen = {}
        self.bytes = collections.Counter()
        self.connections = collections.Counter()
        self.sample()
        self.bytes.clear()

    def sample(self):
        text = subprocess.run(["ss", "-Htinp", "state", "established"], capture_output=True,
                              text=True, check=True).stdout
        lines = text.splitlines()
        self.connections.clear()
        for head, details in zip(lines, lines[1:]):
            found = SOCKET.match(head)
            if not found or int(found[5]) not in self.pids:
                continue
            pid, near, far = int(found[5]), int(found[2]), int(found[4])
            passed = {name: int(value) for name, value in PASSED.findall(details)}
            role = self.role_of_port.get(far) or "from_" + self.role_of_port.get(near, "other")
            self.connections[pid] += 1
            for way, value in passed.items():
                key = (pid, near, far, way)
                self.bytes[(pid, role)] += max(0, value - self.seen.get(key, 0))
                self.seen[key] = value

    def of(self, pid):
        return sum(count for (whose, _), count in self.bytes.items() if whose == pid)

    def by_role(self, pids):
        sums = collections.Counter()
        for (whose, role), count in self.bytes.items():
            if whose in pids:
                sums[role] += count
        return sums


class Window:
    """Processor time, memory and bytes of a set of processes over a stretch of time."""

    def __init__(self, pids, role_of_port, seconds):
        self.pids = list(pids)
        sockets = SocketBytes(self.pids, role_of_port)
        before = {pid: processor_seconds(pid) for pid in self.pids}
        began = time.monotonic()
        end = began + seconds
        while time.monotonic() < end:
            time.sleep(min(3.0, max(0.0, end - time.monotonic())))
            sockets.sample()
        self.seconds = time.monotonic() - began
        self.core_percent = {
            pid: 100 * (processor_seconds(pid) - before[pid]) / self.seconds for pid in self.pids}
        self.mb = {pid: resident_mb(pid) for pid in self.pids}
        self.bytes = {pid: sockets.of(pid) / self.seconds for pid in self.pids}
        self.connections = {pid: sockets.connections[pid] for pid in self.pids}
        self.sockets = sockets

    def bytes_by_role(self, pids):
        sums = self.sockets.by_role(set(pids))
        return {role: count / self.seconds / len(pids) for role, count in sorted(sums.items())}


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def quantile(values, share):
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]


class Line:
    """y = base + slope x by least squares; `residual` is the root mean square of what is left."""

    def __init__(self, points):
        xs, ys = [x for x, _ in points], [y for _, y in points]
        middle_x, middle_y = mean(xs), mean(ys)
        spread = sum((x - middle_x) ** 2 for x in xs)
        self.slope = sum((x - middle_x) * (y - middle_y) for x, y in points) / spread
        self.base = middle_y - self.slope * middle_x
        self.residual = mean((y - self.at(x)) ** 2 for x, y in points) ** 0.5

    def at(self, x):
        return self.base + self.slope * x

    def __str__(self):
        return f"{self.base:.4g} + {self.slope:.4g} x, residual {self.residual:.2g}"


def solve(rows, wanted):
    """Coefficients c with the least squares of rows c - wanted, and what is left (root mean square)."""
    size = len(rows[0])
    table = [[sum(row[i] * row[j] for row in rows) for j in range(size)]
             + [sum(row[i] * value for row, value in zip(rows, wanted))] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(table[k][i]))
        table[i], table[pivot] = table[pivot], table[i]
        for k in range(size):
            if k != i:
                factor = table[k][i] / table[i][i]
                table[k] = [a - factor * b for a, b in zip(table[k], table[i])]
    found = [table[i][size] / table[i][i] for i in range(size)]
    left = [sum(c * x for c, x in zip(found, row)) - value for row, value in zip(rows, wanted)]
    return found, mean(one**2 for one in left) ** 0.5


class OffsetReader:
    """Reads the offset in force of one process from its metrics, over a kept connection."""

    NAMES = ("reedramp_agent_configuration_offset ", "reedramp_entry_configuration_offset ")

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=10)

    def read(self):
        self.connection.request("GET", "/metrics")
        text = self.connection.getresponse().read().decode()
        for line in text.splitlines():
            if line.startswith(self.NAMES):
                return float(line.split()[1])
        return 0.0


def time_in_force(cluster, readers, record):
    """Publishes the record; gives the seconds until each process has it in force, the last first.

    Polled over kept connections, so that each time is late by at most one sweep of those left.
    """
    began = time.monotonic()
    status, answer = cluster.admin("POST", "records", record)
    if status != 200:
        raise RuntimeError(f"not accepted: {status} {answer}")
    waiting, took = list(readers), []
    while waiting:
        if time.monotonic() - began > 60:
            raise RuntimeError(f"{len(waiting)} processes do not have offset {answer['offset']}")
        left = []
        for reader in waiting:
            if reader.read() >= answer["offset"]:
                took.append(time.monotonic() - began)
            else:
                left.append(reader)
        waiting = left
        time.sleep(0.002)
    return sorted(took, reverse=True)

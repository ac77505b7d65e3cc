"""A cluster for measurements: an inventory at full size, processes in six data centres."""

from cluster import Cluster, call, sha256

KEY = "bench-desk-key"
VERSIONS = 7
SERVERS = 620
LIVE_SERVERS = 150
ORGANISATIONS = 60
DATA_CENTRES = 6


def stand_ins():
    return {
        "threads": 4, "log": {}, "hosts": {}, "ratings": {"delay_ms": 100}, "weights": {},
        "engines": [{"name": "engine", "slots": 4096, "queue_limit": 100000,
                     "versions": [f"version-{number}" for number in range(VERSIONS)]}],
        "services": [{"name": "portal"}]}


def data_centre(number):
    return f"dc-{number % DATA_CENTRES}"


def version_value(number, stage="stable"):
    return {"id": f"version-{number}", "model": "m", "stage": stage, "prompt_price": 100000,
            "completion_price": 400000 + number, "prior": {"mean": 850, "weight": 50}}


def versions_of(number):
    """Two versions a server; all of them at those that may run here, so that any choice has one."""
    if number < LIVE_SERVERS:
        return [f"version-{one}" for one in range(VERSIONS)]
    return [f"version-{number % VERSIONS}", f"version-{(number + 1) % VERSIONS}"]


def server_value(number):
    return {"id": f"server-{number}", "host": f"server-host-{number}", "region": "home",
            "data_centre": data_centre(number), "kind": "engine", "checks_fencing": True,
            "versions": versions_of(number)}


def organisation_value(number):
    return {"id": f"organisation-{number}", "models": ["m"], "services": ["portal"],
            "key_hashes": [sha256(KEY if number == 0 else f"{KEY}-{number}")],
            "tasks": [{"task": "drafting", "quality_target": 800},
                      {"task": "tagging", "quality_target": 600}],
            "limits": {"requests": 10**7, "tokens": 10**10, "money": 10**12}}


def inventory():
    """What the system of the size to come holds: 7 versions, 620 servers, 60 organisations."""
    changes = [{"put": "model", "value": {"id": "m"}},
               {"put": "service", "value": {"name": "portal", "at_most_once_methods": ["POST"]}},
               {"put": "server", "value": {
                   "id": "portal-1", "host": "portal-host", "data_centre": "dc-0", "region": "home",
                   "kind": "service", "service": "portal"}}]
    for number in range(VERSIONS):
        changes.append({"put": "version", "value": version_value(number)})
    changes += [{"put": "server", "value": server_value(number)} for number in range(SERVERS)]
    changes += [{"put": "organisation", "value": organisation_value(number)}
                for number in range(ORGANISATIONS)]
    return {"id": "full-size", "author": "operator", "at": 0, "base": 0, "changes": changes}


class Fleet(Cluster):
    def __init__(self, build):
        super().__init__(build)
        self.changes = 0
        self.start_stand_ins(stand_ins())

    def grow(self, entries, agents, extra=None):
        """Starts processes until there are so many; the first agent stands before the service."""
        options = dict({"log.level": "warning"}, **(extra or {}))
        while len(self.entries) < entries:
            number = len(self.entries)
            self.start_entry(f"entry-{number}", data_centre(number), options)
        slots = {"backend.slots": 256, "queue.limit": 4096, **options}
        while len(self.agents) < agents:
            number = len(self.agents) - 1
            if number < 0:
                self.start_agent("portal-1", "portal-host", "dc-0", "portal", slots)
            else:
                self.start_agent(f"server-{number}", f"server-host-{number}", data_centre(number),
                                 "engine", slots)

    def publish_inventory(self):
        self.wait_until("status", lambda: self.admin("GET", "status")[0] == 200)
        status, answer = self.admin("POST", "records", inventory())
        if status != 200:
            raise RuntimeError(f"the inventory was not accepted: {status} {answer}")

    def wait_ready(self):
        for address in list(self.entries.values()) + list(self.agents.values()):
            self.wait_until("readiness", lambda where=address: self.is_ready(where), 60)

    def wait_answers(self):
        """Until each entry has found a backend server."""
        chat = {"model": "m", "max_tokens": 1, "messages": [{"role": "user", "content": "tokens=1"}]}

        def answers(where):
            return call("POST", f"http://{where}/v1/chat/completions", chat, KEY)[0] == 200

        for address in self.entries.values():
            self.wait_until("an answer", lambda where=address: answers(where), 30)

    def next_change(self):
        """A record that changes one server's row."""
        self.changes += 1
        _, state = self.admin("GET", "state")
        value = dict(server_value(SERVERS - 1), host=f"server-host-{SERVERS + self.changes}")
        return {"id": f"change-{self.changes}", "author": "operator", "at": 0,
                "base": state["offset"], "changes": [{"put": "server", "value": value}]}

    def rollout(self):
        """A record that begins a roll-out."""
        record = self.next_change()
        record["changes"] = [
            {"put": "version", "value": version_value(1, "rollout")},
            {"rollout": {"id": "rollout-1", "model": "m", "from": "version-0", "to": "version-1",
                         "share": 300, "step": 1, "status": "running"}}]
        return record

    def entry_pids(self):
        return [self.processes[name].pid for name in self.entries]

    def agent_pids(self):
        return [self.processes["agent-" + name].pid for name in self.agents]

    def role_of_port(self):
        """By the port at the far end, what a connection is to."""
        roles = {int(where.rsplit(":", 1)[1]): name for name, where in self.parts.items()
                 if name in ("log", "hosts", "ratings", "weights", "engine", "portal")}
        _, rows = self.hosts()
        for row in rows["hosts"]:
            roles[int(row["rpc"].rsplit(":", 1)[1])] = row["role"] + "_rpc"
            roles[int(row["http"].rsplit(":", 1)[1])] = "http"
        return roles

    def hosts(self):
        return call("GET", f"http://{self.parts['hosts']}/hosts")

"""Random faults against a deployment of nodes, while callers and a trainer of two workspaces and two operators use it and check
its promises, with a platform to which usage is reported.

Each seed draws its own faults, one after the other and overlapping: processes that are killed, paused, stopped and started,
a lost disk, relays that delay, silence, cut one way or reset connections, endpoints that crash and come back.
"""
import json
import os
import random
import shutil
import signal
import threading
import time

import relay
from nodes import BOUND, HOST, Deployment, Endpoint, Platform, call, configuration, wait_until

ORDER_LEASE = 3.0  # Seconds; the default of the settings.
RESUMED_SLACK = 0.3  # Seconds after a paused holder goes on, in which an order that it had begun to send may arrive.
EVENTS = 12
BEAT_INTERVAL = 0.5
SOFTWARE = ["v1", "v2"]  # Versions of the endpoints' software, which serve side by side.
WORKSPACES = {"blue": "key-of-blue", "red": "key-of-red"}
REVOKED_KEY = "key-of-nobody"  # No configuration has it.
TRAINER = {"Authorization": "Bearer key-of-blue"}


def soak_configuration(version):
    changed = configuration(version, timeout_ms=3000 + version)
    changed["tenants"] = [{"name": name, "api-keys": [key, f"{key}-{version}"]} for name, key in WORKSPACES.items()]
    return json.dumps(changed)


class Soak:
    def __init__(self, seed, duration):
        self.random = random.Random(seed)
        self.software = random.Random(seed)  # Of its own, so that it does not change which faults a seed draws.
        self.duration = duration
        self.platform = Platform()
        self.nodes = Deployment(entries=2, with_relays=True, settings=self.platform.settings(usage_delay="6s"))
        self.endpoints = []
        self.endpoint_relays = []
        self.violations = []
        self.faults = []
        self.stop = threading.Event()
        self.store_fault = threading.Lock()  # At most one store is down, so that the others are a majority.
        self.resumed = []  # Times at which a paused store went on.
        self.version = 1  # Newest named and acknowledged one.
        self.configuration = 0  # Highest acknowledged one.
        self.outcomes = {}  # Requests that may run once: id to status.
        self.workspaces = {}  # Workspace of each request by its id.
        self.known = {}  # Job to the results that were read, by position.
        self.served = {"plain": 0, "once": 0, "jobs": 0}

    def check(self, condition, message):
        if not condition:
            self.violations.append(message)

    # The deployment and its endpoints.

    def add_endpoint(self, service):
        endpoint = Endpoint(service, pause=0.04, events=EVENTS, names_versions=True, marks_software=True, software=self.software.choice(SOFTWARE))
        endpoint.version = self.version
        link = relay.Relay(("127.0.0.1", 0), ("127.0.0.1", endpoint.port))
        endpoint.address = "127.0.0.1:%d" % link.address[1]
        endpoint.is_up = True
        self.endpoints.append(endpoint)
        self.endpoint_relays.append(link)
        threading.Thread(target=self.beats, args=(endpoint,), daemon=True).start()

    def beats(self, endpoint):
        while endpoint.is_up and not self.stop.is_set():
            ports = list(self.nodes.control_ports)
            random.shuffle(ports)
            endpoint.beat(ports)
            time.sleep(BEAT_INTERVAL)

    # Users.

    def call_plain(self):
        draw = random.Random(self.random.random())
        number = 0
        while not self.stop.is_set():
            kind, number = draw.choice(["plain", "once"]), number + 1
            identity, body = f"{kind}-{number}", f"body {number}".encode()
            workspace = self.workspaces[identity] = "blue" if number % 3 else "red"
            entry = draw.choice(self.nodes.entry_ports)
            if number % 10 == 0:
                self.call_with_revoked_key(entry, identity)
            status, data = call(entry, "POST", f"/{kind}/x", body, {"Host": HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": "2000", "Authorization": f"Bearer {WORKSPACES[workspace]}"})
            if kind == "once":
                self.outcomes[identity] = status
            self.served[kind] += status == 200
            self.check(status != 200 or data == b"echo " + body, f"{identity} got another answer: {data!r}")
            self.check(status not in (400, 401, 403, 404), f"{identity} was denied with {status}")
            time.sleep(draw.uniform(0.01, 0.08))

    def call_with_revoked_key(self, entry, identity):
        status = call(entry, "POST", "/plain/x", b"", {"Host": HOST, "X-Attempt-Id": f"revoked-{identity}", "Authorization": f"Bearer {REVOKED_KEY}"})[0]
        self.check(status in (0, 401, 503), f"a request with a revoked key was answered with {status}")

    def train(self):
        draw = random.Random(self.random.random())
        step = 0
        while not self.stop.is_set():
            job, items = f"job{step}", [f"item{step}-{number}" for number in range(draw.randint(3, 9))]
            lowest = max(1, self.version - 1)
            while self.nodes.submit(job, items, lowest, draw.randrange(2), headers=TRAINER) != 202:
                if self.stop.wait(0.1):
                    return
            self.known[job] = {}
            while len(self.known[job]) < len(items) and not self.stop.is_set():
                self.read_job(job, items, lowest, draw)
                time.sleep(0.1)
            if len(self.known[job]) == len(items):
                self.served["jobs"] += 1
                self.name_version(draw)
            step += 1
        self.last = (job, items, lowest)

    def read_job(self, job, items, lowest, draw):
        known = self.known[job]
        after = draw.choice([0, len(known)])
        status, results = self.nodes.read(job, after, draw.randrange(2), headers=TRAINER)
        self.check(status in (0, 200, 429, 502, 503, 504), f"{job} was answered with {status}")
        for offset, result in enumerate(results or []):
            position = after + offset
            if position in known:
                self.check(known[position] == result, f"{job} position {position} changed from {known[position]} to {result}")
                continue
            self.check(result["id"] in items and all(other["id"] != result["id"] for other in known.values()), f"{job} lists {result['id']} wrongly")
            known[position] = result
            self.check_result(job, result, lowest)

    def check_result(self, job, result, lowest):
        if result["state"] != "completed":
            self.violations.append(f"{job} gave up {result['id']}")
            return
        events = result["output"].split("\n")
        versions = sorted({int(event.split("@")[1]) for event in events})
        self.check(len({event.split("@")[2] for event in events}) == 1, f"{result['id']} is joined from two software versions: {events}")
        self.check([event.split("@")[0] for event in events] == [f"{result['id']}-{number}" for number in range(1, EVENTS + 1)], f"{result['id']} is not whole: {events}")
        self.check(sorted(result["versions"]) == versions and versions[0] >= lowest, f"{result['id']} is labelled {result['versions']}, made by {versions}, at least {lowest}")

    def name_version(self, draw):
        body = json.dumps({"model": "m", "version": self.version + 1})
        while call(draw.choice(self.nodes.control_ports), "POST", "/-/version-put", body)[0] != 200:
            if self.stop.wait(0.1):
                return
        self.version += 1

    def operate(self, parity):
        """One of two operators: sends configurations with odd or even numbers, and reads them back."""
        draw = random.Random(self.random.random())
        while not self.stop.wait(draw.uniform(0.5, 2)):
            number = self.configuration + 2 - (self.configuration + parity) % 2
            body = soak_configuration(number)
            while call(draw.choice(self.nodes.control_ports), "POST", "/-/config/replace", body)[0] != 200:
                if self.stop.wait(0.1):
                    return
            self.configuration = max(self.configuration, number)
            self.read_configuration(draw.choice(self.nodes.control_ports))

    def read_configuration(self, port):
        lowest = self.configuration
        status, data = call(port, "GET", "/-/config/read")
        self.check(status in (0, 200, 503), f"the configuration was answered with {status}")
        read = json.loads(data)["version"] if status == 200 else lowest
        self.check(read >= lowest, f"configuration {read} was read after {lowest} was acknowledged")
        return status == 200

    # Faults.

    def kill_store(self, draw):
        number = draw.randrange(len(self.nodes.stores))
        self.end(self.nodes.stores[number], draw.choice([signal.SIGKILL, signal.SIGTERM]))
        loses_disk = draw.random() < 0.3
        time.sleep(draw.uniform(0.1, 2))
        if loses_disk:
            shutil.rmtree(self.nodes.data_folder(number))
        self.nodes.start_store(number)
        if loses_disk:  # The new participant must have caught up before another disk is lost.
            log = os.path.join(self.nodes.folder.name, f"store{number}.log")
            wait_until(lambda: open(log, encoding="utf-8").read().rsplit("start name=", 1)[1].count("commit=0 ") < 2 or self.stop.is_set())
            time.sleep(3)

    def kill_all_stores(self, draw):
        for process in self.nodes.stores.values():
            self.end(process, signal.SIGKILL)
        time.sleep(draw.uniform(0.1, 1))
        for number in range(len(self.nodes.stores)):
            self.nodes.start_store(number)

    def pause_store(self, draw):
        process = self.nodes.stores[draw.randrange(len(self.nodes.stores))]
        process.send_signal(signal.SIGSTOP)
        time.sleep(draw.uniform(0.3, 4))
        process.send_signal(signal.SIGCONT)
        self.resumed.append(time.monotonic())

    def cut_store(self, draw):
        link = draw.choice(self.nodes.relays)
        link.set(draw.choice([relay.SILENT, relay.DEAF, relay.MUTE]))
        time.sleep(draw.uniform(0.3, 4))
        link.set(relay.OPEN)
        self.resumed.append(time.monotonic())

    def restart_entry(self, draw):
        number = draw.randrange(len(self.nodes.entries))
        self.end(self.nodes.entries[number], draw.choice([signal.SIGKILL, signal.SIGTERM]))
        self.nodes.start_entry(number)

    def pause_entry(self, draw):
        process = self.nodes.entries[draw.randrange(len(self.nodes.entries))]
        process.send_signal(signal.SIGSTOP)
        time.sleep(draw.uniform(0.3, 2))
        process.send_signal(signal.SIGCONT)

    def delay_links(self, draw):
        link = draw.choice(self.nodes.relays + self.endpoint_relays)
        link.set(relay.DELAY, draw.uniform(0.01, 0.15))
        time.sleep(draw.uniform(0.5, 3))
        link.set(relay.OPEN)

    def reset_links(self, draw):
        draw.choice(self.nodes.relays + self.endpoint_relays).reset()

    def silence_endpoint(self, draw):
        link = draw.choice(self.endpoint_relays)
        link.set(draw.choice([relay.SILENT, relay.DEAF, relay.MUTE]))
        time.sleep(draw.uniform(0.5, 3))
        link.set(relay.OPEN)
        self.resumed.append(time.monotonic())

    def replace_endpoint(self, draw):
        index = draw.randrange(len(self.endpoints))
        endpoint = self.endpoints[index]
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        self.endpoint_relays[index].close()
        endpoint.close()
        time.sleep(draw.uniform(0.1, 1))
        self.add_endpoint(endpoint.service)

    @staticmethod
    def end(process, signal_number):
        process.send_signal(signal_number)
        process.wait(BOUND)

    def strike(self, fault, draw):
        if fault in (self.kill_store, self.kill_all_stores, self.pause_store, self.cut_store):
            with self.store_fault:
                fault(draw)
        else:
            fault(draw)

    # The course of a seed.

    def run(self):
        """The broken promises; empty if all were kept."""
        try:
            for service in ["models", "models", "models", "plain", "plain"]:
                self.add_endpoint(service)
            ready = wait_until(lambda: self.nodes.on_control("POST", "/-/config/replace", soak_configuration(1))[0] == 200) and wait_until(lambda: all(call(port, "GET", "/-/readyz")[0] == 200 for port in self.nodes.ready_ports))
            self.check(ready, "the deployment does not start")
            self.configuration = 1
            users = [threading.Thread(target=user, args=arguments) for user, arguments in
                     [(self.call_plain, ()), (self.train, ()), (self.operate, (0,)), (self.operate, (1,))]]
            for user in users:
                user.start()
            self.strike_until_the_end()
            self.stop.set()
            for user in users:
                user.join()
            self.check_end()
        finally:
            self.stop.set()
            self.nodes.close()
            self.platform.close()
            for endpoint, link in zip(self.endpoints, self.endpoint_relays):
                link.close()
                if endpoint.is_up:
                    endpoint.is_up = False
                    endpoint.close()
        return self.violations

    def strike_until_the_end(self):
        kinds = [self.kill_store, self.kill_all_stores, self.pause_store, self.cut_store, self.restart_entry, self.pause_entry, self.delay_links, self.reset_links, self.silence_endpoint, self.replace_endpoint]
        end, threads = time.monotonic() + self.duration, []
        while time.monotonic() < end:
            fault, draw = self.random.choice(kinds), random.Random(self.random.random())
            self.faults.append(fault.__name__)
            threads.append(threading.Thread(target=self.strike, args=(fault, draw)))
            threads[-1].start()
            time.sleep(self.random.uniform(0.2, 1.5))
        for thread in threads:
            thread.join()

    def check_end(self):
        """What must hold once all faults are over."""
        self.stop.clear()
        for endpoint in self.endpoints:
            threading.Thread(target=self.beats, args=(endpoint,), daemon=True).start()
        self.check(wait_until(lambda: self.read_configuration(self.nodes.control_ports[0])), "no configuration is read back")
        job, items, lowest = self.last
        if job in self.known:
            def is_done():
                self.read_job(job, items, lowest, self.random)
                return len(self.known[job]) == len(items)
            self.check(wait_until(is_done), f"{job} is not done: {len(self.known[job])} of {len(items)} results")
        for earlier, known in self.known.items():
            status, results = self.nodes.read(earlier, headers=TRAINER)
            self.check(status == 200 and all(position < len(results) and results[position] == result for position, result in known.items()), f"{earlier} lost results: {status}")
        self.check_orders()
        self.check_single_runs()
        self.check_workspaces()
        self.check_duties()

    def check_orders(self):
        for endpoint in self.endpoints:
            orders = [(at, holder) for at, holder in endpoint.orders if not any(0 <= at - resumed < RESUMED_SLACK for resumed in self.resumed)]
            for (before, first), (after, second) in zip(orders, orders[1:]):
                self.check(first == second or after - before >= ORDER_LEASE, f"{first} and {second} order {endpoint.identity} within {after - before:.2f} s")

    def check_workspaces(self):
        for endpoint in self.endpoints:
            for fields in endpoint.run_headers:
                identity, workspace = fields["X-Attempt-Id"], fields.get_all("X-Tenant")
                self.check(workspace == [self.workspaces.get(identity, "blue")], f"{identity} ran for {workspace}")
                self.check("Authorization" not in fields and not identity.startswith("revoked-"), f"{identity} reached an endpoint with or without its key")

    def check_duties(self):
        self.check(wait_until(lambda: self.platform.calls), "no usage was reported")
        windows = self.platform.usage()
        self.check(all(len(counts) == 1 for counts in windows.values()), f"a window was reported with different counts: {windows}")
        calls = [(token, holder, at) for _, holder, token, _, at in list(self.platform.calls) if not any(0 <= at - resumed < RESUMED_SLACK for resumed in self.resumed)]
        for (before, first, earlier), (after, second, later) in zip(calls, calls[1:]):
            self.check(before <= after, f"token {after} followed {before}")
            self.check(first == second or (before < after and later - earlier >= ORDER_LEASE), f"{first} and {second} call the platform within {later - earlier:.2f} s")

    def check_single_runs(self):
        runs = [identity for endpoint in self.endpoints for identity in endpoint.runs if identity.startswith("once-")]
        for identity, status in self.outcomes.items():
            count = runs.count(identity)
            self.check(count <= 1, f"{identity} ran {count} times")
            self.check(count == 0 or status not in (408, 421, 429, 503), f"{identity} was refused with {status} and ran")

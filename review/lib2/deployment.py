"""A small deployment of the project's own program as separate processes on loopback addresses, with stand-ins for the model
servers, the plain servers, the operator and the clients. Standard library only.

The nodes run the command of deploy/system.toml with the settings file that deploy/node.ini gives for the site vizitka-spolok."""
import base64
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "azurepaddle-node"
HOST = "callers.example"
MODEL = "m0"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def is_free(port, address):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_ports(count, addresses):
    """Ports that are free on all of these loopback addresses."""
    probes, ports = [], []
    while len(ports) < count:
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
        port = probe.getsockname()[1]
        if all(is_free(port, address) for address in addresses):
            ports.append(port)
    for probe in probes:
        probe.close()
    return ports


def call(port, method, path, body=None, headers=None, timeout=3.0, address="127.0.0.1"):
    """Status, body and header fields of the answer; status 0 if none comes within the timeout, in seconds."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


def wait_until(condition, seconds, pause=0.02):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(pause)
    return bool(condition())


class Deployment:
    """Store and entry nodes. The first three stores are the seeds."""

    def __init__(self, record, stores=3, entries=2):
        if not PROGRAM.exists():
            raise NotRun(f"{PROGRAM} is missing")
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="azurepaddle-review-")
        self.processes = {}
        self.store_ips = [f"127.0.0.{21 + number}" for number in range(stores)]
        self.entry_ips = [f"127.0.0.{41 + number}" for number in range(entries)]
        self.peer_port, self.control_port, self.front_port, self.ready_port = free_ports(4, self.store_ips + self.entry_ips)
        for number in range(stores):
            self.start_store(number, first_start=True)
        for number in range(entries):
            self.start_entry(number)

    def path(self, name):
        return pathlib.Path(self.folder.name) / name

    def settings(self, name, role, ip, memory, listen, zone, data, first_start):
        seeds = ",".join(f"{seed}:{self.control_port}" for seed in self.store_ips[:3])
        return f"""[node]
name = {name}
data_centre = {zone}
role = {role}
{data}
[listen]
{listen}
[peer]
address = {ip}
port = {self.peer_port}
seeds = {seeds}
secret = only-the-platforms-private-network
first_start = {'yes' if first_start else 'no'}

[bounds]
tolerated_losses = 1
order_lease = 3000ms
result_lifetime = 120s
stop_timeout = 8s
configuration_delay = 2000ms
memory = {memory}MiB
"""

    def start(self, name, text):
        path = self.path(f"{name}.ini")
        path.write_text(text)
        with open(self.path(f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen([str(PROGRAM), "--config", str(path)], cwd=ROOT, stdout=log, stderr=log)
        self.record(f"start {name}")

    def start_store(self, number, first_start=False):
        ip = self.store_ips[number]
        data = f"data_folder = {self.path(f'data{number}')}\n"
        self.start(f"store{number}", self.settings(f"store{number}", "store", ip, 320, f"control = {ip}:{self.control_port}\n", f"zone{number % 3}", data, first_start))

    def start_entry(self, number):
        ip = self.entry_ips[number]
        listen = f"callers = {ip}:{self.front_port}\nready = {ip}:{self.ready_port}\n"
        self.start(f"entry{number}", self.settings(f"entry{number}", "entry", ip, 260, listen, f"zone{number % 3}", "", False))

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def log_text(self, name):
        return self.path(f"{name}.log").read_text(errors="replace")

    def leader(self):
        """The number of the store that began to lead in the highest term, by its log."""
        newest = (0, None)
        for number in range(len(self.store_ips)):
            for line in self.log_text(f"store{number}").splitlines():
                if " leads in term " in line and line.rstrip().endswith("begin"):
                    term = int(line.split(" leads in term ")[1].split(":")[0])
                    newest = max(newest, (term, number))
        return newest[1]

    def entry_call(self, number, method, path, body=None, headers=None, timeout=3.0):
        return call(self.front_port, method, path, body, {"Host": HOST, **(headers or {})}, timeout, self.entry_ips[number])

    def control_call(self, method, path, body=None, timeout=1.0, stores=None):
        """Asks one store after the other, as all callers of control do."""
        for number in stores if stores is not None else range(len(self.store_ips)):
            status, data, _ = call(self.control_port, method, path, body, {"Content-Type": "application/json"}, timeout, self.store_ips[number])
            if 200 <= status < 500 and status not in (408, 429):
                return status, data
        return 0, b""

    def configure(self, document, seconds=20):
        text = json.dumps(document)
        if not wait_until(lambda: self.control_call("POST", "/-/config/replace", text)[0] == 200, seconds):
            raise NotRun("no configuration was accepted")
        self.record(f"configuration {document['version']} acknowledged")

    def wait_ready(self, seconds=20):
        def is_ready(ip):
            return call(self.ready_port, "GET", "/-/readyz", address=ip)[0] == 200
        if not wait_until(lambda: all(is_ready(ip) for ip in self.entry_ips), seconds):
            raise NotRun("the entries did not become ready")

    def close(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


def configuration(version, routes=None, **changes):
    """A configuration like that of the site: a plain route and a route for batch jobs."""
    plain = {"name": "r-plain", "host": HOST, "path-prefix": "/plain/", "route-type": "idempotent", "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2, "service": "desk", "max-attempts": 2}
    batch = {"name": "r-batch", "host": HOST, "path-prefix": "/batch/", "route-type": "rollout", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 1, "service": "models", "max-attempts": 3,
             "retention-s": 40.0, "due-ms": 7500, "single-version": False, "sticky": True, "resumable": True, **changes}
    services = [{"name": "models", "health-path": "/healthz", "max-connections": 150, "protocol": "h1", "tls": False, "engine": {"slots": 12, "kv-capacity": 95884, "models": [{"name": MODEL}]}},
                {"name": "desk", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": False}]
    limits = {"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    return {"version": version, "routes": routes if routes is not None else [plain, batch], "services": services, "limits": limits}


def job_body(step, min_version, items, groups, tokens_of=lambda item: 400):
    """The body of a batch job. Items are (id, group)."""
    requests = [{"id": item, "path": f"/batch/3/{item}", "headers": {"X-Model": MODEL, "X-Token-Usage": f"540,{tokens_of(item)}", "X-Prompt-Prefix": "9c2e41:300,5d07b8:240"},
                 "body": base64.b64encode(f"prompt of {item}".encode()).decode(), "token-count": 540 + tokens_of(item), "group": group} for item, group in items]
    return json.dumps({"step": step, "model": MODEL, "min-version": min_version, "group-count": groups, "requests": requests})


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments):
        self.open = set()
        super().__init__(*arguments)

    def handle_error(self, request, client_address):
        """Clients may break off at any time."""

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)


class Server:
    """A server of the pages: echoes X-Attempt-Id, refuses requests for another replica with 421, beats to control.

    A subclass answers requests in `run`. `runs` lists (seconds, id) of each request that it began to work on."""

    def __init__(self, deployment, identity, service, zone="zone0", slots=12, models=None):
        self.deployment, self.record = deployment, deployment.record
        self.identity, self.service, self.zone, self.slots = identity, service, zone, slots
        self.versions = dict(models or {})
        self.state, self.software, self.sequence = "ready", "v1", 0
        self.orders = []  # (seconds of the monotonic clock, holder, fence, version)
        self.runs = []
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.is_beating = True
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                if self.path == "/-/report":
                    return self.reply(200, json.dumps(server.report()).encode())
                self.reply(200, b"ok", {"X-Replica-Id": server.identity})

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("X-Expect-Replica", server.identity) != server.identity:
                    return self.reply(421, b"")
                if self.path == "/-/order":
                    return self.reply(server.order(json.loads(body)), b"")
                with server.lock:
                    server.runs.append((time.monotonic(), self.headers["X-Attempt-Id"]))
                server.run(self, body)

            def reply(self, status, body, headers=None):
                self.send_response(status)
                self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
                for name, value in (headers or {}).items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.http = HttpServer(("127.0.0.1", 0), Handler)
        self.port = self.http.server_address[1]
        self.address = f"127.0.0.1:{self.port}"  # Where others reach it.
        threading.Thread(target=self.http.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat_always, daemon=True).start()

    def run(self, handler, body):
        raise NotImplementedError

    def report(self):
        return {"stage": "both", "models": self.models(), "busy": False, "sequence": len(self.orders), "queued": 0, "running": 0, "kv-used": 0, "kv-total": 95884, "handles": 0}

    def models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.versions.items()]

    def order(self, order):
        with self.lock:
            if order.get("expect", len(self.orders)) != len(self.orders):
                return 409
            self.orders.append((time.monotonic(), order["holder"], order["fence"], order["version"]))
            self.versions[order["model"]] = order["version"]
        self.record(f"server {self.identity} order version={order['version']} holder={order['holder']} fence={order['fence']}")
        return 202

    def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software, "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                "stage": "both", "models": self.models(), "sequence": self.sequence, "born": self.born}
        return self.deployment.control_call("POST", f"/-/replicas/{self.identity}/heartbeat", json.dumps(body))[0] == 200

    def beat_always(self):
        while self.is_beating:
            self.beat()
            time.sleep(1.2)

    def crash(self):
        """Ends as a killed process does: nobody listens any more, and all connections are reset."""
        self.is_beating = False
        self.http.socket.close()
        for connection in list(self.http.open):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.is_beating = False
        self.http.shutdown()
        self.http.server_close()


class DeskServer(Server):
    """Answers plain requests after a short while."""

    def __init__(self, deployment, identity, zone="zone0", work=0.02):
        self.work = work
        super().__init__(deployment, identity, "desk", zone, slots=6)

    def run(self, handler, body):
        time.sleep(self.work)
        handler.reply(200, b"done " + body, {"X-Server-Stamp": f"stamp-{self.identity}"})


class ModelServer(Server):
    """Generates `events` events for each item, one each `pause` seconds on average, `burst` of them together."""

    def __init__(self, deployment, identity, zone="zone0", events=12, pause=0.05, version=1, burst=1):
        self.events, self.pause, self.burst = events, pause, burst
        super().__init__(deployment, identity, "models", zone, models={MODEL: version})

    def count_of(self, item):
        """The number of events of an item."""
        return self.events

    def text_of(self, item, number):
        return f"{item}-{number}"

    def slowness(self):
        """How many times as long work takes now."""
        return 1

    def run(self, handler, body):
        self.stream(handler)

    def stream(self, handler):
        item, first = handler.headers["X-Attempt-Id"], int(handler.headers.get("Last-Event-Id", 0)) + 1
        version = self.versions[MODEL]
        self.record(f"server {self.identity} runs item={item} after={first - 1} version={version}")
        handler.send_response(200)
        handler.send_header("X-Attempt-Id", item)
        handler.send_header("X-Server-Stamp", f"stamp-{self.identity}-{item}")
        handler.send_header("X-Weight-Versions", str(version))
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        last, chunk = self.count_of(item), b""
        try:
            for number in range(first, last + 1):
                if (number - first) % self.burst == 0:
                    time.sleep(self.pause * self.burst * self.slowness())
                mark = ""
                if self.versions[MODEL] != version:
                    version = self.versions[MODEL]
                    mark = f"x-weight-versions: {version}\n"
                chunk += f"{mark}id: {number}\ndata: {self.text_of(item, number)}\n\n".encode()
                if (number - first) % self.burst == self.burst - 1 or number == last:
                    handler.wfile.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
                    chunk = b""
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True


def finish(record, deployment, servers, verdict, text):
    record(text)
    for server in servers:
        server.close()
    if deployment:
        deployment.close()
    record(f"exit {verdict}")
    print(text)
    return verdict

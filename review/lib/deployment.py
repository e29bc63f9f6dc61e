"""A small deployment on loopback addresses: nodes of this project, started as the deploy file says, with stand-ins for
model endpoints, plain endpoints and clients. Used by the scripts of review/.

Each machine has a loopback address of its own, so that ports are the same on all machines. Everything runs on the real
clock. All processes are ended by their process ids.
"""
import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "callers.example"
MODEL = "m"
MAX_RUN_S = 117


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: one line for everything that was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now() - self.start:8.3f} {text}\n")
                self.file.flush()


def render(template, fields):
    """Fills in the template of the settings, as the pages on the deploy file describe it."""
    def value(name):
        found = fields.get(name, "")
        return found if isinstance(found, str) else str(found)

    def section(match):
        kind, name, body = match[1], match[2], match[3]
        is_set = fields.get(name) not in (None, "", False)
        return body if is_set == (kind == "#") else ""
    text = re.sub(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: value(match[1]), text)


def free_ports(count, ip):
    sockets = []
    try:
        while len(sockets) < count:
            probe = socket.socket()
            try:
                probe.bind((ip, random.randrange(12000, 30000)))
                sockets.append(probe)
            except OSError:
                probe.close()
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def request(ip, port, method, path, body=None, headers=None, timeout=5.0):
    """Status, headers and body of one call on a new connection; status 0 without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def wait_until(condition, seconds=30.0, pause=0.05):
    end = now() + seconds
    while now() < end:
        if condition():
            return True
        time.sleep(pause)
    return False


class CannotRun(Exception):
    """The case could not be played."""


class Links:
    """Proxies in front of the internal port of each node. They know by the process that owns a connection which node it
    comes from, and hold back what passes between nodes that are cut off from each other."""

    chunk = 65536

    def __init__(self, platform):
        self.platform = platform
        self.is_cut = lambda source, target: False
        self.listeners = []

    def open(self, node):
        listener = socket.create_server((node.ip, self.platform.internal_port), backlog=64)
        self.listeners.append(listener)
        threading.Thread(target=self.accept, args=(listener, node), daemon=True).start()

    def accept(self, listener, target):
        while True:
            try:
                client, address = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(client, address[1], target), daemon=True).start()

    def connect(self, client, port, target):
        source = self.owner(port)
        while self.is_cut(source, target):
            time.sleep(0.01)
        try:
            server = socket.create_connection((target.ip, self.platform.listen_port), timeout=1)
            server.settimeout(None)
        except OSError:
            return client.close()
        threading.Thread(target=self.pump, args=(client, server, source, target), daemon=True).start()
        self.pump(server, client, target, source)

    def owner(self, port):
        """The node whose process owns the socket with this port; None for another process."""
        for line in open("/proc/net/tcp", encoding="ascii"):
            fields = line.split()
            if not fields[1].endswith(f":{port:04X}"):
                continue
            for node in self.platform.stores + self.platform.entries:
                folder = f"/proc/{node.process.pid}/fd" if node.process else ""
                try:
                    if any(os.readlink(f"{folder}/{name}") == f"socket:[{fields[9]}]" for name in os.listdir(folder)):
                        return node
                except OSError:
                    pass
        return None

    def pump(self, source, sink, sender, receiver):
        process = sender.process if sender else None
        try:
            while data := source.recv(self.chunk):
                while self.is_cut(sender, receiver):
                    time.sleep(0.005)
                    if process and process.poll() is not None:
                        raise OSError  # Held bytes are lost if their sender loses power.
                sink.sendall(data)
        except OSError:
            pass
        for connection in (source, sink):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        for listener in self.listeners:
            listener.close()


class Node:
    """One machine of the system."""

    def __init__(self, platform, name, role, ip, zone):
        self.platform, self.name, self.role, self.ip, self.zone = platform, name, role, ip, zone
        self.process = None
        self.settings = platform.folder / f"{name}.conf"
        self.data = platform.folder / f"data-{name}"

    def start(self, bootstrap=False):
        platform = self.platform
        fields = {"node-name": self.name, "role": self.role, "zone": self.zone, "ip": self.ip, "seed-nodes": ",".join(platform.seeds), "bootstrap": bootstrap,
                  "internal-ports.0": platform.internal_port, "fault-tolerance.machines": 1, "bounds.lease-ms": 3000, "bounds.status-s": 120, "bounds.grace-s": 8,
                  "bounds.config-apply-ms": 2000, "limits.memory-mb": platform.memory_mb}
        if self.role == "store":
            fields |= {"data-dir": str(self.data), "listen.control-plane": f"{self.ip}:{platform.control_port}"}
        else:
            fields |= {"listen.frontend": f"{self.ip}:{platform.front_port}", "listen.ready": f"{self.ip}:{platform.ready_port}"}
        text = render((ROOT / "deploy/node.ini").read_text(), fields)
        if platform.links:  # A proxy listens on the internal port and passes connections on.
            text = text.replace(f"port = {platform.internal_port}\n", f"port = {platform.internal_port}\nlisten_port = {platform.listen_port}\n")
        self.settings.write_text(text)
        log = open(platform.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([ROOT / "target/azurepaddle-node", "--config", self.settings], cwd=ROOT, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        return request(self.ip, self.platform.ready_port, "GET", "/-/readyz", timeout=1)[0] == 200

    def log_text(self):
        return (self.platform.folder / f"{self.name}.log").read_text(errors="replace")


class Platform:
    """The machines, and the calls of operators, trainers and clients."""

    opened = []

    def __init__(self, record, stores=3, entries=2, with_links=False, memory_mb=280):
        self.record = record
        if not (ROOT / "target/azurepaddle-node").exists():
            raise CannotRun("target/azurepaddle-node is missing: build the deploy file first")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        network = random.randrange(1, 250)
        base = f"127.{random.randrange(20, 250)}.{network}"
        self.control_port, self.front_port, self.ready_port, self.internal_port, self.listen_port = free_ports(5, f"{base}.1")
        self.stores = [Node(self, f"storage-{n}", "store", f"{base}.{10 + n}", f"z{n % 3}") for n in range(stores)]
        self.entries = [Node(self, f"edge-{n}", "entry", f"{base}.{100 + n}", f"z{n % 3}") for n in range(entries)]
        self.seeds = [f"{node.ip}:{self.control_port}" for node in self.stores[:3]]
        self.endpoints = []
        self.memory_mb = memory_mb
        Platform.opened.append(self)
        self.links = Links(self) if with_links else None
        for node in (self.stores + self.entries) if with_links else []:
            self.links.open(node)

    def start(self):
        for node in self.stores + self.entries:
            node.start(bootstrap=True)

    def end_processes(self):
        for node in self.stores + self.entries:
            if node.process and node.process.poll() is None:
                node.signal(signal.SIGCONT)
                node.kill()

    def trace(self, pattern):
        """Copies lines of the nodes' logs into the record, in order of time."""
        lines = [(line, node.name) for node in self.stores + self.entries for line in node.log_text().splitlines() if re.search(pattern, line)]
        for line, name in sorted(lines):
            self.record(f"log of {name}: {line}")

    def close(self):
        for endpoint in self.endpoints:
            endpoint.close()
        self.end_processes()
        if self.links:
            self.links.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls to control. A caller moves on to another node after a failure.

    def control(self, method, path, body=None, seconds=20.0, timeout=1.0):
        """Status and body of the first clear answer; status 0 if there is none in time."""
        end = now() + seconds
        nodes = list(self.stores)
        pause = 0.1
        while now() < end:
            random.shuffle(nodes)
            for node in nodes:
                status, _, data = request(node.ip, self.control_port, method, path, body, timeout=timeout)
                if status in range(200, 500) and status not in (408, 429):
                    return status, data
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return 0, b""

    def configure(self, document, seconds=20.0):
        status, _ = self.control("POST", "/-/config/replace", json.dumps(document), seconds)
        self.record(f"operator configuration version={document['version']} answered={status}")
        return status == 200

    def name_version(self, version, seconds=20.0):
        status, _ = self.control("POST", "/-/version-put", json.dumps({"model": MODEL, "version": version}), seconds)
        self.record(f"trainer version-put {version} answered={status}")
        return status == 200

    def leader(self):
        """The store that, by its log, leads; None if none does."""
        best = None
        for node in self.stores:
            for line in node.log_text().splitlines():
                found = re.search(r" leads in term (\d+): (begin|end)", line)
                if found and (best is None or int(found[1]) >= best[0]):
                    best = (int(found[1]), node if found[2] == "begin" else None)
        return best[1] if best else None


def configuration(version, **changes):
    """Routes and services of a small deployment."""
    batch = {"name": "b", "host": HOST, "path-prefix": "/batch/", "route-type": "rollout", "timeout-ms": 10000, "target-latency-ms": 500, "priority": 1, "service": "models",
             "max-attempts": 3, "retention-s": 40.0, "due-ms": 7500, "single-version": False, "sticky": True, "resumable": True}
    plain = {"name": "p", "host": HOST, "path-prefix": "/plain/", "route-type": "idempotent", "timeout-ms": 3000, "target-latency-ms": 150, "priority": 2, "service": "plain", "max-attempts": 2}
    once = plain | {"name": "o", "path-prefix": "/once/", "route-type": "non_idempotent"}
    stream = {"name": "s", "host": HOST, "path-prefix": "/stream/", "route-type": "streaming", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 1, "service": "models",
              "max-attempts": 3, "sticky": True, "resumable": True}
    routes = [route | changes.get(route["name"], {}) for route in (batch, plain, once, stream)]
    models = {"name": "models", "health-path": "/healthz", "max-connections": 180, "protocol": "h1", "tls": False,
              "engine": {"slots": 4, "kv-capacity": 90000, "kv-bytes": 163840, "link-mbps": 1100000.0, "moves": False, "backups": False, "stride": 56, "most": 12, "models": [{"name": MODEL}]}}
    other = {"name": "plain", "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": False}
    return {"version": version, "routes": routes, "services": [models, other],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *arguments):
        """The other side may break off at any time."""


class Endpoint:
    """A model endpoint or a plain endpoint, as the pages describe it: it registers by heartbeats, has slots, refuses what
    names another endpoint, streams numbered events of items, names the weight version of its events and loads a version
    on an order, during which its runs pause and new requests are refused as not executed."""

    load_s = 0.9

    def __init__(self, platform, service, ip, slots=4, events=25, pause=0.04, software="v1", version=1, zone="z0"):
        self.platform, self.record, self.service, self.slots = platform, platform.record, service, slots
        self.events, self.pause, self.software, self.version, self.zone = events, pause, software, version, zone
        self.lock = threading.Condition()
        self.running = {}  # Attempt to the number of its runs in progress.
        self.runs = []  # (time, attempt, path, body)
        self.orders = []  # (time, holder, fence, version) of each accepted order
        self.sequence = 0
        self.is_busy = False
        self.state = "ready"
        self.beats_on = True
        self.is_closed = False
        self.plain_pause = 0.02
        self.limit = None  # Text of the field Server-Limit in all answers; none if it names no limit.
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                if self.path.startswith("/-/report"):
                    body = {"stage": "both", "models": [{"name": MODEL, "version": endpoint.version, "adapters": []}], "busy": endpoint.is_busy, "sequence": len(endpoint.orders),
                            "queued": 0, "running": len(endpoint.running), "kv-used": 0, "kv-total": 90000, "handles": 0}
                    return self.answer(200, json.dumps(body).encode())
                if self.path.startswith("/healthz"):
                    return self.answer(200 if endpoint.state == "ready" else 503, b"")
                self.run_request(b"")

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("X-Expect-Replica", endpoint.id) != endpoint.id:
                    return self.answer(421, b"")
                if self.path == "/-/order":
                    return self.answer(endpoint.order(json.loads(body)), b"")
                self.run_request(body)

            def run_request(self, body):
                attempt = self.headers.get("X-Attempt-Id", "")
                refusal = endpoint.begin(attempt, self.path, body, self.headers)
                if refusal:
                    endpoint.record(f"{endpoint.id} refuses {attempt} as not executed: {refusal}")
                    return self.answer(503, b"", [("X-Not-Executed", "1")])
                try:
                    endpoint.serve(self, attempt, body)
                except OSError:
                    self.close_connection = True
                finally:
                    endpoint.end(attempt)

            def answer(self, status, body, fields=()):
                self.send_response(status)
                attempt = self.headers.get("X-Attempt-Id")
                if attempt:
                    self.send_header("X-Attempt-Id", attempt)
                for name, value in fields:
                    self.send_header(name, value)
                if endpoint.limit is not None:
                    self.send_header("Server-Limit", endpoint.limit)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.server = Server((ip, 0), Handler)
        self.ip, self.port = self.server.server_address[:2]
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.ip}-{self.port}"
        platform.endpoints.append(self)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.beat_forever, daemon=True).start()

    def begin(self, attempt, path, body, headers):
        with self.lock:
            if self.is_busy:
                return "loading"
            if sum(self.running.values()) >= self.slots:
                return "full"
            self.running[attempt] = self.running.get(attempt, 0) + 1
            self.runs.append((now(), attempt, path, body))
        self.record(f"{self.id} runs {attempt} path={path} last-event={headers.get('Last-Event-Id', '-')} version={self.version}")
        return None

    def end(self, attempt):
        with self.lock:
            self.running[attempt] -= 1
            if not self.running[attempt]:
                del self.running[attempt]

    def serve(self, handler, attempt, body):
        if self.service == "plain":
            time.sleep(self.plain_pause)
            handler.answer(200, b"echo " + body, [("X-Server-Stamp", f"stamp.{self.id}.{attempt}")])
            return self.record(f"{self.id} answered {attempt} with 200")
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        named = self.version
        handler.send_response(200)
        handler.send_header("X-Attempt-Id", attempt)
        handler.send_header("X-Server-Stamp", f"stamp.{self.id}.{attempt}")
        handler.send_header("X-Weight-Versions", str(named))
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, self.events + 1):
            self.wait(handler.connection, self.pause)
            version = self.version
            note = f"x-weight-versions: {version}\n" if version != named else ""
            named = version
            event = f"{note}id: {number}\ndata: {attempt}/{number}/v{version}/{self.software}\n\n".encode()
            handler.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        handler.wfile.write(b"0\r\n\r\n")
        self.record(f"{self.id} made the last event of {attempt}")

    def wait(self, connection, seconds):
        """Works for a time, longer while a version loads. A run ends when its connection closes."""
        end = now() + seconds
        while now() < end or self.is_busy:
            time.sleep(min(0.01, seconds))
            connection.setblocking(False)
            try:
                if connection.recv(1, socket.MSG_PEEK) == b"":
                    raise ConnectionError
            except BlockingIOError:
                pass
            finally:
                connection.setblocking(True)

    def order(self, order):
        with self.lock:
            if self.is_busy or order.get("expect", len(self.orders)) != len(self.orders):
                return 409
            if order["version"] <= self.version:
                return 200
            self.is_busy = True
            self.orders.append((now(), order["holder"], order["fence"], order["version"]))
        self.record(f"{self.id} takes order version={order['version']} holder={order['holder']} fence={order['fence']}")
        threading.Timer(self.load_s, self.loaded, (order["version"],)).start()
        return 202

    def loaded(self, version):
        with self.lock:
            self.version = version
            self.is_busy = False
        self.record(f"{self.id} holds version {version}")

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": self.software, "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                           "stage": "both", "models": [{"name": MODEL, "version": self.version, "adapters": []}] if self.service == "models" else [], "sequence": self.sequence, "born": self.born})

    def beat(self):
        nodes = list(self.platform.stores)
        random.shuffle(nodes)
        for node in nodes:
            if request(node.ip, self.platform.control_port, "POST", f"/-/replicas/{self.id}/heartbeat", self.heartbeat(), timeout=1)[0] in range(200, 300):
                return True
        return False

    def beat_forever(self):
        while not self.is_closed:
            if self.beats_on:
                self.beat()
            time.sleep(1.2 if self.sequence > 3 else 0.4)

    def close(self):
        self.is_closed = True
        self.server.shutdown()
        self.server.server_close()


class Trainer:
    """Submits batch jobs, reads and ends them, at any entry."""

    def __init__(self, platform):
        self.platform, self.record = platform, platform.record

    def submit(self, job, step, items, min_version, seconds=15.0):
        requests = [{"id": item, "path": "/batch/1", "headers": {"X-Model": MODEL, "X-Token-Usage": "16,1400"}, "body": base64.b64encode(item.encode()).decode(), "token-count": 1416, "group": group}
                    for item, group in items]
        body = json.dumps({"step": step, "model": MODEL, "min-version": min_version, "group-count": 1, "requests": requests})
        return self.repeat(f"submits {job} min-version={min_version} items={','.join(item for item, _ in items)}", "POST", "/batch/job", body, {"X-Attempt-Id": job}, (202,), seconds)[0] == 202

    def end(self, job, tries):
        """Ends a job; gives up after some tries."""
        return self.repeat(f"ends {job}", "DELETE", f"/-/lots/{job}", None, {}, (200,), 60, tries)[0] == 200

    def read(self, job, after=0, tries=3):
        status, data = self.repeat(f"reads {job} after={after}", "GET", f"/-/lots/{job}?after={after}", None, {}, (200, 404), 10, tries)
        return status, json.loads(data) if status == 200 else None

    def repeat(self, what, method, path, body, headers, final, seconds, tries=100):
        end = now() + seconds
        status, data = 0, b""
        for number in range(tries):
            entry = self.platform.entries[number % len(self.platform.entries)]
            status, _, data = request(entry.ip, self.platform.front_port, method, path, body, {"Host": HOST, "Content-Type": "application/json", "X-Deadline-Ms": "2500"} | headers, timeout=2.6)
            self.record(f"trainer {what} at {entry.name}: {status}")
            if status in final or now() > end:
                break
            time.sleep(0.2)
        return status, data


def end_all():
    """Ends every process of this case."""
    for platform in Platform.opened:
        platform.end_processes()
        shutil.rmtree(platform.folder, ignore_errors=True)


def give_up(reason):
    print(f"could not run: {reason}", flush=True)
    end_all()
    os._exit(2)


def play(folder, case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    watchdog = threading.Timer(MAX_RUN_S, give_up, ("it takes too long",))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: give_up("it was ended"))
    try:
        broken = case(record, trouble)
    except BaseException as error:  # Whatever else happens is no result.
        record(f"could not run: {error!r}")
        give_up(repr(error))
    for line in broken:
        record(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record(f"result: {'broken' if broken else 'held'}, trouble={'yes' if trouble else 'no'}")
    print("broken" if broken else "held", flush=True)
    os._exit(1 if broken else 0)

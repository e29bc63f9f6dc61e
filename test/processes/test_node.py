"""The nodes that run on a platform, as separate processes: three stores, one entry, and endpoints of the test's own."""
import base64
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

BUILD = pathlib.Path(os.environ.get("AZUREPADDLE_BUILD", "build"))
BOUND = 30  # Seconds after which something counts as not happening.
HOST = "callers.example"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition):
    end = time.monotonic() + BOUND
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


def call(port, method, path, body=None, headers=None):
    """Status and body; status 0 if nobody answers."""
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        connection.close()
        return response.status, data
    except OSError:
        return 0, b""


class Endpoint:
    """A model endpoint that generates three events for each item, slowly, and answers plain requests at once."""

    def __init__(self, service, pause=0.02, events=3):
        self.runs = []
        self.version = 1
        self.lock = threading.Lock()
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                body = json.dumps({"models": [{"name": "m", "version": endpoint.version}], "busy": False, "sequence": 0}).encode()
                self.reply(200, body)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path == "/-/order":
                    endpoint.version = json.loads(body)["version"]
                    return self.reply(202, b"")
                with endpoint.lock:
                    endpoint.runs.append(self.headers["X-Attempt-Id"])
                if self.path.startswith("/plain/"):
                    return self.reply(200, b"echo " + body)
                self.stream()

            def reply(self, status, body):
                self.send_response(status)
                self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def stream(self):
                self.send_response(200)
                self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
                self.send_header("X-Weight-Versions", str(endpoint.version))
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                try:
                    for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, events + 1):
                        event = f"id: {number}\ndata: {self.headers['X-Attempt-Id']}-{number}\n\n".encode()
                        self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                        time.sleep(pause)
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:
                    self.close_connection = True

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        self.identity = f"i-{self.port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.service = service
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def beat(self, control_ports, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "a", "version": "v1", "slots": 4, "state": state,
                "models": [{"name": "m", "version": self.version, "adapters": []}], "sequence": self.sequence, "born": self.born}
        return any(call(port, "POST", f"/-/replicas/{self.identity}/heartbeat", json.dumps(body))[0] == 200 for port in control_ports)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class NodeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.stores = {}
        self.peer_ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]  # All nodes share one peer port, so each has an address of its own.
        self.peer_port = free_port()
        self.control_ports = [free_port() for _ in self.peer_ips]
        self.entry_port = free_port()
        self.ready_port = free_port()
        for number in range(len(self.peer_ips)):
            self.start_store(number, first_start=True)
        self.entry = self.start("entry", f"role = entry\n[listen]\ncallers = 127.0.0.1:{self.entry_port}\nready = 127.0.0.1:{self.ready_port}\n", "127.0.0.1", False)
        self.models = Endpoint("models")
        self.plain = Endpoint("plain")
        self.assertTrue(wait_until(lambda: self.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: call(self.ready_port, "GET", "/-/readyz")[0] == 200))
        self.assertTrue(wait_until(lambda: self.models.beat(self.control_ports) and self.plain.beat(self.control_ports)))

    def tearDown(self):
        for process in [self.entry, *self.stores.values()]:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.models.close()
        self.plain.close()
        self.folder.cleanup()

    def start(self, name, node, ip, first_start):
        seeds = ",".join(f"{address}:1" for address in self.peer_ips)
        path = pathlib.Path(self.folder.name) / f"{name}.ini"
        path.write_text(f"[node]\nname = {name}\ndata_centre = a\n{node}[peer]\naddress = {ip}\nport = {self.peer_port}\nseeds = {seeds}\n"
                        f"secret = a-secret-of-this-test\nfirst_start = {'yes' if first_start else 'no'}\n")
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        process = subprocess.Popen([BUILD / "azurepaddle-node", "--config", path], stdout=log, stderr=log)
        log.close()
        return process

    def start_store(self, number, first_start=False):
        node = f"role = store\ndata_folder = {self.folder.name}/data{number}\n[listen]\ncontrol = 127.0.0.1:{self.control_ports[number]}\n"
        self.stores[number] = self.start(f"store{number}", node, self.peer_ips[number], first_start)

    def on_control(self, method, path, body=None):
        for port in self.control_ports:
            status, data = call(port, method, path, body)
            if status in range(200, 500):
                return status, data
        return 0, b""

    def put_configuration(self, version, service="plain"):
        routes = [{"name": "p", "host": HOST, "path-prefix": "/plain/", "route-type": "idempotent", "timeout-ms": 3000, "service": service, "max-attempts": 2},
                  {"name": "b", "host": HOST, "path-prefix": "/batch/", "route-type": "rollout", "timeout-ms": 9000, "due-ms": 7000, "retention-s": 40, "service": "models", "max-attempts": 3}]
        services = [{"name": "plain"}, {"name": "models", "engine": {"models": [{"name": "m"}]}}]
        return self.on_control("POST", "/-/config/replace", json.dumps({"version": version, "routes": routes, "services": services}))[0]

    def submit(self, job, items, min_version=1):
        requests = [{"id": item, "path": "/batch/1", "headers": {}, "body": base64.b64encode(item.encode()).decode(), "token-count": 5, "group": "g"} for item in items]
        body = json.dumps({"step": 0, "model": "m", "min-version": min_version, "group-count": 1, "requests": requests})
        return call(self.entry_port, "POST", "/batch/x", body, {"Host": HOST, "X-Attempt-Id": job})[0]

    def results(self, job):
        status, data = call(self.entry_port, "GET", f"/-/lots/{job}?after=0", None, {"Host": HOST})
        return json.loads(data)["results"] if status == 200 else None

    def leader(self):
        """The store whose log says that it leads last."""
        leading = {}
        for number in self.stores:
            for line in (pathlib.Path(self.folder.name) / f"store{number}.log").read_text().splitlines():
                if " leads in term " in line:
                    term = int(line.split(" leads in term ")[1].split(":")[0])
                    leading[number] = (term, line.endswith("begin"))
        best = [number for number, (term, begins) in leading.items() if begins]
        return max(best, key=lambda number: leading[number][0])

    # Guards against a plain request that does not reach its service, or whose answer changes.
    def test_plain_request_forwarded_is_answered_whole(self):
        def answered():
            status, data = call(self.entry_port, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})
            return status == 200 and data == b"echo hello"
        self.assertTrue(wait_until(answered))
        self.assertEqual(call(self.entry_port, "GET", "/nowhere", None, {"Host": HOST})[0], 404)

    # Guards against an accepted batch job or a listed result that is lost with the leader.
    def test_leader_killed_during_job_results_come_whole(self):
        self.models.close()
        self.models = Endpoint("models", pause=0.1, events=10)
        self.assertTrue(self.models.beat(self.control_ports))
        items = [f"item{number}" for number in range(12)]
        self.assertTrue(wait_until(lambda: self.submit("job", items) == 202))
        self.assertTrue(wait_until(lambda: (self.results("job") or []) != []))
        before = self.results("job")
        number = self.leader()
        os.kill(self.stores[number].pid, signal.SIGKILL)
        self.stores[number].wait()
        self.assertTrue(wait_until(lambda: self.models.beat(self.control_ports)))
        self.assertTrue(wait_until(lambda: len(self.results("job") or []) == len(items)))
        results = self.results("job")
        self.assertEqual(results[:len(before)], before)
        self.assertEqual(sorted(result["id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["output"].split("\n"), [f"{result['id']}-{event}" for event in range(1, 11)])
            self.assertEqual(result["versions"], [1])
        self.assertEqual(self.submit("job", items), 202)
        self.assertEqual(len(self.results("job")), len(items))

    # Guards against state that does not survive the end of all processes at once.
    def test_all_stores_killed_and_started_keep_configuration_and_results(self):
        self.assertTrue(wait_until(lambda: self.submit("job", ["a", "b"]) == 202))
        self.assertTrue(wait_until(lambda: len(self.results("job") or []) == 2))
        self.assertEqual(self.put_configuration(5), 200)
        before = self.results("job")
        for process in self.stores.values():
            process.kill()
            process.wait()
        for number in range(len(self.peer_ips)):
            self.start_store(number)
        self.assertTrue(wait_until(lambda: self.results("job") == before))
        status, data = self.on_control("GET", "/-/config/read")
        self.assertEqual((status, json.loads(data)["version"]), (200, 5))
        self.assertEqual(self.put_configuration(4), 200)
        self.assertEqual(json.loads(self.on_control("GET", "/-/config/read")[1])["version"], 5)

    # Guards against items that go on with weights older than their trainer allows.
    def test_version_named_items_wait_for_it(self):
        self.assertTrue(wait_until(lambda: self.submit("job", ["a"], min_version=2) == 202))
        self.assertEqual(self.results("job"), [])
        self.assertEqual(self.on_control("POST", "/-/version-put", json.dumps({"model": "m", "version": 2}))[0], 200)
        self.assertTrue(wait_until(lambda: len(self.results("job") or []) == 1))
        self.assertEqual(self.results("job")[0]["versions"], [2])

    # Guards against bad input that changes something or gets an unclear answer.
    def test_bad_input_refused_clearly_and_changes_nothing(self):
        self.assertEqual(self.on_control("POST", "/-/config/replace", "{")[0], 400)
        self.assertEqual(self.put_configuration(9, service="unknown"), 400)
        self.assertEqual(self.on_control("POST", "/-/version-put", "{}")[0], 400)
        self.assertEqual(self.on_control("POST", "/-/retire/nobody/begin", "{}")[0], 404)
        self.assertEqual(self.on_control("POST", "/-/retire/store1/begin", "{}")[0], 409)
        self.assertEqual(call(self.entry_port, "POST", "/batch/x", "{}", {"Host": HOST, "X-Attempt-Id": "j"})[0], 400)
        self.assertEqual(call(self.entry_port, "GET", "/-/lots/unknown", None, {"Host": HOST})[0], 404)
        self.assertEqual(json.loads(self.on_control("GET", "/-/config/read")[1])["version"], 1)

    # Guards against a planned stop of an entry that cuts off a request in progress.
    def test_entry_stopped_request_in_progress_is_answered(self):
        with socket.create_connection(("127.0.0.1", self.entry_port)) as connection:
            connection.sendall(b"GET /-/lots/none HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b" 404 ", connection.recv(4096))
            os.kill(self.entry.pid, signal.SIGTERM)
            self.assertTrue(wait_until(lambda: call(self.ready_port, "GET", "/-/readyz")[0] == 503))
            connection.sendall(b"GET /-/lots/none HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = connection.recv(4096)
            self.assertIn(b" 404 ", answer)
            self.assertIn(b"Connection: close", answer)
        self.assertEqual(self.entry.wait(BOUND), 0)


if __name__ == "__main__":
    unittest.main()

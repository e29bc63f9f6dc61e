"""Orders of endpoints at a platform by nodes that run as separate processes."""
import http.server
import json
import threading
import time
import unittest

from harness import free_ports, skip_known_red
from nodes import Deployment, Endpoint, Server, configuration, wait_until

SCALING = {"min-replicas": 2, "max-replicas": 4, "boot-s": 1.0, "spot-price": 0.2, "zone-prices": {"a": 1.0}}
MAXIMUM = 16  # Endpoints in a data centre, more than the work needs, so that there is room for replacements while others leave.
WORK_INTERVAL = 2  # Seconds between jobs, whose items together take an endpoint about 10 s.


class Platform:
    """Accepts orders of endpoints and keeps them. Nothing is started for them unless it has a fleet."""

    def __init__(self, port, fleet=None):
        self.port = port
        self.fleet = fleet
        self.orders = []  # (holder, fencing token, body) of each order.
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))))
                platform.orders.append((self.headers["X-Duty-Holder"], int(self.headers["X-Fencing-Token"]), body))
                if platform.fleet:
                    platform.fleet.set_count(body["zone"], body.get("spot", False), body["group-count"])
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.handler = Handler
        self.server = None

    def start(self):
        self.server = Server(("127.0.0.1", self.port), self.handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        if self.server:
            self.server.shutdown()
            self.server.server_close()


class Fleet:
    """Endpoints in groups of a data centre and a kind, which send heartbeats. New ones serve after a second."""

    def __init__(self):
        self.groups = {}  # Endpoints by (data centre, whether spot).
        self.leaving = set()  # Groups that are being withdrawn.
        self.lock = threading.Lock()
        self.control_ports = []
        self.is_closed = threading.Event()

    def set_count(self, zone, is_spot, count):
        with self.lock:
            group = self.groups.setdefault((zone, is_spot), [])
            while len(group) < count:
                endpoint = Endpoint("models", pause=0.3, events=8)
                endpoint.zone, endpoint.is_spot, endpoint.serves_from = zone, is_spot, time.monotonic() + 1
                group.append(endpoint)

    def start(self, control_ports):
        self.control_ports = control_ports
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.is_closed.wait(0.2):
            with self.lock:
                for key, group in self.groups.items():
                    for endpoint in group:
                        if endpoint.serves_from > time.monotonic():
                            continue
                        if key in self.leaving:
                            endpoint.beat(self.control_ports, "draining", 2300)
                        else:
                            endpoint.beat(self.control_ports)

    def close(self):
        self.is_closed.set()
        with self.lock:
            for group in self.groups.values():
                for endpoint in group:
                    endpoint.close()


class ScalingTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.platform = Platform(free_ports(1)[0], self.fleet)
        self.addCleanup(self.platform.close)
        self.nodes = Deployment(settings=f"[duties]\naddress = 127.0.0.1:{self.platform.port}\nkinds = scale\n")
        self.addCleanup(self.nodes.close)
        self.endpoint = Endpoint("models")
        self.addCleanup(self.endpoint.close)
        self.fleet.start(self.nodes.control_ports)

    def put(self, version, scaling):
        changed = configuration(version)
        if scaling:
            next(service for service in changed["services"] if service["name"] == "models")["scaling"] = scaling
        return self.nodes.on_control("POST", "/-/config/replace", json.dumps(changed))[0]

    def unanswered_of(self, number):
        return [line for line in self.nodes.log_text(f"store{number}").splitlines() if " order service=" in line and "outcome=unanswered" in line]

    # Guards against an order that is lost when its holder fails after recording it, and against a next holder that orders
    # another number or sends it with a token that is not higher.
    def test_holder_fails_before_its_order_arrives_next_one_sends_the_same_number(self):
        self.assertTrue(wait_until(lambda: self.put(1, SCALING) == 200))
        self.assertTrue(wait_until(lambda: self.endpoint.beat(self.nodes.control_ports)))
        # The platform does not run yet, so the first holder records its order and cannot deliver it.
        self.assertTrue(wait_until(lambda: any(self.unanswered_of(number) for number in self.nodes.stores)))
        first = self.nodes.leader()
        fences = [int(line.split("claims the order right fence=")[1].split()[0]) for line in self.nodes.log_text(f"store{first}").splitlines() if "claims the order right" in line]
        self.nodes.stores[first].kill()
        self.nodes.stores[first].wait()
        self.platform.start()
        self.assertTrue(wait_until(lambda: self.platform.orders))
        holder, token, body = self.platform.orders[0]
        self.assertEqual(body, {"service": "models", "zone": "a", "group-count": 2})
        self.assertNotEqual(holder, f"store{first}")
        self.assertGreater(token, max(fences))

    def work_until(self, condition):
        """Submits jobs that one endpoint cannot end in time until the condition holds."""
        def submit_and_check():
            self.jobs += 1
            self.nodes.submit(f"job{self.jobs}", [f"i{self.jobs}-{number}" for number in range(16)], tokens=3000)
            time.sleep(WORK_INTERVAL)
            return condition()
        self.assertTrue(wait_until(submit_and_check))

    # Guards against work that waits although endpoints could be ordered for it, against spot endpoints ordered while they
    # are withdrawn, and against numbers outside the limits.
    def test_work_cannot_end_in_time_endpoints_are_ordered_and_replaced_on_demand(self):
        self.jobs = 0
        self.platform.start()
        self.fleet.set_count("a", False, 1)
        rules = {"min-replicas": 0, "max-replicas": MAXIMUM, "boot-s": 1.0, "spot-price": 0.2, "zone-prices": {"a": 1.0, "b": 1.0}}
        self.assertTrue(wait_until(lambda: self.put(1, rules) == 200))
        self.work_until(lambda: any(body.get("spot") for _, _, body in self.platform.orders))
        with self.fleet.lock:
            ordered = [endpoint for key, group in self.fleet.groups.items() if key != ("a", False) for endpoint in group]
            withdrawn = next(key for key, group in self.fleet.groups.items() if key[1] and group)
        self.work_until(lambda: any(endpoint.runs for endpoint in ordered))
        before = len(self.platform.orders)
        with self.fleet.lock:
            self.fleet.leaving.add(withdrawn)
        time.sleep(1)  # Until the heartbeats that announce it have arrived.
        announced = len(self.platform.orders)
        self.work_until(lambda: any("spot" not in body for _, _, body in self.platform.orders[before:]))
        time.sleep(1)
        for _, _, body in self.platform.orders[announced:]:
            self.assertNotIn("spot", body)
        for _, _, body in self.platform.orders:
            self.assertLessEqual(body["group-count"], MAXIMUM)

    # Guards against orders for a service without scaling rules.
    def test_without_scaling_nothing_is_ordered(self):
        self.platform.start()
        self.assertTrue(wait_until(lambda: self.put(1, None) == 200))
        self.assertTrue(wait_until(lambda: self.endpoint.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ["one", "two"]) == 202 or self.nodes.results("job") is not None))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == 2))
        self.assertEqual(self.platform.orders, [])
        self.assertTrue(wait_until(lambda: self.put(2, SCALING) == 200))
        self.assertTrue(wait_until(lambda: self.platform.orders))


if __name__ == "__main__":
    unittest.main()

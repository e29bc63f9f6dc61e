"""Crowds of clients that send or take as much as the limits allow. No node may use more memory than its settings say."""
import hashlib
import json
import os
import pathlib
import socket
import threading
import time
import unittest

import harness
import scenarios
from harness import ProcessTest, skip_known_red
from nodes import HOST, Deployment, Endpoint, call, configuration, wait_until

MIB = 1 << 20
MEMORY_BYTES = 64 * MIB  # `[bounds] memory` of the nodes.
MAX_BODY_BYTES = 4 * MIB  # `limits.max-body-bytes` of the configuration.
CLIENTS = 40  # Together they send two and a half times the memory of a node.
CLIENT_ADDRESSES = 8  # Loopback addresses that the clients share.
DESCRIPTORS = 256  # Far above what the crowd needs, which has one connection each, also to an endpoint.
HEADER_CLIENTS = 2000  # Clients with unfinished headers; below the setting `max_connections`.
HEADER_BYTES = 15 * 1024  # Below the limit of headers, which is 16 KiB.
MISSING_BYTES = 100  # What an unfinished body lacks at its end.
CHUNK_BYTES = 64 * 1024
STALL = 2.0  # Seconds after which a client stops to send what the node does not take.
ANSWER_PAUSE = 0.1  # Seconds between two requests for large answers.
SETTLE = 5.0  # Seconds in which the answers that nobody reads arrive.
SMALL_TIMEOUT = 20  # Seconds after which a small request counts as not answered.


def peak_memory(process):
    """Highest resident memory of a process so far, in bytes; fails if it has ended."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")


def descriptors(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


class Crowd:
    """Clients that each send some parts and then keep their connection open without reading it. They begin one after the other, with a pause in seconds between them."""

    def __init__(self, port, parts, pause, clients=CLIENTS):
        self.sockets = []
        self.threads = [threading.Thread(target=self.run, args=(port, number, parts), daemon=True) for number in range(clients)]
        for thread in self.threads:
            thread.start()
            time.sleep(pause)
        for thread in self.threads:
            thread.join()

    def run(self, port, number, parts):
        client = socket.socket()
        self.sockets.append(client)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        client.bind((f"127.0.1.{1 + number % CLIENT_ADDRESSES}", 0))
        client.settimeout(STALL)
        try:
            client.connect(("127.0.0.1", port))
            for part in parts(number):
                client.sendall(part)
        except OSError:
            pass  # The node may refuse or close a connection, or stop reading it.

    def close(self):
        for client in self.sockets:
            client.close()


def head(number, path, framing):
    return f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd-{number}\r\n{framing}\r\n\r\n".encode()


def declared(path, size, sent):
    """A request with a declared length of which a part is sent."""
    body = b"x" * sent
    return lambda number: [head(number, path, f"Content-Length: {size}"), body]


def chunked(path, size):
    """A chunked request without its last chunk."""
    chunk = f"{CHUNK_BYTES:x}\r\n".encode() + b"x" * CHUNK_BYTES + b"\r\n"
    return lambda number: [head(number, path, "Transfer-Encoding: chunked"), *[chunk] * (size // CHUNK_BYTES)]


class BoundsFixture(unittest.TestCase):
    memory_bytes = MEMORY_BYTES
    max_body_bytes = MAX_BODY_BYTES

    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=1, memory=f"{self.memory_bytes // MIB}MiB")
        self.addCleanup(self.nodes.close)
        self.endpoint = Endpoint("plain")
        self.addCleanup(self.endpoint.close)
        self.port = self.nodes.entry_ports[0]
        with_limits = configuration(1, timeout_ms=30000)
        with_limits["limits"] = {"max-body-bytes": self.max_body_bytes}
        self.assertTrue(wait_until(lambda: self.nodes.on_control("POST", "/-/config/replace", json.dumps(with_limits))[0] == 200))
        self.assertTrue(wait_until(self.beat))
        self.assertTrue(wait_until(lambda: self.small() == (200, b"echo hello")))
        self.keep_beating()

    def beat(self):
        return self.endpoint.beat(self.nodes.control_ports)

    def keep_beating(self):
        """The endpoint stays listed for the whole test."""
        ended = threading.Event()

        def run():
            while not ended.wait(1):
                self.beat()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(ended.set)

    def small(self):
        return call(self.port, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": f"small-{time.monotonic_ns()}"}, timeout=SMALL_TIMEOUT)

    def check_bounds(self, process, most_descriptors=DESCRIPTORS):
        self.assertIsNone(process.poll(), "the process has ended")
        self.assertLess(peak_memory(process), self.memory_bytes)
        self.assertLess(descriptors(process), most_descriptors)


class CrowdTest(BoundsFixture):
    def gather(self, port, parts, pause=0.0):
        crowd = Crowd(port, parts, pause)
        self.addCleanup(crowd.close)

    def check_entry_after(self, parts):
        self.gather(self.port, parts)
        self.assertEqual(self.small(), (200, b"echo hello"))
        self.check_bounds(self.nodes.entries[0])

    # Guards against bodies of declared length that stay unfinished and together take more memory than the entry has.
    def test_declared_bodies_stop_short_of_their_end_entry_stays_in_its_memory_and_serves(self):
        self.check_entry_after(declared("/plain/x", MAX_BODY_BYTES, MAX_BODY_BYTES - MISSING_BYTES))

    # Guards against chunked bodies, whose size is not known before, that are not counted as they arrive.
    def test_chunked_bodies_stop_short_of_their_end_entry_stays_in_its_memory_and_serves(self):
        self.check_entry_after(chunked("/plain/x", MAX_BODY_BYTES - CHUNK_BYTES))

    # Guards against whole bodies that wait at a slow endpoint and together take more memory than the entry has.
    def test_whole_bodies_wait_for_slow_endpoint_entry_stays_in_its_memory_and_serves(self):
        self.endpoint.large_pause = 12
        self.check_entry_after(declared("/plain/x", MAX_BODY_BYTES, MAX_BODY_BYTES))

    # Guards against answers that nobody reads and that together take more memory than the entry has.
    def test_clients_do_not_read_large_answers_entry_stays_in_its_memory_and_serves(self):
        self.endpoint.large_answer = b"x" * MAX_BODY_BYTES
        # Together, the answers would exceed the bound of those that are being received, and most would be cancelled.
        self.gather(self.port, lambda number: [head(number, "/plain/large", "Content-Length: 0")], ANSWER_PAUSE)
        time.sleep(SETTLE)
        self.assertEqual(self.small(), (200, b"echo hello"))
        self.check_bounds(self.nodes.entries[0])

    # Guards against unfinished bodies at the control port, to which anybody on the network can connect.
    def test_bodies_at_control_port_stop_short_of_their_end_store_stays_in_its_memory_and_serves(self):
        port = self.nodes.control_ports[0]
        self.gather(port, declared("/-/config/replace", MAX_BODY_BYTES, MAX_BODY_BYTES - MISSING_BYTES))
        self.assertTrue(self.endpoint.beat([port]))
        self.check_bounds(self.nodes.stores[0])

    # Guards against headers that stay unfinished on very many connections.
    def test_headers_stop_short_of_their_end_entry_stays_in_its_memory_and_serves(self):
        begin = head(0, "/plain/x", "X-Long: ").rstrip() + b"x" * HEADER_BYTES
        for number in range(HEADER_CLIENTS):
            client = socket.socket()
            self.addCleanup(client.close)
            client.bind((f"127.0.1.{1 + number % CLIENT_ADDRESSES}", 0))
            client.connect(("127.0.0.1", self.port))
            try:
                client.sendall(begin)
            except OSError:
                pass  # The node may close connections.
        self.assertEqual(self.small(), (200, b"echo hello"))
        self.check_bounds(self.nodes.entries[0], HEADER_CLIENTS + DESCRIPTORS)

    # Guards against bodies that take many times their size once they are decoded.
    def test_job_of_many_json_values_entry_stays_in_its_memory_and_serves(self):
        values = b"[" + b"[]," * (MAX_BODY_BYTES // 3 - 1) + b"[]]"
        self.check_entry_after(lambda number: [head(number, "/batch/x", f"Content-Length: {len(values)}"), values])

    # Guards against the same at the control port.
    def test_configuration_of_many_json_values_store_stays_in_its_memory_and_serves(self):
        port = self.nodes.control_ports[0]
        values = b"[" + b"[]," * (MAX_BODY_BYTES // 3 - 1) + b"[]]"
        self.gather(port, lambda number: [head(number, "/-/config/replace", f"Content-Length: {len(values)}"), values])
        self.assertTrue(self.endpoint.beat([port]))
        self.check_bounds(self.nodes.stores[0])


class SingleBodyTest(BoundsFixture):
    memory_bytes = 120 * MIB  # The smallest machines.
    max_body_bytes = 32 * MIB

    # Guards against copies of a body on its way, which would not fit into the memory of the smallest machines.
    def test_largest_body_at_idle_entry_is_answered_whole_within_its_memory(self):
        self.endpoint.answers_digest = True
        body = os.urandom(self.max_body_bytes)
        answer = call(self.port, "POST", "/plain/x", body, {"Host": HOST, "X-Attempt-Id": "largest"}, timeout=60)
        self.assertEqual(answer, (200, hashlib.sha256(body).hexdigest().encode()))
        self.check_bounds(self.nodes.entries[0])


class DaemonTest(ProcessTest):
    """The same for azurepaddled, whose request bodies are bounded by a setting of their own."""

    MAX_BODIES = 32 * MIB  # `max_bodies` of the daemon.
    BODY_BYTES = 8 * MIB - MISSING_BYTES  # The default of `max_body` is 8 MiB.
    CLIENTS = 24
    MEMORY_BYTES = 128 * MIB  # Twice the bodies, because they are copied while they grow, and the daemon itself.

    def setUp(self):
        super().setUp()
        cluster = self.cluster(1, voters=1)
        path = cluster[0].settings
        path.write_text(path.read_text().replace("[http]\n", f"[http]\nmax_bodies = {self.MAX_BODIES // MIB} MiB\n", 1))
        self.daemons = cluster.start(scenarios.configuration())
        self.engines = [self.engine("e1", "model", self.daemons.addresses)]
        self.wait(lambda: self.daemons.endpoint("e1"), "the endpoint is listed")

    def small(self):
        body = {"model": "model", "prompt": "hello", "max_tokens": 5}
        return harness.call("POST", self.daemons[0].address, "/v1/completions", body, token=scenarios.TENANTS["red"]).status

    def check_after(self, parts):
        self.wait(lambda: self.small() == 200, "the first request is answered")
        crowd = Crowd(self.daemons[0].http_port, parts, 0.0, self.CLIENTS)
        self.addCleanup(crowd.close)
        self.assertEqual(self.small(), 200)
        process = self.daemons[0].popen
        self.assertIsNone(process.poll(), "the process has ended")
        self.assertLess(peak_memory(process), self.MEMORY_BYTES)
        self.assertLess(descriptors(process), DESCRIPTORS)

    # Guards against unfinished bodies of declared length that take the memory of the daemon.
    def test_declared_bodies_stop_short_of_their_end_daemon_stays_in_its_memory_and_serves(self):
        self.check_after(declared("/v1/completions", 8 * MIB, self.BODY_BYTES))

    # Guards against chunked bodies that are not counted.
    def test_chunked_bodies_stop_short_of_their_end_daemon_stays_in_its_memory_and_serves(self):
        self.check_after(chunked("/v1/completions", self.BODY_BYTES))


if __name__ == "__main__":
    unittest.main()

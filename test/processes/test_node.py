"""The nodes that run on a platform, as separate processes: three stores, one entry, and endpoints of the test's own."""
import concurrent.futures
import json
import os
import pathlib
import re
import signal
import socket
import time
import unittest

from harness import skip_known_red
from nodes import BOUND, HOST, TROUBLES, Deployment, Endpoint, call, wait_until


class NodeTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment()
        self.models = Endpoint("models")
        self.plain = Endpoint("plain")
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: call(self.nodes.ready_ports[0], "GET", "/-/readyz")[0] == 200))
        self.assertTrue(wait_until(lambda: self.models.beat(self.nodes.control_ports) and self.plain.beat(self.nodes.control_ports)))

    def tearDown(self):
        self.nodes.close()
        self.models.close()
        self.plain.close()

    def assert_memory_below(self, mebibytes):
        """Checks the peak memory of all nodes, and that none of them has ended."""
        for process in [*self.nodes.entries.values(), *self.nodes.stores.values()]:
            self.assertIsNone(process.poll())
            peak = int(re.search(r"VmHWM:\s+(\d+)", pathlib.Path(f"/proc/{process.pid}/status").read_text())[1])
            self.assertLess(peak, mebibytes * 1024)

    # Guards against a plain request that does not reach its service, or whose answer changes.
    def test_plain_request_forwarded_is_answered_whole(self):
        def answered():
            status, data = call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})
            return status == 200 and data == b"echo hello"
        self.assertTrue(wait_until(answered))
        self.assertEqual(call(self.nodes.entry_ports[0], "GET", "/nowhere", None, {"Host": HOST})[0], 404)

    # Guards against an entry that answers that a route does not exist although a newer configuration may have added it.
    def test_entry_without_store_unknown_route_refused_as_unavailable_known_route_served(self):
        entry = self.nodes.entry_ports[0]
        def plain_status():
            return call(entry, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})[0]
        self.assertTrue(wait_until(lambda: plain_status() == 200))
        self.assertEqual(call(entry, "GET", "/nowhere", None, {"Host": HOST})[0], 404)
        for process in self.nodes.stores.values():
            process.send_signal(signal.SIGSTOP)
        self.assertTrue(wait_until(lambda: call(entry, "GET", "/nowhere", None, {"Host": HOST})[0] == 503))
        self.assertEqual(plain_status(), 200)
        for process in self.nodes.stores.values():
            process.send_signal(signal.SIGCONT)
        self.assertTrue(wait_until(lambda: call(entry, "GET", "/nowhere", None, {"Host": HOST})[0] == 404))

    # Guards against an accepted batch job or a listed result that is lost with the leader.
    def test_leader_killed_during_job_results_come_whole(self):
        self.models.close()
        self.models = Endpoint("models", pause=0.1, events=10)
        self.assertTrue(self.models.beat(self.nodes.control_ports))
        items = [f"item{number}" for number in range(12)]
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", items) == 202))
        self.assertTrue(wait_until(lambda: (self.nodes.results("job") or []) != []))
        before = self.nodes.results("job")
        number = self.nodes.leader()
        os.kill(self.nodes.stores[number].pid, signal.SIGKILL)
        self.nodes.stores[number].wait()
        self.assertTrue(wait_until(lambda: self.models.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == len(items)))
        results = self.nodes.results("job")
        self.assertEqual(results[:len(before)], before)
        self.assertEqual(sorted(result["id"] for result in results), sorted(items))
        for result in results:
            self.assertEqual(result["output"].split("\n"), [f"{result['id']}-{event}" for event in range(1, 11)])
            self.assertEqual(result["versions"], [1])
        self.assertEqual(self.nodes.submit("job", items), 202)
        self.assertEqual(len(self.nodes.results("job")), len(items))

    # Guards against state that does not survive the end of all processes at once.
    def test_all_stores_killed_and_started_keep_configuration_and_results(self):
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ["a", "b"]) == 202))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == 2))
        self.assertEqual(self.nodes.put_configuration(5), 200)
        before = self.nodes.results("job")
        for process in self.nodes.stores.values():
            process.kill()
            process.wait()
        for number in range(len(self.nodes.peer_ips)):
            self.nodes.start_store(number)
        self.assertTrue(wait_until(lambda: self.nodes.results("job") == before))
        status, data = self.nodes.on_control("GET", "/-/config/read")
        self.assertEqual((status, json.loads(data)["version"]), (200, 5))
        self.assertEqual(self.nodes.put_configuration(4), 200)
        self.assertEqual(json.loads(self.nodes.on_control("GET", "/-/config/read")[1])["version"], 5)

    # Guards against items that go on with weights older than their trainer allows.
    def test_version_named_items_wait_for_it(self):
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ["a"], min_version=2) == 202))
        self.assertEqual(self.nodes.results("job"), [])
        self.assertEqual(self.nodes.on_control("POST", "/-/version-put", json.dumps({"model": "m", "version": 2}))[0], 200)
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == 1))
        self.assertEqual(self.nodes.results("job")[0]["versions"], [2])

    # Guards against a result that comes without the score its job asks for, or that changes once it is read.
    def test_scored_items_listed_with_their_scores_after_leader_lost(self):
        items = [f"item{number}" for number in range(8)]
        self.plain.trouble = "drip"
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", items, reward_path="/plain/score") == 202))
        self.assertTrue(wait_until(lambda: len(self.models.runs) >= len(items)))
        self.assertEqual(self.nodes.results("job"), [])
        number = self.nodes.leader()
        os.kill(self.nodes.stores[number].pid, signal.SIGKILL)
        self.nodes.stores[number].wait()
        self.plain.trouble = None
        self.assertTrue(wait_until(lambda: self.models.beat(self.nodes.control_ports) and self.plain.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == len(items)))
        for result in self.nodes.results("job"):
            self.assertEqual(result["score"], f"{self.plain.identity} ran reward-{result['id']}")
            self.assertEqual(len(result["output"].split("\n")), 3)

    # Guards against empty bytes in place of the body of an item that is listed or whose job has ended.
    def test_item_body_given_until_listed_or_ended_then_unknown(self):
        def body(job):
            return call(self.nodes.entry_ports[0], "GET", f"/-/items/{job}?id=a", None, {"Host": HOST})
        self.assertTrue(wait_until(lambda: self.nodes.submit("waits", ["a"], min_version=2) == 202))
        self.assertTrue(wait_until(lambda: body("waits") == (200, b"a")))
        self.assertEqual(call(self.nodes.entry_ports[0], "DELETE", "/-/lots/waits", None, {"Host": HOST})[0], 200)
        self.assertEqual(body("waits")[0], 404)
        self.assertTrue(wait_until(lambda: self.nodes.submit("runs", ["a"]) == 202))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("runs") or []) == 1))
        self.assertEqual(body("runs")[0], 404)

    # Guards against a job that is accepted although its items can never be scored.
    def test_reward_call_without_route_job_refused_as_a_whole(self):
        self.assertEqual(self.nodes.submit("job", ["a"], reward_path="/nowhere/x"), 400)
        self.assertEqual(call(self.nodes.entry_ports[0], "GET", "/-/lots/job", None, {"Host": HOST})[0], 404)
        self.assertEqual(self.models.runs, [])

    # Guards against requests to an endpoint whose answer said that it leaves, also from another entry and after a reload.
    def test_endpoint_says_leaving_gets_no_further_request(self):
        def status():
            return call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})[0]
        self.assertTrue(wait_until(lambda: status() == 200))
        self.plain.is_leaving = True
        self.assertEqual(status(), 200)
        runs = len(self.plain.runs)
        self.assertEqual(status(), 503)
        self.assertEqual(self.nodes.put_configuration(2), 200)
        self.nodes.entries[0].send_signal(signal.SIGHUP)
        self.assertTrue(self.plain.beat(self.nodes.control_ports))
        self.assertTrue(wait_until(lambda: any("answers say so" in self.nodes.log_text(f"store{number}") for number in self.nodes.stores)))
        self.assertEqual(status(), 503)
        self.assertEqual(len(self.plain.runs), runs)

    # Guards against endpoints that send without end and take the memory of a node, or hold its callers.
    def test_endpoints_send_without_end_callers_answered_and_memory_bounded(self):
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})[0] == 200))
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", [f"item{number}" for number in range(8)], reward_path="/plain/score") == 202))
        for trouble in TROUBLES:
            self.plain.trouble = self.models.trouble = trouble
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                statuses = list(pool.map(lambda number: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": f"{trouble} {number}", "X-Deadline-Ms": "1000"})[0], range(8)))
            self.assertTrue(set(statuses) <= {502, 503, 504}, (trouble, statuses))
        self.assert_memory_below(64)
        self.plain.trouble = self.models.trouble = None
        self.assertTrue(wait_until(lambda: self.models.beat(self.nodes.control_ports) and self.plain.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "2"})[0] == 200))
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == 8))

    # Guards against an endpoint of a stream that sends without end, while the stream's caller reads nothing: the entry would
    # keep all of it, run out of memory and end the requests of other callers.
    def test_endpoints_send_without_end_into_streams_memory_bounded_and_others_served(self):
        def plain_status(number):
            return call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": f"other {number}"})[0]
        self.assertTrue(wait_until(lambda: plain_status(0) == 200))
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/stream/x", b"", {"Host": HOST, "X-Attempt-Id": "whole"})[0] == 200))
        for trouble in TROUBLES:
            self.models.trouble = trouble
            callers = [socket.create_connection(("127.0.0.1", self.nodes.entry_ports[0]), timeout=5) for _ in range(8)]
            for number, caller in enumerate(callers):
                caller.sendall(f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {trouble} {number}\r\nX-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n".encode())
            time.sleep(0.5)
            self.assertEqual([plain_status(f"{trouble} {number}") for number in range(3)], [200] * 3, trouble)
            for caller in callers:
                caller.close()
        self.assert_memory_below(64)

    # Guards against bad input that changes something or gets an unclear answer.
    def test_bad_input_refused_clearly_and_changes_nothing(self):
        self.assertEqual(self.nodes.on_control("POST", "/-/config/replace", "{")[0], 400)
        self.assertEqual(self.nodes.put_configuration(9, service="unknown"), 400)
        self.assertEqual(self.nodes.on_control("POST", "/-/version-put", "{}")[0], 400)
        self.assertEqual(self.nodes.on_control("POST", "/-/retire/nobody/begin", "{}")[0], 404)
        self.assertEqual(self.nodes.on_control("POST", "/-/retire/store1/begin", "{}")[0], 409)
        self.assertEqual(call(self.nodes.entry_ports[0], "POST", "/batch/x", "{}", {"Host": HOST, "X-Attempt-Id": "j"})[0], 400)
        self.assertEqual(call(self.nodes.entry_ports[0], "GET", "/-/lots/unknown", None, {"Host": HOST})[0], 404)
        self.assertEqual(json.loads(self.nodes.on_control("GET", "/-/config/read")[1])["version"], 1)

    # Guards against callers and operators that send half a request and so keep others waiting.
    def test_slow_callers_delay_nobody_else(self):
        slow = []
        for port in [self.nodes.entry_ports[0], *self.nodes.control_ports]:
            for _ in range(40):
                slow.append(socket.create_connection(("127.0.0.1", port)))
                slow[-1].sendall(b"POST /plain/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})[0] == 200))
        self.assertEqual(self.nodes.put_configuration(2), 200)
        self.assertTrue(self.models.beat(self.nodes.control_ports))
        for connection in slow:
            connection.close()

    # Guards against counters that nobody can read.
    def test_metrics_page_counts_requests(self):
        port = self.nodes.metrics_ports[0]
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "1"})[0] == 200))
        status, data = call(port, "GET", "/metrics")
        self.assertEqual(status, 200)
        counts = dict(line.rsplit(" ", 1) for line in data.decode().splitlines() if line and not line.startswith("#"))
        self.assertTrue(any(float(value) >= 1 for value in counts.values()), counts)
        self.assertEqual(call(port, "GET", "/other")[0], 404)

    # Guards against a node that ends or goes on with half a file when its settings change.
    def test_settings_reloaded_by_signal_and_kept_if_invalid(self):
        path, process = self.nodes.settings_path("entry0"), self.nodes.entries[0]
        process.send_signal(signal.SIGHUP)
        self.assertTrue(wait_until(lambda: "settings reloaded" in self.nodes.log_text("entry0")))
        path.write_text("[node]\nname = ")
        process.send_signal(signal.SIGHUP)
        self.assertTrue(wait_until(lambda: "settings not reloaded" in self.nodes.log_text("entry0")))
        self.assertIsNone(process.poll())
        self.assertEqual(call(self.nodes.entry_ports[0], "GET", "/-/lots/none", None, {"Host": HOST})[0], 404)

    # Guards against a planned stop of an entry that cuts off a request in progress.
    def test_entry_stopped_request_in_progress_is_answered(self):
        with socket.create_connection(("127.0.0.1", self.nodes.entry_ports[0])) as connection:
            connection.sendall(b"GET /-/lots/none HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b" 404 ", connection.recv(4096))
            os.kill(self.nodes.entries[0].pid, signal.SIGTERM)
            self.assertTrue(wait_until(lambda: call(self.nodes.ready_ports[0], "GET", "/-/readyz")[0] == 503))
            connection.sendall(b"GET /-/lots/none HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = connection.recv(4096)
            self.assertIn(b" 404 ", answer)
            self.assertIn(b"Connection: close", answer)
        self.assertEqual(self.nodes.entries[0].wait(BOUND), 0)


if __name__ == "__main__":
    unittest.main()

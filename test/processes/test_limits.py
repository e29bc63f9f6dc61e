"""Endpoints that name how many requests they take from all nodes together, and several entries that send to them."""
import os
import signal
import threading
import time
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, wait_until

ENTRIES = 4
LIMIT = 2  # Requests per second.
WINDOW = 4  # Seconds over which the requests are counted.
ALLOWED = 1.5 * WINDOW * LIMIT + 5


def most_in_window(times):
    return max((sum(1 for other in times if begin <= other <= begin + WINDOW) for begin in times), default=0)


class Callers:
    """One caller for each entry, which calls again and again until it is stopped."""

    def __init__(self, ports, pause=0.05):
        self.statuses = []
        self.slowest = 0
        self.is_stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(port, pause), daemon=True) for port in ports]
        for thread in self.threads:
            thread.start()

    def run(self, port, pause):
        number = 0
        while not self.is_stopped.wait(pause):
            number += 1
            begin = time.monotonic()
            status, _ = call(port, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": f"{port}-{number}"})
            self.statuses.append(status)
            self.slowest = max(self.slowest, time.monotonic() - begin)

    def stop(self):
        self.is_stopped.set()
        for thread in self.threads:
            thread.join()


class LimitTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=ENTRIES)
        self.plain = Endpoint("plain")
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: self.plain.beat(self.nodes.control_ports)))
        for port in self.nodes.entry_ports:
            self.assertTrue(wait_until(lambda: call(port, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "first"})[0] == 200))

    def tearDown(self):
        self.nodes.close()
        self.plain.close()

    def begin_limit(self):
        """Lets each entry learn the limit, and returns when the requests are counted from."""
        self.plain.limit = LIMIT
        for port in self.nodes.entry_ports:
            call(port, "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "learn"})
        return time.monotonic()

    def runs_since(self, begin):
        return [at for at in self.plain.run_times if at > begin]

    # Guards against entries that each use the limit of an endpoint for themselves.
    def test_endpoint_names_limit_entries_together_keep_it_and_refuse_the_rest_at_once(self):
        begin = self.begin_limit()
        callers = Callers(self.nodes.entry_ports)
        time.sleep(10)
        callers.stop()
        runs = self.runs_since(begin)
        self.assertLessEqual(most_in_window(runs), ALLOWED)
        self.assertGreaterEqual(len(runs), 10)
        self.assertEqual(set(callers.statuses), {200, 503})
        self.assertLess(callers.slowest, 3)

    # Guards against a lost leader that ends service or the limit.
    def test_leader_killed_limit_is_kept_and_service_goes_on(self):
        begin = self.begin_limit()
        callers = Callers(self.nodes.entry_ports)
        time.sleep(3)
        number = self.nodes.leader()
        os.kill(self.nodes.stores[number].pid, signal.SIGKILL)
        self.nodes.stores[number].wait()
        self.assertTrue(wait_until(lambda: self.plain.beat(self.nodes.control_ports)))
        restored = time.monotonic()
        time.sleep(8)
        callers.stop()
        self.assertLessEqual(most_in_window(self.runs_since(begin)), ALLOWED)
        self.assertGreaterEqual(len(self.runs_since(restored)), 6)

    # Guards against requests that go to a limited endpoint while another one is free, and against a limit without end.
    def test_other_endpoint_free_all_requests_are_answered_and_limit_ends_with_its_naming(self):
        other = Endpoint("plain")
        self.assertTrue(wait_until(lambda: other.beat(self.nodes.control_ports)))
        begin = self.begin_limit()
        time.sleep(1)
        callers = Callers(self.nodes.entry_ports)
        time.sleep(3)
        callers.stop()
        self.assertEqual(set(callers.statuses), {200})
        self.assertLessEqual(most_in_window(self.runs_since(begin)), ALLOWED)
        self.plain.limit = None
        # Without a further heartbeat the endpoint is removed 8 s after its first one, which may be within the next calls.
        self.assertTrue(self.plain.beat(self.nodes.control_ports))
        other.crash()
        callers = Callers(self.nodes.entry_ports)
        time.sleep(4)
        callers.stop()
        self.assertGreater(callers.statuses[-ENTRIES:].count(200), 0)
        self.assertGreater(most_in_window(self.plain.run_times), ALLOWED)
        other.close()


if __name__ == "__main__":
    unittest.main()

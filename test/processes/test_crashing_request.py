"""A request that crashes each endpoint which runs it, at several entries, beside sound requests."""
import collections
import os
import signal
import threading
import time
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, wait_until

CONTACT = 3.0  # Seconds within which every entry has to know of the third crash; the default bound of a deployment.
MAX_RETRIES = 3  # Runs after that time.
RECOVERY = 1.5  # Seconds until a crashed endpoint is back.
BEAT_INTERVAL = 0.3
LINES_IN_REPORT = 20  # For each entry.
CRASHING = b"crashes its endpoint"


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=3)
        self.endpoints = [Endpoint("plain") for _ in range(10)]
        self.crash_times = []
        self.number = 0
        self.is_over = threading.Event()
        for endpoint in self.endpoints:
            endpoint.crashes_on = CRASHING
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: all(call(port, "GET", "/-/readyz")[0] == 200 for port in self.nodes.ready_ports)))
        for endpoint in self.endpoints:
            self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))
        self.keepers = [threading.Thread(target=self.keep, args=(endpoint,)) for endpoint in self.endpoints]
        for keeper in self.keepers:
            keeper.start()
        for entry in range(3):
            self.assertTrue(wait_until(lambda: self.send(entry, b"sound") == 200))

    def tearDown(self):
        self.is_over.set()
        for keeper in self.keepers:
            keeper.join()
        self.nodes.close()
        for endpoint in self.endpoints:
            if endpoint.is_up:
                endpoint.close()

    def keep(self, endpoint):
        """Lets an endpoint say that it is there, and brings it back some time after a crash."""
        while not self.is_over.wait(BEAT_INTERVAL):
            if not endpoint.is_up:
                self.crash_times.append(time.monotonic())
                self.is_over.wait(RECOVERY)
                endpoint.start()
            endpoint.beat(self.nodes.control_ports)

    def crashes(self):
        return sum(len(endpoint.crashed_under) for endpoint in self.endpoints)

    def send(self, entry, body, path="/plain/x"):
        self.number += 1
        headers = {"Host": HOST, "X-Attempt-Id": f"r{self.number}", "X-Deadline-Ms": "1500"}
        return call(self.nodes.entry_ports[entry], "POST", path, body, headers)[0]

    def crash_three(self, entries):
        """Sends the request at some entries until it has crashed three endpoints."""
        while self.crashes() < 3:
            self.send(entries[self.number % len(entries)], CRASHING)
            time.sleep(0.1)

    def send_sound(self):
        """Sends sound requests until the test is over, and keeps how they were answered."""
        number = 0
        while not self.is_over.wait(0.01):
            number += 1
            headers = {"Host": HOST, "X-Attempt-Id": f"sound{number}", "X-Deadline-Ms": "1500"}
            self.sound_answers.append(call(self.nodes.entry_ports[number % 3], "POST", "/plain/x", f"sound {number}".encode(), headers))

    def describe_failures(self):
        """How often each failed answer came, how many endpoints are up, and what the entries logged last of unserved requests."""
        answers = collections.Counter((status, data[:80]) for status, data in self.sound_answers if status != 200)
        lines = [f"answers: {dict(answers)}", f"endpoints up: {sum(endpoint.is_up for endpoint in self.endpoints)}, crashes: {self.crashes()}"]
        for entry in range(3):
            failed = [line for line in self.nodes.log_text(f"entry{entry}").splitlines() if "id=sound" in line and "status=200" not in line]
            lines += [f"entry {entry}:", *failed[-LINES_IN_REPORT:]]
        return "\n".join(lines)

    # Guards against sound requests that are refused because they ran beside one that crashes endpoints.
    def test_sound_requests_beside_crashing_one_are_never_refused_for_it(self):
        self.sound_answers = []
        callers = [threading.Thread(target=self.send_sound) for _ in range(6)]
        for endpoint in self.endpoints:
            endpoint.plain_pause = 0.05
        for caller in callers:
            caller.start()
        self.crash_three([0, 1])
        for number in range(20):
            self.send(number % 3, CRASHING)
            time.sleep(0.1)
        self.is_over.set()
        for caller in callers:
            caller.join()
        self.assertEqual(self.send(2, CRASHING), 503)
        self.assertFalse(any(b"crash under this request" in data for _, data in self.sound_answers))
        served = sum(status == 200 for status, _ in self.sound_answers)
        self.assertGreater(served, 0.9 * len(self.sound_answers), self.describe_failures())

    # Guards against a request that comes again at any entry and crashes one endpoint after the other.
    def test_request_crashed_three_endpoints_every_entry_refuses_it(self):
        self.crash_three([0, 1])
        time.sleep(CONTACT)
        before = self.crashes()
        statuses = [self.send(number % 3, CRASHING) for number in range(24) if not time.sleep(0.15)]
        self.assertLessEqual(self.crashes() - before, MAX_RETRIES)
        self.assertEqual(set(statuses[-12:]), {503})
        self.assertTrue(all(self.send(entry, b"sound") == 200 for entry in range(3)))

    # Guards against a verdict that is lost with the leader, or that entries which start again do not learn.
    def test_leader_lost_and_entries_restarted_request_stays_refused(self):
        self.crash_three([0, 1])
        time.sleep(CONTACT)
        number = self.nodes.leader()
        os.kill(self.nodes.stores[number].pid, signal.SIGKILL)
        self.nodes.stores[number].wait()
        for entry, process in list(self.nodes.entries.items()):
            process.kill()
            process.wait()
            self.nodes.start_entry(entry)
        before = self.crashes()
        for entry in range(3):
            self.assertTrue(wait_until(lambda: self.send(entry, b"sound") == 200))
        statuses = [self.send(number % 3, CRASHING) for number in range(24) if not time.sleep(0.15)]
        self.assertLessEqual(self.crashes() - before, MAX_RETRIES)
        self.assertEqual(set(statuses[-12:]), {503})

    # Guards against requests that must not repeat and that nobody counts, because each of them runs on one endpoint only.
    def test_request_that_must_not_repeat_crashed_three_endpoints_is_refused(self):
        while self.crashes() < 3:
            self.send(self.number % 2, CRASHING, "/once/x")
            time.sleep(0.1)
        time.sleep(CONTACT)
        before = self.crashes()
        statuses = [self.send(number % 3, CRASHING, "/once/x") for number in range(24) if not time.sleep(0.15)]
        self.assertLessEqual(self.crashes() - before, MAX_RETRIES)
        self.assertEqual(set(statuses[-12:]), {503})


if __name__ == "__main__":
    unittest.main()

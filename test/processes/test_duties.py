"""Duties of the nodes at a platform: usage reports. The platform is a server of the test."""
import collections
import json
import os
import signal
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, Platform, call, configuration, wait_until

WORKSPACES = [{"name": "blue", "api-keys": ["blue-key"]}, {"name": "red", "api-keys": ["red-key"]}]


class UsageTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.platform = Platform()
        self.addCleanup(self.platform.close)
        # Windows are sealed 4 s after their end, so that the reports of all entries arrive before, also on a slow machine.
        self.nodes = Deployment(entries=2, settings=self.platform.settings(usage_delay="8s"))
        self.addCleanup(self.nodes.close)
        self.endpoint = Endpoint("plain")
        self.addCleanup(self.endpoint.close)
        changed = configuration(1)
        changed["tenants"] = WORKSPACES
        self.assertTrue(wait_until(lambda: self.nodes.on_control("POST", "/-/config/replace", json.dumps(changed))[0] == 200))
        for port in self.nodes.ready_ports:
            self.assertTrue(wait_until(lambda: call(port, "GET", "/-/readyz")[0] == 200))
        self.assertTrue(wait_until(lambda: self.endpoint.beat(self.nodes.control_ports)))
        self.sent = collections.Counter()
        for entry in range(2):
            self.assertTrue(wait_until(lambda: self.send("blue", entry, "first") == 200))

    def send(self, workspace, entry, identity):
        """Sends a request and counts it if the endpoint ran it."""
        runs = len(self.endpoint.runs)
        status = call(self.nodes.entry_ports[entry], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": identity, "Authorization": f"Bearer {workspace}-key"})[0]
        self.sent[workspace] += len(self.endpoint.runs) - runs
        return status

    def all_is_reported(self):
        return self.platform.totals() == self.sent

    def assert_reports_are_consistent(self):
        usage = self.platform.usage()
        self.assertEqual([window for window, counts in usage.items() if len(counts) > 1], [])
        self.assertEqual(sorted(usage), list(range(min(usage), max(usage) + 1)), "a window was skipped")
        tokens = [token for _, _, token, _, _ in self.platform.calls]
        self.assertEqual(tokens, sorted(tokens), "a lower token followed a higher one")
        self.assertEqual(len({(holder, token) for _, holder, token, _, _ in self.platform.calls}), len(set(tokens)), "two holders used one token")

    # Guards against requests that are reported twice, for another workspace, or not at all.
    def test_requests_of_each_workspace_are_reported_once(self):
        for number in range(30):
            self.assertEqual(self.send("blue" if number % 3 else "red", number % 2, f"request{number}"), 200)
        self.assertEqual(call(self.nodes.entry_ports[0], "POST", "/plain/x", b"", {"Host": HOST, "X-Attempt-Id": "none"})[0], 401)
        self.assertTrue(wait_until(self.all_is_reported), f"{self.platform.totals()} reported, {self.sent} sent")
        self.assert_reports_are_consistent()

    # Guards against a window with two totals: one sent by a holder that fails before the answer, another by its successor.
    def test_holder_killed_while_platform_is_silent_successor_repeats_the_same(self):
        self.platform.status = None
        for number in range(10):
            self.assertEqual(self.send("blue", number % 2, f"request{number}"), 200)
        self.assertTrue(wait_until(lambda: self.platform.calls))
        first = self.nodes.leader()
        os.kill(self.nodes.stores[first].pid, signal.SIGKILL)
        self.nodes.stores[first].wait()
        for number in range(10):
            self.assertTrue(wait_until(lambda: self.send("red", number % 2, f"later{number}") == 200))
        before = len(self.platform.calls)
        self.assertTrue(wait_until(lambda: len(self.platform.calls) > before))
        self.platform.status = 200
        self.assertTrue(wait_until(self.all_is_reported), f"{self.platform.totals()} reported, {self.sent} sent")
        self.assert_reports_are_consistent()
        self.assertGreater(len({holder for _, holder, _, _, _ in self.platform.calls}), 1)


if __name__ == "__main__":
    unittest.main()

"""Batch jobs at store nodes whose state is large for their memory."""
import base64
import json
import os
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, configuration, wait_until

ITEM_BYTES = 100_000
ITEMS_PER_JOB = 10
STATE_BYTES = 12_000_000  # More than a sixth of the 64 MiB that the nodes of the tests have.
LOG_BYTES = 90_000_000  # More than the commands after which a snapshot must have been taken.
CHANGE_BYTES = 1_000_000


class StoreMemoryTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=1)
        self.addCleanup(self.nodes.close)
        self.endpoint = Endpoint("models", pause=5)  # Items stay open, so that the state does not shrink.
        self.addCleanup(self.endpoint.close)
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: self.endpoint.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: self.submit("first", 1) == 202))

    def submit(self, job, items=ITEMS_PER_JOB):
        requests = [{"id": f"{job}-{number}", "path": "/batch/1", "headers": {}, "body": base64.b64encode(os.urandom(ITEM_BYTES)).decode(), "token-count": 5, "group": "g"} for number in range(items)]
        body = json.dumps({"step": 0, "model": "m", "min-version": 1, "group-count": 1, "requests": requests})
        return call(self.nodes.entry_ports[0], "POST", "/batch/x", body, {"Host": HOST, "X-Attempt-Id": job})[0]

    def change_configuration(self, version):
        changed = configuration(version)
        changed["services"] += [{"name": f"s{number}-" + "x" * 200} for number in range(CHANGE_BYTES // 220)]
        return self.nodes.on_control("POST", "/-/config/replace", json.dumps(changed))[0]

    # Guards against batch jobs that are all refused, for as long as the state is too large for a snapshot.
    def test_state_is_large_and_log_is_long_further_jobs_are_accepted(self):
        for number in range(STATE_BYTES // (ITEM_BYTES * ITEMS_PER_JOB)):
            self.assertTrue(wait_until(lambda: self.submit(f"job{number}") == 202))
        for number in range(LOG_BYTES // CHANGE_BYTES):
            self.assertTrue(wait_until(lambda: self.change_configuration(2 + number) == 200))
        self.assertTrue(wait_until(lambda: self.submit("last", 1) == 202), "no job is accepted any more")


if __name__ == "__main__":
    unittest.main()

"""Nodes of an earlier commit and of this one side by side: all are replaced one after the other, in both directions.

Not part of the test run, because the earlier commit has to be built from history first: tools/two-releases does both. The
environment variable AZUREPADDLE_EARLIER_BUILD names the folder of the earlier program.
"""
import json
import os
import pathlib
import shutil
import unittest

from harness import BUILD
from nodes import HOST, Deployment, Endpoint, call, wait_until
from test_streams import events_of

EARLIER = pathlib.Path(os.environ["AZUREPADDLE_EARLIER_BUILD"])
EVENTS = 6
ITEMS = [f"item{number}" for number in range(12)]


class TwoReleasesTest(unittest.TestCase):
    def start(self, build):
        self.nodes = Deployment(entries=2, build=build)
        self.addCleanup(self.nodes.close)
        self.plain = Endpoint("plain")
        self.models = {software: Endpoint("models", pause=0.05, events=EVENTS, software=software, marks_software=True) for software in ("v1", "v2")}
        for endpoint in [self.plain, *self.models.values()]:
            self.addCleanup(endpoint.close)
        self.version = 0
        self.configure()
        self.beat()
        self.assertTrue(wait_until(lambda: self.request("/stream/x", "first")[0] == 200))
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ITEMS) == 202))

    def configure(self):
        self.version += 1
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(self.version) == 200), f"configuration {self.version} is not accepted")

    def beat(self):
        for endpoint in [self.plain, *self.models.values()]:
            self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))

    def request(self, path, attempt, entry=0, **headers):
        return call(self.nodes.entry_ports[entry], "POST", path, b"hello", {"Host": HOST, "X-Attempt-Id": attempt, **headers})

    def check_service(self, step):
        """Checks plain requests, a take-up of the first stream and a new configuration at both entries."""
        self.beat()
        self.configure()
        first = self.first_software()
        for entry in range(2):
            self.assertTrue(wait_until(lambda: self.request("/plain/x", f"plain {step} {entry}", entry)[0] == 200), step)
            attempt = f"again {step} {entry}"
            headers = {"Last-Event-Id": "2", "Resumes": "first"}
            self.assertTrue(wait_until(lambda: self.request("/stream/x", attempt, entry, **headers)[0] == 200), step)
            events = events_of(self.request("/stream/x", attempt, entry, **headers)[1])
            self.assertEqual(events, [f"{attempt}-{event}@{first}" for event in range(3, EVENTS + 1)], step)
        status, data = self.nodes.on_control("GET", "/-/config/read")
        self.assertEqual((status, json.loads(data)["version"]), (200, self.version), step)

    def first_software(self):
        return next(software for software, endpoint in self.models.items() if "first" in endpoint.runs)

    def replace_all(self, build):
        self.nodes.build = build
        for number in (0, 1, 2):
            self.nodes.stores[number].terminate()
            self.nodes.stores[number].wait()
            if number == 1:
                shutil.rmtree(self.nodes.data_folder(number))
            self.nodes.start_store(number)
            self.check_service(f"store{number} replaced")
            if number < 2:
                self.nodes.entries[number].terminate()
                self.nodes.entries[number].wait()
                self.nodes.start_entry(number)
                self.check_service(f"entry{number} replaced")

    def check_job(self):
        self.assertTrue(wait_until(lambda: len(self.nodes.results("job") or []) == len(ITEMS)))
        for result in self.nodes.results("job"):
            self.assertEqual(result["state"], "completed")
            software = {event.split("@")[1] for event in result["output"].split("\n")}
            self.assertEqual(len(software), 1, result)

    # Guards against messages, log entries, snapshots or files that one of two releases cannot read while they run side by
    # side, with a store that loses its disk meanwhile.
    def test_earlier_nodes_replaced_by_present_ones_and_back_service_continues(self):
        self.start(EARLIER)
        self.replace_all(BUILD)
        self.check_job()
        self.replace_all(EARLIER)
        self.replace_all(BUILD)
        self.check_job()


if __name__ == "__main__":
    unittest.main()

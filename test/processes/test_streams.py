"""Event streams of single callers that break off and are taken up, while endpoints run different versions of their software."""
import os
import signal
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, wait_until

EVENTS = 6


def events_of(data):
    return [line.split(": ", 1)[1] for line in data.decode().split("\n") if line.startswith("data: ")]


class StreamTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=2)
        self.old = self.endpoint("v1")
        self.new = []
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assertTrue(wait_until(lambda: self.old.beat(self.nodes.control_ports)))
        self.begin("first")

    def tearDown(self):
        self.nodes.close()
        for endpoint in [self.old, *self.new]:
            endpoint.close()

    def endpoint(self, software):
        return Endpoint("models", pause=0.005, events=EVENTS, software=software, marks_software=True)

    def begin(self, attempt, entry=0):
        """Runs a stream to its end. Its caller may have lost the connection at any event."""
        self.assertTrue(wait_until(lambda: self.request(attempt, entry=entry)[0] == 200))

    def request(self, attempt, last_event=None, resumes=None, entry=0):
        headers = {"Host": HOST, "X-Attempt-Id": attempt}
        if last_event is not None:
            headers["Last-Event-Id"] = str(last_event)
        if resumes is not None:
            headers["Resumes"] = resumes
        return call(self.nodes.entry_ports[entry], "POST", "/stream/x", b"prompt", headers)

    def add_new_software(self, endpoints=3):
        self.new = [self.endpoint("v2") for _ in range(endpoints)]
        for endpoint in self.new:
            self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))
        # Both entries have received the endpoints once each has sent new streams there.
        for entry in range(2):
            self.assertTrue(wait_until(lambda: b"@v2" in self.request("probe", entry=entry)[1]))

    def runs_of_new(self, attempts):
        return [attempt for endpoint in self.new for attempt in endpoint.runs if attempt in attempts]

    def take_up(self, count=8):
        """Statuses and events of several requests that take the first stream up, at all entries in turn."""
        answers = []
        for number in range(count):
            status, data = self.request(f"again{number}", 2, "first", number % 2)
            answers.append((status, events_of(data)))
        return answers

    # Guards against a stream that is joined from the output of two software versions.
    def test_two_software_versions_serve_stream_continues_on_its_own(self):
        self.add_new_software()
        for number, (status, events) in enumerate(self.take_up()):
            self.assertEqual(status, 200)
            self.assertEqual(events, [f"again{number}-{event}@v1" for event in range(3, EVENTS + 1)])

    # Guards against entries that alone know what began a stream, and that guess it after they have restarted.
    def test_all_nodes_killed_and_started_stream_continues_on_its_own_software(self):
        self.add_new_software()
        for process in [*self.nodes.entries.values(), *self.nodes.stores.values()]:
            os.kill(process.pid, signal.SIGKILL)
            process.wait()
        for number in range(3):
            self.nodes.start_store(number)
        for number in range(2):
            self.nodes.start_entry(number)
        for endpoint in [self.old, *self.new]:
            self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))
        for entry in range(2):
            self.assertTrue(wait_until(lambda: self.request("again", 2, "first", entry)[0] == 200))
        for status, events in self.take_up():
            self.assertEqual(status, 200)
            self.assertTrue(all(event.endswith("@v1") for event in events), events)
        self.assertEqual(self.runs_of_new({"again"}), [])

    # Guards against a stream that continues on the software that happens to serve after its own has left.
    def test_software_of_stream_has_left_take_up_is_refused_as_not_run(self):
        self.add_new_software()
        self.assertTrue(wait_until(lambda: call(self.nodes.control_ports[0], "POST", f"/-/replicas/{self.old.identity}/deregister", "{}")[0] == 200))
        for entry in range(2):
            self.assertTrue(wait_until(lambda: self.request("again", 2, "first", entry)[0] == 503))
        self.assertEqual({status for status, _ in self.take_up()}, {503})
        self.assertEqual(self.runs_of_new({"again", *(f"again{number}" for number in range(8))}), [])
        self.assertEqual(self.request("fresh", 0, "first")[0], 200)

    # Guards against a request to continue an unknown stream that is sent to an endpoint.
    def test_malformed_and_unknown_take_ups_are_refused_and_nothing_runs(self):
        runs = len(self.old.runs)
        self.assertEqual(self.request("again", 2, "never-begun")[0], 503)
        self.assertEqual(self.request("again", 2)[0], 400)
        for malformed in ["two", "-1", "2x", "99999999999999999999999"]:
            self.assertEqual(self.request("again", malformed, "first")[0], 400, malformed)
        self.assertEqual(len(self.old.runs), runs)


if __name__ == "__main__":
    unittest.main()

"""Event streams of single callers that break off and are taken up, while endpoints run different versions of their software."""
import os
import re
import signal
import socket
import time
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

    # Guards against a stream that is continued although nobody knows which of two software versions began it.
    def test_two_software_versions_stream_unknown_or_not_named_take_up_is_refused_and_nothing_runs(self):
        self.add_new_software()
        for resumes in ["never-begun", None]:
            for entry in range(2):
                self.assertEqual(self.request("again", 2, resumes, entry)[0], 503)
        self.assertNotIn("again", self.old.runs)
        self.assertEqual(self.runs_of_new({"again"}), [])

    # Guards against callers who do not name their stream and are turned away although only one version ever served.
    def test_one_software_version_ever_stream_not_named_goes_on(self):
        for resumes in [None, "never-begun"]:
            status, data = self.request("again", 2, resumes)
            self.assertEqual((status, events_of(data)), (200, [f"again-{event}@v1" for event in range(3, EVENTS + 1)]))

    def stop_entry_while(self, change):
        """Stops an entry while the endpoints change. Its poll ends without changes before that."""
        self.begin("probe", entry=1)
        self.nodes.entries[1].send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        change()
        self.assertTrue(wait_until(lambda: b"@v2" in self.request("probe")[1]))

    # Guards against an entry that stood still while an endpoint restarted under its identifier with other software, and
    # that continues a stream of the former software there.
    def test_entry_stood_still_endpoint_changed_its_software_take_up_is_refused(self):
        def change_software():
            identity = self.old.identity
            self.old.crash()
            self.old.software = "v2"
            self.old.start()
            self.old.identity = identity
            self.assertTrue(wait_until(lambda: self.old.beat(self.nodes.control_ports)))
        self.stop_entry_while(change_software)
        self.nodes.entries[1].send_signal(signal.SIGCONT)
        status, data = self.request("again", 2, "first", 1)
        self.assertEqual((status, events_of(data)), (503, []))

    # Guards against an entry that stood still while the first endpoints of another software version joined, and that
    # continues a stream of theirs on the only version that it knows.
    def test_entry_stood_still_new_software_joined_take_up_goes_on_at_it(self):
        def add_new():
            self.new = [self.endpoint("v2") for _ in range(3)]
            for endpoint in self.new:
                self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))
        self.stop_entry_while(add_new)
        # The identifier of an attempt is used once, so that its origin is certain.
        newer = next(attempt for attempt in (f"newer{number}" for number in range(100)) if b"@v2" in self.request(attempt)[1])
        self.nodes.entries[1].send_signal(signal.SIGCONT)
        status, data = self.request("again", 2, newer, 1)
        self.assertEqual((status, events_of(data)), (200, [f"again-{event}@v2" for event in range(3, EVENTS + 1)]))

    # Guards against a malformed take-up that reaches an endpoint.
    def test_malformed_take_ups_are_refused_and_nothing_runs(self):
        runs = len(self.old.runs)
        for malformed in ["two", "-1", "2x", "99999999999999999999999"]:
            self.assertEqual(self.request("again", malformed, "first")[0], 400, malformed)
        self.assertEqual(len(self.old.runs), runs)

    def read_stream(self, attempt, entry=0, until=None):
        """Events of a stream with their times, and whether it is complete. Calls `until` after each read."""
        events, received = [], b""
        with socket.create_connection(("127.0.0.1", self.nodes.entry_ports[entry]), timeout=10) as connection:
            connection.sendall(f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())
            try:
                while part := connection.recv(65536):
                    received += part
                    texts = re.findall(rb"\ndata: (.*)\n\n", received)
                    events += [(text.decode(), time.monotonic()) for text in texts[len(events):]]
                    if until:
                        until(events)
            except ConnectionResetError:
                pass
        return events, received.endswith(b"\r\n0\r\n\r\n")

    # Guards against events that wait in the entry for the end of their stream.
    def test_endpoint_generates_slowly_each_event_is_passed_on_as_it_arrives(self):
        self.old.pause = 0.2
        begin = time.monotonic()
        events, is_complete = self.read_stream("timed")
        self.assertTrue(is_complete)
        self.assertEqual([text for text, _ in events], [f"timed-{event}@v1" for event in range(1, EVENTS + 1)])
        self.assertLess(events[0][1] - begin, 0.5)
        self.assertGreater(events[-1][1] - begin, 0.9)

    # Guards against a missing, doubled or partial event where an endpoint breaks off and another one goes on.
    def test_endpoint_breaks_off_stream_continues_at_another_one_with_its_software(self):
        other = self.endpoint("v1")
        self.new = [other, *(self.endpoint("v2") for _ in range(3))]
        for endpoint in self.new:
            self.assertTrue(wait_until(lambda: endpoint.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: b"@v2" in self.request("probe")[1]))
        self.old.breaks_after = 3
        other.breaks_after = 4
        begun_here = 0
        for number in range(12):
            events, is_complete = self.read_stream(f"s{number}")
            software = events[0][0].split("@")[1]
            begun_here += software == "v1"
            self.assertEqual([text for text, _ in events], [f"s{number}-{event}@{software}" for event in range(1, len(events) + 1)])
            self.assertEqual(is_complete, len(events) == EVENTS)
            self.assertTrue(is_complete or software == "v1")
        self.assertGreater(begun_here, 0)

    # Guards against a stream that is completed, or continued elsewhere, although only other software remains.
    def test_endpoint_breaks_off_only_other_software_serves_stream_is_cut(self):
        self.old.breaks_after = 2
        self.new = [self.endpoint("v2") for _ in range(2)]
        def add_new(events):
            if len(events) == 1:
                for endpoint in self.new:
                    endpoint.beat(self.nodes.control_ports)
        events, is_complete = self.read_stream("cut", until=add_new)
        self.assertFalse(is_complete)
        self.assertEqual([text for text, _ in events], ["cut-1@v1", "cut-2@v1"])
        self.assertEqual(self.runs_of_new({"cut"}), [])

    # Guards against streams that are joined after all entries lost their memory, while two software versions serve.
    def test_all_entries_killed_during_stream_take_up_goes_on_at_its_software(self):
        self.old.pause = 0.2
        def kill_entries(events):
            if len(events) == 3:
                for process in self.nodes.entries.values():
                    os.kill(process.pid, signal.SIGKILL)
                    process.wait()
        events, is_complete = self.read_stream("killed", until=kill_entries)
        self.assertFalse(is_complete)
        self.assertEqual(len(events), 3)
        for number in range(2):
            self.nodes.start_entry(number)
        self.add_new_software()
        status, data = self.request("again", 3, "killed", 1)
        self.assertEqual((status, events_of(data)), (200, [f"again-{event}@v1" for event in range(4, EVENTS + 1)]))


if __name__ == "__main__":
    unittest.main()

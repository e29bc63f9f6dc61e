"""An entry that gets SIGTERM while callers keep using their open connections until the process is gone."""
import http.client
import signal
import threading
import time
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, wait_until

GRACE = 8  # Seconds from SIGTERM until the process would be killed, as in the nodes' settings.
WORK = 1.6  # Seconds that each request takes.
LIMIT_MS = 9000  # Timeout of the routes, longer than the grace.


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=1)
        self.plain = Endpoint("plain")
        self.models = Endpoint("models", pause=WORK / 4, events=4)
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1, timeout_ms=LIMIT_MS) == 200))
        self.assertTrue(wait_until(lambda: self.plain.beat(self.nodes.control_ports) and self.models.beat(self.nodes.control_ports)))
        self.assertTrue(wait_until(lambda: call(self.nodes.entry_ports[0], "POST", "/plain/x", b"hello", {"Host": HOST, "X-Attempt-Id": "first"})[0] == 200))

    def tearDown(self):
        self.nodes.close()
        self.plain.close()
        self.models.close()

    def stop_and_send_late(self, path, moments):
        """Sends one request at each moment after SIGTERM, on connections that were opened before. Returns the answers."""
        port = self.nodes.entry_ports[0]
        connections = [http.client.HTTPConnection("127.0.0.1", port, timeout=20) for _ in moments]
        for connection in connections:
            connection.connect()
        entry = self.nodes.entries[0]
        entry.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        answers = {}

        def send(connection, moment):
            time.sleep(max(0, begin + moment - time.monotonic()))
            attempt = f"late-{moment}"
            try:
                connection.request("POST", path, b"hello", {"Host": HOST, "X-Attempt-Id": attempt})
                response = connection.getresponse()
                response.read()
                answers[attempt] = response.status
            except (OSError, http.client.HTTPException):
                answers[attempt] = 0

        threads = [threading.Thread(target=send, args=pair) for pair in zip(connections, moments)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        entry.wait(timeout=GRACE + 5)
        self.assertLess(time.monotonic() - begin, GRACE + 1)
        return answers

    def check(self, answers, runs):
        for attempt, status in answers.items():
            if attempt in runs:
                self.assertEqual(status, 200, attempt)  # What runs is answered whole.
            else:
                self.assertIn(status, (0, 503), attempt)

    # Guards against requests that are taken late in the grace, run, and are cut without an answer.
    def test_requests_sent_late_in_the_grace_are_answered_or_refused_unrun(self):
        self.plain.plain_pause = WORK
        moments = [0.5, 2, 3, 4, 5, 5.6, 6, 6.4, 6.8, 7.2]
        answers = self.stop_and_send_late("/once/x", moments)
        self.check(answers, self.plain.runs)
        self.assertEqual([answers[f"late-{moment}"] for moment in (0.5, 2)], [200, 200])

    # Guards against streams that are cut without an answer at the end of the grace.
    def test_streams_sent_late_in_the_grace_are_answered_or_refused_unrun(self):
        answers = self.stop_and_send_late("/stream/x", [0.5, 2, 4, 5, 6, 6.6, 7.2])
        self.check(answers, self.models.runs)

    # Guards against a request that is still in progress at the end of the grace and gets no answer.
    def test_request_longer_than_the_grace_gets_an_answer_that_promises_nothing(self):
        self.plain.plain_pause = GRACE + 3
        answers = self.stop_and_send_late("/once/x", [0.2])
        self.assertEqual(answers, {"late-0.2": 504})


if __name__ == "__main__":
    unittest.main()

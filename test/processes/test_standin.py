"""Checks the stand-ins themselves, so that a failure test does not pass because its fault never happened."""
import json
import socket
import threading
import unittest

from harness import ProcessTest, call


def events_of(body):
    """The JSON events of a stream."""
    lines = [line[6:] for line in body.decode().splitlines() if line.startswith("data: ")]
    return [json.loads(line) for line in lines if line != "[DONE]"], "[DONE]" in lines


class Engine(ProcessTest):
    def complete(self, engine, prompt, tokens=20, **members):
        return engine.post("/v1/completions", {"prompt": prompt, "max_tokens": tokens, **members})

    # Guards against a stream whose events differ from the whole answer, on which every label check rests.
    def test_stream_comparedWithWhole_isEqual(self):
        engine = self.engine("e1", "model")
        whole = self.complete(engine, "p").json()
        events, is_done = events_of(self.complete(engine, "p", stream=True).body)
        self.assertTrue(is_done)
        self.assertEqual("".join(event["text"] for event in events), whole["choices"][0]["text"])
        self.assertEqual(events[-1]["spans"], [{"from": 0, "tokens": 20, "weight_version": 1}])

    # Guards against a switch that relabels tokens of the version before.
    def test_switchInMidStream_labelsEachSpan(self):
        engine = self.engine("e1", "model", (), "--switch-ms", "0")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.complete(engine, "p", 400).json()))
        thread.start()
        self.wait(lambda: engine.get("/state")["running"] == 1, "the request runs")
        engine.post("/orders", {"fencing_token": 1, "action": "load", "version": 2})
        thread.join()
        spans = answers[0]["spans"]
        self.assertEqual([span["weight_version"] for span in spans], [1, 2])
        self.assertEqual(sum(span["tokens"] for span in spans), 400)

    # Guards against an engine that obeys an order of a leader that was replaced.
    def test_oldFencingToken_isRefusedOnlyWhenChecked(self):
        for checks, status in (("1", 409), ("0", 200)):
            engine = self.engine(f"e{checks}", "model", (), "--checks-fencing", checks)
            engine.post("/orders", {"fencing_token": 5, "action": "role", "role": "decode"})
            reply = engine.post("/orders", {"fencing_token": 4, "action": "role", "role": "prefill"})
            self.assertEqual(reply.status, status)
            self.assertEqual(engine.get("/state")["role"], "decode" if checks == "1" else "prefill")

    # Guards against a failed or partial swap that the engine reports as complete.
    def test_swapFaults_areVisibleInState(self):
        engine = self.engine("e1", "model")
        engine.post("/orders", {"fencing_token": 1, "action": "prefetch", "version": 2})
        self.wait(lambda: 2 in engine.get("/state")["loaded"], "version 2 is loaded")
        engine.fault(swap="fail")
        self.assertEqual(engine.post("/orders", {"fencing_token": 1, "action": "switch", "version": 2}).status, 500)
        self.assertEqual(engine.get("/state")["versions"], [1])
        engine.fault(swap="partial")
        engine.post("/orders", {"fencing_token": 1, "action": "switch", "version": 2})
        self.assertEqual(engine.get("/state")["versions"], [2, 1])
        engine.post("/orders", {"fencing_token": 1, "action": "switch", "version": 2})
        self.assertEqual(engine.get("/state")["versions"], [2])

    # Guards against a count of what ran that is lost with the crash it must prove.
    def test_markedPrompt_crashesAndIsCounted(self):
        engine = self.engine("e1", "model")
        with self.assertRaises(OSError):
            self.complete(engine, "crash-engine please")
        self.assertEqual(engine.wait(), 70)
        engine.start()
        self.assertEqual(list(engine.ran()["prompts"].values()), [1])

    # Guards against a silent stream that cannot be resumed over a new connection.
    def test_silentStream_resumedElsewhere_isComplete(self):
        engine = self.engine("e1", "model")
        engine.fault(silent_after_tokens=5)
        body = json.dumps({"request_id": "r1", "prompt": "p", "max_tokens": 50, "stream": True}).encode()
        with socket.create_connection(("127.0.0.1", engine.port)) as connection:
            connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.wait(lambda: engine.get("/requests/r1")["state"] == "finished", "the request has finished")
            connection.settimeout(0.5)
            seen = b""
            with self.assertRaises(TimeoutError):
                while True:
                    seen += connection.recv(65536)
        self.assertNotIn(b"[DONE]", seen)
        events, is_done = events_of(call("POST", engine.address, "/requests/r1/resume?from=40").body)
        self.assertTrue(is_done)
        self.assertEqual(sum(event["tokens"] for event in events), 10)

    # Guards against a second run of a request whose id the engine knows.
    def test_knownRequestId_isRefusedAsNotRun(self):
        engine = self.engine("e1", "model")
        self.complete(engine, "p", request_id="r1")
        reply = self.complete(engine, "p", request_id="r1")
        self.assertEqual((reply.status, reply.json()["outcome"]), (409, "not-run"))
        self.assertEqual(engine.ran()["request_ids"]["r1"], 1)

    # Guards against weights that are there before the store has delivered them.
    def test_weights_comeFromStore(self):
        store = self.store()
        engine = self.engine("e1", "model", (), "--store", store.address)
        engine.post("/orders", {"fencing_token": 1, "action": "prefetch", "version": 2})
        self.wait(lambda: engine.get("/state")["failure"], "the missing version is reported")
        call("PUT", store.address, "/weights/model/2", b"")
        engine.post("/orders", {"fencing_token": 1, "action": "prefetch", "version": 2})
        self.wait(lambda: 2 in engine.get("/state")["loaded"], "version 2 is loaded")
        self.assertEqual(store.ran()["downloads"], {"model/2": 1})

    # Guards against an engine that stays reachable while it should refuse connections.
    def test_refusedConnections_returnAfterTheTime(self):
        engine = self.engine("e1", "model")
        engine.fault(refuse_for_ms=1000)

        def is_refused():
            try:
                engine.get("/state")
                return False
            except OSError:
                return True

        self.wait(is_refused, "connections are refused")
        self.wait(lambda: engine.get("/state"), "connections are accepted again")


class Service(ProcessTest):
    # Guards against an answer that was dropped and a crash after the run that are not counted as run.
    def test_lostAnswers_areCountedAsRun(self):
        service = self.service("s1", "desk")
        for body in ("a drop-answer", "b crash-after-run"):
            with self.assertRaises(OSError):
                service.post("/move", body, headers={"Idempotency-Key": body[0]})
        self.assertEqual(service.wait(), 70)
        service.start()
        self.assertEqual(service.ran()["keys"], {"a": 1, "b": 1})

    # Guards against a call that passes an unnoticed second run.
    def test_repeatedKey_isCountedTwice(self):
        service = self.service("s1", "desk")
        for _ in range(2):
            self.assertEqual(service.post("/move", "x", headers={"Idempotency-Key": "k"}).json()["key"], "k")
        self.assertEqual(service.ran()["keys"], {"k": 2})

    # Guards against a scorer whose score is no function of the text.
    def test_scores_dependOnTextOnly(self):
        scorer = self.service("s1", "score", kind="scorer")
        first = scorer.post("/score", {"text": "x"}).json()["score"]
        self.assertEqual(scorer.post("/score", {"samples": [{"text": "x"}]}).json()["scores"], [first])


if __name__ == "__main__":
    unittest.main()

"""Checks the stand-ins that call the service: announcements, trainer and caller load."""
import json
import unittest

from fake_instance import FakeInstance
from harness import ENDPOINT_SECRET, ProcessTest, free_ports


class ClientTest(ProcessTest):
    def instance(self):
        instance = FakeInstance()
        self.addCleanup(instance.stop)
        return instance

    def dead_address(self):
        return f"127.0.0.1:{free_ports(1)[0]}"

    def trainer(self, name, instances, **options):
        defaults = {"run": "gold", "token": "t", "train_ms": 1, "tokens": 8, "long_tokens": 16, "wait_ms": 10}
        return self.client(name, "trainer", instances, {**defaults, **options})

    def load(self, instances, **options):
        defaults = {"tenants": "blue:t:2,red:u", "service": "model", "rate": 200, "requests": 100}
        return self.client("load", "load", instances, {**defaults, **options})

    def client(self, name, subcommand, instances, options):
        arguments = ["--instances", ",".join(instances)]
        for option, value in options.items():
            arguments += ["--" + option.replace("_", "-"), value]
        return self.program(name, "azurepaddle-standin", subcommand, *arguments)


class Announcements(ClientTest):
    # Guards against endpoints that vanish with the instance they announced themselves to.
    def test_deadInstance_isPassedOver(self):
        instance = self.instance()
        engine = self.engine("e1", "model", [self.dead_address(), instance.address], "--announce-ms", "50")
        announced = self.wait(lambda: instance.announced.get("e1"), "the engine is announced")
        self.assertEqual((announced["address"], announced["versions"], announced["slots"]), (engine.address, [1], 16))
        self.assertIn(f"Bearer {ENDPOINT_SECRET}", [call[2] for call in instance.calls])
        self.assertEqual(engine.terminate(), 0)
        self.assertNotIn("e1", instance.announced)

    # Guards against cache events without gaps, with which a router would never meet one.
    def test_cacheEvents_areAnnouncedWithTheirSequence(self):
        instance = self.instance()
        events = []
        instance.answers["POST", "/v1/endpoints/announce"] = lambda body: (events.extend(json.loads(body)["cache_events"]), (200, {}))[1]
        engine = self.engine("e1", "model", [instance.address], "--announce-ms", "50", "--cache-lag-ms", "0", "--cache-gap", "0")
        engine.post("/v1/completions", {"prompt": "x" * 600, "max_tokens": 2})
        self.wait(lambda: len(events) == 2, "both blocks are announced")
        self.assertEqual([event["sequence"] for event in events], [1, 2])


class Trainer(ClientTest):
    # Guards against a trainer that finds violations in a correct hand-off, or misses a step.
    def test_correctInstance_hasNoViolations(self):
        trainer = self.trainer("trainer", [self.dead_address(), self.instance().address], steps=4)
        self.assertEqual(trainer.wait(), 0, trainer.output() + trainer.errors())
        self.assertEqual((trainer.json()["steps"], trainer.json()["samples"]), (4, 4 * 8 * 4))

    # Guards against stale samples that pass as fresh.
    def test_staleSamples_areViolations(self):
        instance = self.instance()
        instance.lag = 3
        trainer = self.trainer("trainer", [instance.address], steps=1, first_version=5)
        self.assertEqual(trainer.wait(), 1)
        self.assertEqual(trainer.json()["violations"]["kinds"], {"stale": 32})

    # Guards against a restarted trainer that receives a group twice or loses one.
    def test_restartedTrainer_goesOnFromItsCursor(self):
        instance = self.instance()
        cursor = self.folder / "cursor"
        first = self.trainer("first", [instance.address], steps=100, train_ms=30, cursor_file=cursor)
        self.wait(lambda: cursor.exists() and len(cursor.read_text().splitlines()) > 20, "some groups are received")
        first.kill()
        second = self.trainer("second", [instance.address], steps=8, cursor_file=cursor)
        self.assertEqual(second.wait(), 0, second.output() + second.errors())
        received = [group["id"] for line in cursor.read_text().splitlines() for group in json.loads(line)["groups"]]
        self.assertEqual(len(received), len(set(received)))
        self.assertGreaterEqual(len(received), 64)


class Load(ClientTest):
    # Guards against a load that finds faults in correct answers.
    def test_correctEngine_hasNoViolations(self):
        engine = self.engine("e1", "model", time_scale=0.02)
        load = self.load([engine.address], long_tokens=60)
        self.assertEqual(load.wait(), 0, load.output() + load.errors())
        results = load.json()["results"]
        self.assertEqual(sum(results["short"].values()) + sum(results["long"].values()), 100)
        self.assertEqual(results["short"], {"ok": results["short"]["ok"]})

    # Guards against a second run that goes unnoticed, and against resends of the HTTP library that nobody counts.
    def test_lostPlainAnswers_areResentWithTheirKey(self):
        service = self.service("s1", "desk")
        service.fault(drop_answers=2)
        load = self.load([service.address], plain_service="desk", plain_fraction=1, requests=10, concurrency=1)
        self.assertEqual(load.wait(), 0, load.output() + load.errors())
        self.assertEqual((load.json()["results"], load.json()["resent"]), ({"plain": {"ok": 10}}, 2))
        runs = service.ran()["keys"]
        self.assertEqual(set(runs), set(load.json()["keys"]["ok"]))
        self.assertEqual(sum(runs.values()), 12)

    # Guards against an answer to another request that passes as the caller's own.
    def test_foreignAnswers_areViolations(self):
        instance = self.instance()
        answer = {"id": "r", "choices": [{"text": "0" * 160, "finish_reason": "length"}], "spans": [{"from": 0, "tokens": 20, "weight_version": 1}]}
        instance.answers["POST", "/v1/completions"] = lambda body: (200, answer)
        load = self.load([instance.address], stream_fraction=0, requests=5, long_fraction=0)
        self.assertEqual(load.wait(), 1)
        self.assertEqual(load.json()["violations"]["kinds"], {"answer": 5})

    # Guards against refusals that do not say what is known about the request, or when to retry.
    def test_refusalsWithoutOutcomeOrTime_areViolations(self):
        for status, body in ((503, {"outcome": "not-run"}), (500, {})):
            instance = self.instance()
            instance.answers["POST", "/v1/completions"] = lambda _, status=status, body=body: (status, body)
            load = self.load([instance.address], requests=3, long_fraction=0)
            self.assertEqual(load.wait(), 1)
            self.assertEqual(load.json()["violations"]["kinds"], {"refusal": 3})


if __name__ == "__main__":
    unittest.main()

"""Checks the operators' tool against an instance whose answers a test sets."""
import json
import unittest

from fake_instance import FakeInstance
from harness import ProcessTest, free_ports

VALID = "[configuration]\nnumber = 4\n[tenant blue]\ntoken_sha256 = " + "a" * 64 + "\n"


class Tool(ProcessTest):
    def setUp(self):
        super().setUp()
        self.instance = FakeInstance()
        self.addCleanup(self.instance.stop)
        self.runs = 0

    def tool(self, *arguments, instances=None):
        """Runs the tool and returns its exit code, standard output and standard error."""
        self.runs += 1
        environment = {"AZUREPADDLE_INSTANCES": instances or self.instance.address, "AZUREPADDLE_OPERATOR_TOKEN": "secret"}
        process = self.program(f"tool{self.runs}", "azurepaddle", *arguments, environment=environment)
        return process.wait(), process.output(), process.errors()

    def file(self, text):
        path = self.folder / "rollout.ini"
        path.write_text(text)
        return path

    def serve(self, path, code=200, method="GET", **body):
        self.instance.answers[method, path] = lambda _: (code, body)

    # Guards against a check that needs an instance, or reports one problem of several.
    def test_check_reportsAllProblemsWithoutInstance(self):
        code, output, errors = self.tool("check", self.file("[tenant blue]\nweight = x\n[shelf]\n"), instances="127.0.0.1:1")
        self.assertEqual((code, len(output.splitlines())), (1, 4))
        self.assertIn("rollout.ini: [tenant blue] weight: \"x\" is not a number", output)
        self.assertIn("4 problem(s)", errors)
        self.assertEqual(self.tool("check", self.file(VALID))[0], 0)
        self.assertEqual(self.instance.calls, [])

    # Guards against a trace that misses a process, mixes up the order, or takes in a longer identifier.
    def test_trace_collectsLinesOfOneRequestInOrder(self):
        first, second = self.folder / "entry.log", self.folder / "store.log"
        first.write_text("2026-12-04T07:00:00.100 INFO  forwarder request id=ab12 endpoint=i-1 outcome=sent\n2026-12-04T07:00:00.300 INFO  forwarder request id=ab12 outcome=answered\n")
        second.write_text("2026-12-04T07:00:00.200 INFO  items item id=ab12 outcome=again\n2026-12-04T07:00:00.250 INFO  items item id=ab123 outcome=sent\n")
        code, output, _ = self.tool("trace", "ab12", second, first, instances="127.0.0.1:1")
        self.assertEqual(code, 0)
        self.assertEqual([line.split(" ")[0][-3:] for line in output.splitlines()], ["100", "200", "300"])
        code, output, _ = self.tool("trace", "--json", "ab12", first)
        self.assertEqual([(line["source"], line["level"]) for line in json.loads(output)], [("forwarder", "INFO")] * 2)
        self.assertEqual(self.tool("trace", "unknown", first)[0], 1)
        self.assertEqual(self.tool("trace", "ab12")[0], 2)
        self.assertEqual(self.tool("trace", "ab12", self.folder / "missing.log")[0], 2)

    # Guards against a tool that reports success although the configuration is not in force.
    def test_apply_exitCodeFollowsResult(self):
        for result, expected in (("accepted", 0), ("already-accepted", 0), ("superseded", 1), ("conflict", 1), ("stale", 1), ("invalid", 1)):
            self.serve("/v1/config", 200 if expected == 0 else 409, "POST", result=result, number=4, digest="d")
            code, output, errors = self.tool("apply", self.file(VALID))
            self.assertEqual(code, expected, result)
            self.assertIn(result, output + errors)
        self.assertEqual(self.instance.calls[0], ("POST", "/v1/config", "Bearer secret", VALID))

    # Guards against a wait that ends while a live instance lacks the configuration, or waits for a dead one.
    def test_applyWait_namesWhoLacksIt(self):
        self.serve("/v1/config", 200, "POST", result="accepted", number=4, digest="d")
        states = [[("alive", 4), ("alive", 3), ("dead", 1)], [("alive", 4), ("alive", 5), ("dead", 1)]]

        def instances(_):
            now = states.pop(0) if len(states) > 1 else states[0]
            return 200, {"instances": [{"name": f"i{n}", "state": state, "configuration": number} for n, (state, number) in enumerate(now)]}

        self.instance.answers["GET", "/v1/instances"] = instances
        code, _, errors = self.tool("apply", self.file(VALID), "--wait")
        self.assertEqual(code, 0)
        self.assertEqual(errors.splitlines(), ["configuration 4 in force on 1 of 2 instances; missing: i1 (3)", "configuration 4 in force on 2 of 2 instances"])

    # Guards against a wait that never ends.
    def test_applyWait_timeOver_hasItsOwnCode(self):
        self.serve("/v1/config", 200, "POST", result="accepted", number=4, digest="d")
        self.serve("/v1/instances", instances=[{"name": "i1", "state": "alive", "configuration": 3}])
        code, _, errors = self.tool("apply", self.file(VALID), "--wait", "--wait-timeout-ms", "1")
        self.assertEqual(code, 5)
        self.assertIn("missing: i1 (3)", errors.splitlines()[-1])

    # Guards against a dead or unready instance that stops the tool while another would answer.
    def test_deadInstance_nextIsTried(self):
        dead = f"127.0.0.1:{free_ports(1)[0]}"
        self.serve("/v1/tenants", tenants=[{"name": "blue", "weight": 2.0}])
        code, output, _ = self.tool("tenants", instances=f"{dead},{self.instance.address}")
        self.assertEqual(code, 0)
        self.assertEqual(output.splitlines()[1].split()[:2], ["blue", "2"])
        code, _, errors = self.tool("tenants", instances=dead)
        self.assertEqual(code, 3)
        self.assertIn(dead, errors)

    # Guards against failures that scripts cannot tell apart.
    def test_failures_haveDocumentedCodes(self):
        self.serve("/v1/runs", 401, title="no")
        self.assertEqual(self.tool("runs")[0], 4)
        self.serve("/v1/runs", 200, shelves=[])
        self.assertEqual(self.tool("runs")[0], 6)
        for arguments in ((), ("fly",), ("runs", "--fast"), ("apply",), ("check", "no-such-file"), ("drain", "a/b"), ("runs", "--token-file", "no-such-file")):
            code, _, errors = self.tool(*arguments)
            self.assertEqual((code, len(errors.splitlines())), (2, 1), f"{arguments}: {errors}")

    # Guards against draining an instance when an endpoint was meant.
    def test_drain_resolvesNameOrAsks(self):
        self.serve("/v1/instances", instances=[{"name": "a"}, {"name": "both"}])
        self.serve("/v1/endpoints", endpoints=[{"id": "e"}, {"id": "both"}])
        for kind, name in (("instance", "a"), ("endpoint", "e")):
            self.serve(f"/v1/drain/{kind}/{name}", 200, "POST", result="draining")
            self.assertEqual(self.tool("drain", name)[:2], (0, f"{kind} {name}: draining\n"))
        self.assertEqual(self.tool("drain", "both")[0], 2)
        self.assertEqual(self.tool("drain", "nobody")[0], 1)

    # Guards against differences that are shown against something else than the configuration in force.
    def test_diff_comparesWithInForce(self):
        self.serve("/v1/config", number=3, digest="d", text=VALID.replace("4", "3"))
        code, output, _ = self.tool("diff", self.file(VALID + "weight = 2\n"))
        self.assertEqual((code, output), (1, "[configuration] number: 3 -> 4\n[tenant blue] weight: 1 -> 2\n"))
        self.assertEqual(self.tool("diff", self.file(VALID.replace("4", "3")))[:2], (0, ""))

    # Guards against tables that lose rows, and output that a terminal would execute.
    def test_tablesAndBars_arePrinted(self):
        self.serve("/v1/endpoints", endpoints=[{"id": "e\u001b[2J", "versions": [1, 2]}])
        self.assertIn("e?[2J", self.tool("endpoints")[1])
        self.assertEqual(json.loads(self.tool("endpoints", "--json")[1])["endpoints"][0]["versions"], [1, 2])
        self.serve("/v1/histograms", histograms=[{"tenant": "blue", "class": "short", "measure": "latency", "count": 3,
                                                  "buckets": [{"upper_ms": 10.0, "count": 2}, {"upper_ms": None, "count": 1}]}])
        lines = self.tool("histograms")[1].splitlines()
        self.assertEqual((lines[1].count("#"), lines[2].count("#")), (50, 25))
        for command in ("status", "instances", "history", "orders"):
            self.serve(f"/v1/{command}", **{command: [{"name": "x"}]})
            self.assertEqual(self.tool(command)[0], 0)
            self.assertEqual(self.tool(command, "--help")[0], 0)


if __name__ == "__main__":
    unittest.main()

"""Samples reach a trainer exactly once, in order, fresh and truly labelled, through real processes."""

from harness import ProcessTest
from scenarios import configuration, load_arguments, trainer_arguments


class Training(ProcessTest):
    def start(self, daemons=3, engines=3):
        self.daemons = self.cluster(daemons).start(configuration())
        self.weights = self.store()
        self.engines = [self.engine(f"e{n}", "model", self.daemons.addresses, "--store", self.weights.address) for n in range(engines)]
        self.desk = self.service("desk-1", "desk", self.daemons.addresses)
        self.wait(lambda: len(self.daemons[0].get("/v1/endpoints")["endpoints"]) == engines + 1, "all endpoints are known")

    def finish(self, trainer):
        """Waits for the trainer and checks what it received from outside."""
        trainer.wait(120)
        report = trainer.json()
        self.assertEqual(report["violations"]["total"], 0, report)
        return report

    def test_run_withWeightsChanging_deliversEachSampleOnce(self):
        """Guards against lost, doubled, stale or mislabelled samples while weights change."""
        self.start()
        trainer = self.program("trainer", "azurepaddle-standin", *trainer_arguments(self.daemons, self.weights, self.folder))
        report = self.finish(trainer)
        self.assertEqual(report["steps"], 8)
        self.assertEqual(report["samples"], 8 * 8 * 4)

    def test_load_mixed_answersEachRequestWhole(self):
        """Guards against answers that are cut, crossed or repeated for non-idempotent calls."""
        self.start()
        load = self.program("load", "azurepaddle-standin", *load_arguments(self.daemons))
        load.wait(90)
        report = load.json()
        self.assertEqual(report["violations"]["total"], 0, report)
        self.assertTrue(all(count == 1 for count in self.desk.ran()["keys"].values()))

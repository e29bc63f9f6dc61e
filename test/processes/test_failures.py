"""The guarantees hold while processes are killed, paused and cut off; judged by what trainers, callers and endpoints saw."""

import time

from harness import ENDPOINT_SECRET, ProcessTest, call
from scenarios import TENANTS, configuration, load_arguments, trainer_arguments


class FailureTest(ProcessTest):
    def start(self, daemons=5, engines=4, staleness=2, engine_options=()):
        self.daemons = self.cluster(daemons).start(configuration(staleness=staleness))
        self.weights = self.store()
        self.engines = [self.engine(f"e{n}", "model", self.daemons.addresses, "--store", self.weights.address, *engine_options) for n in range(engines)]
        self.desk = self.service("desk-1", "desk", self.daemons.addresses)
        self.wait(lambda: len(self.daemons[0].get("/v1/endpoints")["endpoints"]) == engines + 1, "all endpoints are known")

    def train(self, steps=10, **options):
        return self.program("trainer", "azurepaddle-standin", *trainer_arguments(self.daemons, self.weights, self.folder, steps, **options))

    def load(self, requests=200, **options):
        return self.program("load", "azurepaddle-standin", *load_arguments(self.daemons, requests, **options))

    def cursor(self):
        for daemon in self.daemons.daemons:
            if not daemon.is_running():
                continue
            try:
                runs = daemon.get("/v1/runs")["runs"]
            except (OSError, ValueError):
                continue
            return runs[0]["cursor"] if runs else 0
        return 0

    def run_owner(self):
        runs = self.daemons[-1].get("/v1/runs")["runs"]
        return next(d for d in self.daemons.daemons if d.name == runs[0]["owner"])

    def leader(self, among=None):
        for daemon in among or self.daemons.daemons:
            try:
                for instance in daemon.get("/v1/instances")["instances"]:
                    if instance.get("leader"):
                        return next(d for d in self.daemons.daemons if d.name == instance["name"])
            except (OSError, ValueError):
                continue
        return None

    def check_training(self, trainer, steps):
        trainer.wait(150)
        report = trainer.json()
        self.assertEqual(report["violations"]["total"], 0, report)
        self.assertEqual(report["steps"], steps, report)
        self.assertEqual(report["samples"], steps * 32, report)

    def check_load(self, load):
        load.wait(150)
        report = load.json()
        self.assertEqual(report["violations"]["total"], 0, report)
        return report

    def check_desk_ran_once(self, *desks):
        counts = {}
        for desk in desks:
            for key, count in desk.ran().get("keys", {}).items():
                counts[key] = counts.get(key, 0) + count
        self.assertEqual({key: count for key, count in counts.items() if count > 1}, {})


class InstanceFailures(FailureTest):
    def test_leader_killedDuringRun_losesAndDoublesNothing(self):
        """Guards against hand-offs that are forgotten or repeated when the leader of the log dies."""
        self.start()
        trainer, load = self.train(), self.load()
        self.wait(lambda: self.cursor() >= 64, "two steps are confirmed")
        self.leader().kill()
        self.check_training(trainer, 10)
        self.check_load(load)
        self.check_desk_ran_once(self.desk)

    def test_runOwner_killedDuringRun_isReplacedWithoutLoss(self):
        """Guards against samples that die with their owner, or are delivered again by its successor."""
        self.start()
        trainer = self.train()
        self.wait(lambda: self.cursor() >= 64, "two steps are confirmed")
        self.run_owner().kill()
        self.check_training(trainer, 10)

    def test_leader_pausedPastItsLease_doesNoHarmWhenItWakes(self):
        """Guards against a leader that was cut off and still believes that it leads when it comes back."""
        self.start()
        trainer, load = self.train(), self.load()
        self.wait(lambda: self.cursor() >= 32, "a step is confirmed")
        paused = self.leader()
        paused.pause()
        others = [d for d in self.daemons.daemons if d is not paused]
        self.wait(lambda: self.leader(others) not in (None, paused), "another leader is elected")
        answered = self.daemons.apply(configuration(number=2, staleness=2), others[0].address)
        self.assertEqual(answered["result"], "accepted")
        paused.resume()
        self.wait(lambda: paused.get("/v1/config")["number"] == 2, "the paused instance has the newest configuration")
        self.check_training(trainer, 10)
        self.check_load(load)
        self.check_desk_ran_once(self.desk)

    def test_instance_terminatedUnderLoad_finishesWhatItHas(self):
        """Guards against a graceful stop that cuts requests in progress off."""
        self.start()
        load = self.load(requests=300, resends=0, long_fraction=0.4)
        self.wait(lambda: sum(self.desk.ran().get("keys", {}).values()) >= 5, "the load has begun")
        leaving = self.daemons[4]
        leaving.terminate(60)
        report = self.check_load(load)
        lost = {name: count for name, count in report.get("outcomes", {}).items() if name in ("lost", "cut", "unknown")}
        self.assertLessEqual(lost.get("cut", 0), 0, report)

    def test_voter_lostAndReplacedTwice_keepsEverything(self):
        """Guards against a repaired log group that has forgotten something when a second disk is lost right after."""
        self.start(daemons=4, engines=1)
        for number in range(2, 6):
            self.assertEqual(self.daemons.apply(configuration(number=number))["result"], "accepted")
        for victim in (self.daemons[1], self.daemons[2]):
            victim.kill()
            for entry in (self.folder / f"{victim.name}.data").iterdir():
                entry.unlink()
            victim.start()
            self.wait(victim.is_ready, "the replacement is ready")
            self.wait(lambda v=victim: self.is_repaired(v), "the replacement votes and the lost voter is removed")
        self.daemons[0].kill()
        self.wait(lambda: self.daemons.apply(configuration(number=6), self.daemons[3].address).get("result") == "accepted", "the two replacements form a quorum", 60)
        history = self.daemons[1].get("/v1/history")["history"]
        self.assertEqual([entry["number"] for entry in history], [6, 5, 4, 3, 2, 1])


    @staticmethod
    def is_repaired(daemon):
        status = daemon.get("/v1/status")["status"][0]
        return status["log_is_voter"] and status["log_voters"] == 3 and status["log_learners"] == 0


class EndpointFailures(FailureTest):
    def test_engine_killedUnderLoad_answersStayWhole(self):
        """Guards against answers that are cut or mixed when an engine crashes in mid-stream."""
        self.start()
        trainer, load = self.train(), self.load(plain_fraction=0)
        self.wait(lambda: self.cursor() >= 32, "a step is confirmed")
        self.engines[0].kill()
        self.check_training(trainer, 10)
        self.check_load(load)

    def test_poisonRequest_sentAgain_takesAtMostTwoEngines(self):
        """Guards against a request that crashes one engine after the other because its caller repeats it."""
        self.start(engines=5)
        body = {"model": "model", "prompt": "please crash-engine now", "max_tokens": 20}
        replies = []
        for attempt in range(6):
            daemon = self.daemons[attempt % 5]
            replies.append(call("POST", daemon.address, "/v1/completions", body, token=TENANTS["red"], seconds=60))
        alive = [engine for engine in self.engines if engine.is_running()]
        self.assertGreaterEqual(len(alive), 3, [reply.body for reply in replies])
        self.assertEqual(replies[-1].status, 422, replies[-1].body)
        suspects = self.daemons[0].get("/v1/suspects")["suspects"]
        self.assertTrue(any(suspect["blocked"] for suspect in suspects))

    def test_connection_silentInMidStream_isResumed(self):
        """Guards against a caller that waits for ever on a connection that something in between has forgotten."""
        self.start(engines=1)
        load = self.load(requests=120, plain_fraction=0, stream_fraction=1.0, long_fraction=0.5)
        self.wait(lambda: self.engines[0].get("/state")["running"] >= 2, "requests are running")
        self.engines[0].fault(silent_after_tokens=5, silent_count=8)
        self.engines[0].fault(silent_open=True)
        self.check_load(load)
        resumed = sum(float(line.split()[-1]) for daemon in self.daemons.daemons
                      for line in call("GET", daemon.address, "/metrics").body.decode().splitlines() if line.startswith("azurepaddle_streams_resumed_total"))
        self.assertGreater(resumed, 0)

    def test_swap_failsAndIsPartial_isRepaired(self):
        """Guards against samples labelled with weights that were never loaded, and an engine left on the old version."""
        self.start()
        self.engines[0].fault(swap="fail", swap_count=2)
        self.engines[1].fault(swap="partial", swap_count=2)
        trainer = self.train(steps=8)
        self.check_training(trainer, 8)
        self.wait(lambda: len({tuple(engine.get("/state")["versions"]) for engine in self.engines}) == 1, "all engines serve one version", 60)

    def test_versions_announcedFasterThanTheStoreAllows_stillReachTheEngines(self):
        """Guards against a rollout that never switches, because each new version restarts it."""
        slow_store = configuration(staleness=1000).replace("weight_size = 1 KiB", "weight_size = 100 MiB").replace("store_rate = 1 GiB", "store_rate = 100 MiB")
        self.daemons = self.cluster(3).start(slow_store)
        self.weights = self.store()
        self.engines = [self.engine(f"e{n}", "model", self.daemons.addresses, "--store", self.weights.address) for n in range(3)]
        self.wait(lambda: len(self.daemons[0].get("/v1/endpoints")["endpoints"]) == 3, "all endpoints are known")
        trainer = self.train(steps=1000, version_every_ms=300, staleness=1000, duration_ms=60000)
        self.wait(lambda: all(engine.get("/state")["versions"][-1] >= 2 for engine in self.engines), "every engine serves a later version")
        trainer.kill()

    def test_endpoint_leaving_getsNoNewWork(self):
        """Guards against work that is sent to an endpoint after it left."""
        self.start(engines=3)
        load = self.load(requests=300, plain_fraction=0)
        self.wait(lambda: sum(self.engines[0].ran().get("request_ids", {}).values()) >= 5, "the load has begun")
        call("POST", self.daemons[0].address, "/v1/endpoints/leave", {"id": "e0"}, token=ENDPOINT_SECRET)
        self.engines[0].fault(silent_announcements=True)
        self.wait(lambda: all(self.daemons.endpoint("e0", n)["state"] == "lost" for n in range(5)), "every instance knows that it left")
        time.sleep(0.5)
        before = sum(self.engines[0].ran()["request_ids"].values())
        self.check_load(load)
        self.assertEqual(sum(self.engines[0].ran()["request_ids"].values()), before)


class OperatorRaces(FailureTest):
    def test_operators_raceWithEqualNumbers_oneWinsEverywhere(self):
        """Guards against two configurations in force under one number, and a resend that changes the outcome."""
        self.daemons = self.cluster(5).start(configuration())
        texts = [configuration(number=7, extra=f"; variant {n}\n[tenant extra{n}]\ntoken_sha256 = {n:064x}\n") for n in range(5)]
        import concurrent.futures
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            results = list(pool.map(lambda n: self.daemons.apply(texts[n], self.daemons[n].address), range(5)))
        winners = [n for n, result in enumerate(results) if result["result"] == "accepted"]
        self.assertEqual(len(winners), 1, results)
        self.assertEqual({result["digest"] for result in results}, {results[winners[0]]["digest"]})
        self.assertTrue(all(result["result"] == "conflict" for n, result in enumerate(results) if n != winners[0]), results)
        for daemon in self.daemons.daemons:
            self.assertEqual(self.daemons.apply(texts[winners[0]], daemon.address)["result"], "already-accepted")
            self.wait(lambda d=daemon: d.get("/v1/config")["digest"] == results[winners[0]]["digest"], "it is in force everywhere")

    def test_instance_restartedAfterHundredsOfChanges_catchesUpBeforeItIsReady(self):
        """Guards against an instance that serves with a configuration of long ago after a restart."""
        self.daemons = self.cluster(4).start(configuration())
        absent = self.daemons[2], self.daemons[3]
        for daemon in absent:
            daemon.kill()
        for number in range(2, 302):
            self.assertEqual(self.daemons.apply(configuration(number=number), self.daemons[0].address)["result"], "accepted")
        for daemon in absent:
            daemon.start()
            self.wait(daemon.is_ready, "it is ready")
            self.assertEqual(daemon.get("/v1/config")["number"], 301)

"""Store nodes that lose their disks or are emptied, one machine at a time."""
import json
import shutil
import signal
import time
import unittest

from harness import skip_known_red
from nodes import Deployment, call, wait_until


class StoreLossTest(unittest.TestCase):
    STORES = 3

    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=0, stores=self.STORES)
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))

    def tearDown(self):
        self.nodes.close()

    def lose_disk(self, number):
        self.nodes.stores[number].kill()
        self.nodes.stores[number].wait()
        shutil.rmtree(self.nodes.data_folder(number))


class RepeatedLosses(StoreLossTest):
    # Guards against a group that stops for good after one machine is lost twice: its first successor, already gone, was
    # promoted beside the lost voter, so that three of four voters were needed and only two were left.
    def test_store_loses_disk_twice_group_continues(self):
        for version, pause in enumerate((0.2, 0.15), start=2):
            lost = next(number for number in self.nodes.stores if number != self.nodes.leader())
            self.lose_disk(lost)
            time.sleep(1)
            self.nodes.start_store(lost)
            time.sleep(pause)
            self.lose_disk(lost)
            time.sleep(1)
            self.nodes.start_store(lost)
            time.sleep(5.3)  # The time that a machine has to catch up.
            self.assertTrue(wait_until(lambda v=version: self.nodes.put_configuration(v) == 200), f"no leader accepts configuration {version}")
        self.assertEqual(json.loads(self.nodes.on_control("GET", "/-/config/read")[1])["version"], 3)


class Retirements(StoreLossTest):
    STORES = 4

    def states(self, number, port, seconds):
        """The states of an emptied machine that the store at this port reports within some time."""
        end = time.monotonic() + seconds
        states = set()
        while True:
            status, data = call(port, "GET", f"/-/retire/store{number}/read", timeout=0.2)
            states.add(json.loads(data)["state"] if status == 200 else None)
            if time.monotonic() >= end:
                return states

    # Guards against a machine that is reported as emptied, and destroyed for it, while only a leader that is cut off holds
    # its removal: the next leader would still count its vote.
    def test_leader_cut_off_reports_no_removal_that_next_leader_lacks(self):
        leader = self.nodes.leader()
        emptied = 3  # Not a seed, so it is a learner: its removal is the first change after the order.
        others = [number for number in self.nodes.stores if number != leader]
        self.assertTrue(wait_until(lambda: "add learner store3@" in self.nodes.log_text(f"store{leader}")))
        self.assertEqual(self.nodes.on_control("POST", f"/-/retire/store{emptied}/begin", json.dumps({"duration-s": 10}))[0], 200)
        for number in others:
            self.nodes.stores[number].send_signal(signal.SIGSTOP)
        states = self.states(emptied, self.nodes.control_ports[leader], 0.6)
        self.assertIn(f"membership change: remove store{emptied}@", self.nodes.log_text(f"store{leader}"))
        self.nodes.stores[leader].kill()
        for number in others:
            self.nodes.stores[number].send_signal(signal.SIGCONT)
        self.assertTrue(wait_until(lambda: any("completed" in self.states(emptied, self.nodes.control_ports[number], 0) for number in others)))
        if any(f"membership change: remove store{emptied}@" in self.nodes.log_text(f"store{number}") for number in others):
            self.assertNotIn("completed", states, "the leader reported a removal that the next leader had to repeat")

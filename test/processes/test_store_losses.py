"""Store nodes that lose their disks or are emptied, one machine at a time."""
import json
import shutil
import time
import unittest

from harness import skip_known_red
from nodes import Deployment, wait_until


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

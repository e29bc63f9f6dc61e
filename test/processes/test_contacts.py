"""Nodes that find each other after a restart although the seeds in their settings are of no help."""
import shutil
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, wait_until

MISSING = ["127.0.0.9"]  # Nobody listens there.
VOTERS = 3


class ContactsTest(unittest.TestCase):
    STORES = 4
    ENTRIES = 2

    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment(entries=self.ENTRIES, stores=self.STORES)
        self.endpoint = Endpoint("plain")
        self.addCleanup(self.endpoint.close)
        self.addCleanup(self.nodes.close)
        self.first_seeds = self.nodes.seed_ips
        self.assertTrue(wait_until(lambda: self.nodes.put_configuration(1) == 200))
        self.assert_all_serve("the deployment does not start")
        self.assertTrue(wait_until(self.are_all_remembered), "the stores do not remember all instances")

    def serves(self, entry):
        self.endpoint.beat(self.nodes.control_ports)
        headers = {"Host": HOST, "X-Attempt-Id": f"request-{entry}"}
        return call(self.nodes.entry_ports[entry], "POST", "/plain/x", b"body", headers)[0] == 200

    def assert_all_serve(self, message):
        self.assertTrue(wait_until(lambda: all(self.serves(entry) for entry in self.nodes.entries)), message)

    def are_all_remembered(self):
        files = [self.nodes.data_folder(number) / "contacts" for number in self.nodes.stores]
        addresses = [*self.nodes.peer_ips, *(f"127.0.0.{10 + entry}" for entry in self.nodes.entries)]
        names = [f"{address}:{self.nodes.peer_port}".encode() for address in addresses]
        return all(file.exists() and all(name in file.read_bytes() for name in names) for file in files)

    def kill(self, processes):
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

    def kill_all(self):
        self.kill([*self.nodes.stores.values(), *self.nodes.entries.values()])


class LostSeeds(ContactsTest):
    # Guards against entries that find no store for ever after a loss of all power: they have no disk, all seeds in their
    # settings are down, and no store told them where the others are.
    def test_all_restarted_seeds_of_entries_are_down_entries_serve_again(self):
        self.kill_all()
        for number in self.nodes.stores:
            self.nodes.start_store(number)
        self.nodes.seed_ips = MISSING
        for entry in self.nodes.entries:
            self.nodes.start_entry(entry)
        self.assert_all_serve("an entry finds no store")

    # Guards against the same for one entry that restarts alone while the stores run on.
    def test_entry_restarted_its_seeds_are_down_serves_again(self):
        self.kill([self.nodes.entries[1]])
        self.nodes.seed_ips = MISSING
        self.nodes.start_entry(1)
        self.assertTrue(wait_until(lambda: self.serves(1)), "the entry finds no store")


class Islands(ContactsTest):
    """The settings of the stores without a log name only these as seeds, those of the participants only the first three."""
    STORES = 7
    ENTRIES = 3

    def start_all(self):
        participants = self.first_seeds
        spares = self.nodes.peer_ips[VOTERS + 1:]
        for number in self.nodes.stores:
            self.nodes.seed_ips = participants if number <= VOTERS else spares
            self.nodes.start_store(number)
        for entry, seeds in enumerate([spares, spares[:1], MISSING]):
            self.nodes.seed_ips = seeds
            self.nodes.start_entry(entry)

    # Guards against entries that ask seeds without a log for ever after a loss of all power, as in review/3. The entries
    # have different seeds.
    def test_seeds_without_log_know_each_other_alone_all_restarted_entries_serve_again(self):
        self.kill_all()
        self.start_all()
        self.assert_all_serve("an entry finds no store")

    # Guards against the same when one machine on each side is back without its disk, and the power is lost again before
    # all was well and once more after it.
    def test_disks_lost_on_both_sides_and_power_lost_repeatedly_entries_serve_again(self):
        self.kill_all()
        for number in (1, self.STORES - 1):
            shutil.rmtree(self.nodes.data_folder(number))
        self.start_all()
        self.kill_all()
        self.start_all()
        self.assert_all_serve("an entry finds no store after the second loss")
        self.kill_all()
        self.start_all()
        self.assert_all_serve("an entry finds no store after the third loss")


if __name__ == "__main__":
    unittest.main()

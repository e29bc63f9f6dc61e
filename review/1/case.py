"""A store machine loses its disk, comes back empty and loses its disk again shortly afterwards."""
import json
import pathlib
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import CannotRun, Platform, configuration, play, wait_until  # noqa: E402

SECOND_LOSS_AFTER_S = (0.2, 0.15, 0.25, 0.3)  # From the start with an empty disk; one for each round.
SETTLE_S = 6.0  # More than the 5.3 s that a machine has to catch up.
RECOVER_S = 12.0


def lose_disk(record, node):
    node.kill()
    shutil.rmtree(node.data)
    record(f"{node.name} loses its disk")


def case(record, trouble):
    platform = Platform(record, stores=3, entries=1, memory_mb=320)
    try:
        platform.start()
        if not platform.configure(configuration(1)) or not wait_until(lambda: platform.entries[0].ready()):
            raise CannotRun("the deployment does not start")
        time.sleep(3)
        version = 1
        for pause in SECOND_LOSS_AFTER_S:
            leader = platform.leader()
            node = next(store for store in platform.stores if store is not leader)
            lose_disk(record, node)
            time.sleep(1.0)
            node.start()
            record(f"{node.name} starts with an empty disk")
            if trouble:
                time.sleep(pause)
                lose_disk(record, node)
                time.sleep(1.0)
                node.start()
                record(f"{node.name} starts with an empty disk")
            time.sleep(SETTLE_S)
            version += 1
            if not platform.configure(configuration(version), seconds=RECOVER_S):
                break
        status, data = platform.control("GET", "/-/config/read", seconds=RECOVER_S)
        record(f"operator reads the configuration: {status}")
        platform.trace("membership change|leads in term|start name=storage")
        if status != 200:
            return [f"CONFIG: the acknowledged configuration doesn't come in {RECOVER_S:.0f} s, {SETTLE_S + RECOVER_S:.0f} s after the only machine that was lost is back"]
        return [] if json.loads(data)["version"] >= version - 1 else ["CONFIG: the configuration is older than the acknowledged one"]
    finally:
        platform.close()


play(FOLDER, case)

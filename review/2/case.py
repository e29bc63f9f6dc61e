"""A store machine is emptied while the leading store machine is partitioned from the others and then loses its disk."""
import json
import pathlib
import shutil
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import CannotRun, Platform, configuration, now, play, request, wait_until  # noqa: E402

CUT_AFTER_S = 0.21  # From the acknowledgement of the order to empty a machine to the partition.
CUT_FOR_S = 6.0
RECOVER_S = 12.0


def read_state(platform, node, machine):
    status, _, data = request(node.ip, platform.control_port, "GET", f"/-/retire/{machine.name}/read", timeout=0.5)
    return json.loads(data)["state"] if status == 200 else f"status {status}"


def watch(platform, emptied, end):
    """Reads at all store machines at once until one says that the machine is emptied. Returns the last state."""
    done = threading.Event()

    def read(node):
        seen = None
        while now() < end and not done.is_set():
            state = read_state(platform, node, emptied)
            if state != seen:
                platform.record(f"operator reads at {node.name} that {emptied.name} is {state}")
            seen = state
            if state == "completed":
                done.set()
            time.sleep(0.05)
    for node in platform.stores:
        threading.Thread(target=read, args=(node,), daemon=True).start()
    done.wait(end - now())
    return "completed" if done.is_set() else "active"


def case(record, trouble):
    platform = Platform(record, stores=4, entries=1, with_links=True, memory_mb=130)
    try:
        platform.start()
        if not platform.configure(configuration(7)) or not wait_until(lambda: platform.entries[0].ready()):
            raise CannotRun("the deployment does not start")
        time.sleep(6)  # All four store machines take part by then.
        leader = platform.leader()
        if leader is None:
            raise CannotRun("no store leads")
        emptied = next(node for node in platform.stores if node is not leader)
        status, _ = platform.control("POST", f"/-/retire/{emptied.name}/begin", json.dumps({"duration-s": 10}))
        record(f"operator empties {emptied.name}: {status}")
        if status != 200:
            raise CannotRun("the order to empty a machine is not accepted")
        began = now()
        if trouble:
            time.sleep(CUT_AFTER_S)
            platform.links.is_cut = lambda source, target: (source is leader) != (target is leader)
            record(f"{leader.name} is partitioned from all machines")
        state = watch(platform, emptied, began + 10)
        if state == "completed":
            emptied.kill()
            shutil.rmtree(emptied.data)
            record(f"{emptied.name} is removed with its disk")
        if trouble:
            leader.kill()
            shutil.rmtree(leader.data)
            record(f"{leader.name} loses its disk")
            time.sleep(1)
            platform.links.is_cut = lambda source, target: False
            leader.start()
            record("the partition is healed and the machine starts with an empty disk")
        status, data = platform.control("GET", "/-/config/read", seconds=RECOVER_S + 8)
        record(f"operator reads the configuration: {status}")
        platform.trace("membership change|retire instance|leads in term|start name=storage")
        if status != 200:
            return [f"CONFIG: the acknowledged configuration doesn't come in {RECOVER_S + 8:.0f} s after the only machine that was lost is back"]
        return [] if json.loads(data)["version"] >= 7 else ["CONFIG: the configuration is older than the acknowledged one"]
    finally:
        platform.close()


play(FOLDER, case)

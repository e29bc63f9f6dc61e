"""One client submits one batch job of legal size with very many small items. From its acceptance on the stores change their
leader all the time: no order of the operator is acknowledged, and work that was accepted before is never answered."""
import json
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
from deployment import EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, MODEL, TROUBLE, Deployment, ModelServer, NotRun, Record, configuration, finish, job_body, wait_until  # noqa: E402

ITEMS = 200_000 if TROUBLE else 200
MAX_BODY_BYTES = 33_554_432  # max-body-bytes of the configuration.
ACK_S = 4.0  # ack-ms of the small deployments.
ROUTE_S = 0.003  # Added for each route of the configuration.
WATCH_S = 40.0  # An acknowledgement that comes within this time, but late, is not counted as a hang.


def large_job():
    """Items of about 55 bytes each; the path is the route's prefix."""
    items = ",".join(f'{{"id":"{number:x}","path":"/batch/","headers":{{}},"body":""}}' for number in range(1, ITEMS + 1))
    return f'{{"step":0,"model":"{MODEL}","min-version":1,"group-count":1,"requests":[{items}]}}'


class Trainer(threading.Thread):
    """Reads a step of its own twice a second, as clients do."""

    def __init__(self, deployment, record, job):
        super().__init__(daemon=True)
        self.deployment, self.record, self.job = deployment, record, job
        self.listed, self.statuses = 0, []
        self.until = threading.Event()

    def run(self):
        number = 0
        while not self.until.wait(0.5):
            number += 1
            status, data, _ = self.deployment.entry_call(number % 2, "GET", f"/-/lots/{self.job}?after={self.listed}", timeout=3)
            self.statuses.append((time.monotonic(), status))
            if status == 200:
                self.listed += len(json.loads(data)["results"])
            self.record(f"trainer reads {self.job}: {status}, {self.listed} results so far")


def submit(deployment, record, job, text, entry, seconds):
    def is_accepted():
        status, _, _ = deployment.entry_call(entry, "POST", "/batch/x", text, {"X-Attempt-Id": job, "Content-Type": "application/json"}, timeout=10)
        record(f"client submits {job}, {len(text)} bytes: {status}")
        return status == 202

    if not wait_until(is_accepted, seconds, 0.3):
        raise NotRun(f"{job} was not accepted")


def play(record, state):
    deployment = state["deployment"] = Deployment(record)
    deployment.configure(configuration(1))
    deployment.wait_ready()
    servers = state["servers"] = [ModelServer(deployment, f"i-model-{number}", f"zone{number}") for number in range(3)]
    for server in servers:
        if not wait_until(server.beat, 10):
            raise NotRun("a server was not registered")
    text = large_job()
    if len(text) > MAX_BODY_BYTES:
        raise NotRun("the job is larger than a client may send")
    submit(deployment, record, "step-0", job_body(0, 1, [(f"s{number}", f"g{number // 4}") for number in range(88)], 20), 1, 10)
    trainer = Trainer(deployment, record, "step-0")
    trainer.start()
    submit(deployment, record, "large", text, 0, 15)
    accepted = time.monotonic()
    document = configuration(2)
    order = json.dumps(document)
    acknowledged = None
    while acknowledged is None and time.monotonic() < accepted + WATCH_S:
        status, _ = deployment.control_call("POST", "/-/config/replace", order)
        record(f"operator sends configuration 2 to the stores in turn: {status}")
        if status == 200:
            acknowledged = time.monotonic() - accepted
        time.sleep(0.1)
    time.sleep(max(0.0, accepted + (WATCH_S if TROUBLE else 10) - time.monotonic()))
    trainer.until.set()
    trainer.join()
    answered = [status for at, status in trainer.statuses if at > accepted + ACK_S and status == 200]
    terms = sum(deployment.log_text(f"store{number}").count("leads in term") for number in range(3))
    exits = [name for name, process in deployment.processes.items() if process.poll() is not None]
    limit = ACK_S + ROUTE_S * len(document["routes"])
    text = (f"Acks: configuration 2 {'acknowledged after %.1f s' % acknowledged if acknowledged is not None else 'not acknowledged in %.0f s' % WATCH_S}, allowed are {limit:.1f} s; "
            f"the step accepted before: {trainer.listed} of 88 results listed, {len(answered)} reads answered later than {ACK_S} s after the large job; "
            f"{terms} begins and ends of a leadership; processes that ended: {exits}")
    return (EXIT_BROKEN if acknowledged is None else EXIT_HELD), text


def main():
    record = Record(HERE / "record.txt")
    state = {"deployment": None, "servers": []}
    try:
        verdict, text = play(record, state)
    except (NotRun, OSError) as error:
        verdict, text = EXIT_NOT_RUN, f"not run: {error}"
    return finish(record, state["deployment"], state["servers"], verdict, text)


if __name__ == "__main__":
    sys.exit(main())

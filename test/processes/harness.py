"""Starts daemons and stand-ins for process tests, and ends all of them by process id.

Programs are found through the environment variable AZUREPADDLE_BUILD. Every wait has a generous bound and a condition;
no test passes or fails by the time something takes. Use ProcessTest as the base class:

    class Example(ProcessTest):
        def test_engine_started_isListed(self):
            cluster = self.cluster(3)
            cluster.start()
            engine = self.engine("e1", "model", cluster.addresses)
            self.wait(lambda: cluster.endpoint("e1"), "endpoint e1 is listed")
"""
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest
import urllib.error
import urllib.request

BUILD = pathlib.Path(os.environ.get("AZUREPADDLE_BUILD", pathlib.Path(__file__).resolve().parents[2] / "build"))
KNOWN_RED = set(os.environ.get("AZUREPADDLE_KNOWN_RED", "").split())
WAIT_SECONDS = 60
PEER_SECRET = "peer-secret-for-tests-only"
ENDPOINT_SECRET = "endpoint-secret-for-tests-only"
OPERATOR_SECRET = "operator-secret-for-tests-only"


def free_ports(count):
    """Ports that were free a moment ago. All are held until the last is drawn, so that none is drawn twice. They are below
    those that the system gives to outgoing connections: one of these could take a port before its use."""
    sockets = []
    try:
        while len(sockets) < count:
            probe = socket.socket()
            try:
                probe.bind(("0.0.0.0", random.randrange(20000, 32000)))
                sockets.append(probe)
            except OSError:
                probe.close()
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def wait_for(condition, what, seconds=WAIT_SECONDS, interval=0.05):
    """Returns the first true result of the condition. An exception of a call over HTTP counts as not yet."""
    deadline = time.monotonic() + seconds
    last = None
    while time.monotonic() < deadline:
        try:
            result = condition()
            if result:
                return result
            last = result
        except (OSError, ValueError, KeyError) as error:
            last = error
        time.sleep(interval)
    raise AssertionError(f"after {seconds} s still waiting until {what}; last: {last!r}")


class Reply:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(method, address, path, body=None, token=None, headers=None, seconds=30):
    """One HTTP call over a new connection. Raises OSError if there is no answer."""
    data = body if body is None or isinstance(body, bytes) else body.encode() if isinstance(body, str) else json.dumps(body).encode()
    if method == "POST" and data is None:
        data = b""
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=dict(headers or {}))
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=seconds) as answer:
            return Reply(answer.status, answer.headers, answer.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.headers, error.read())


class Process:
    """One program started by a test. Its output goes to files in the test's folder."""

    def __init__(self, folder, name, program, arguments, environment=None):
        self.name = name
        self.command = [str(BUILD / program)] + [str(argument) for argument in arguments]
        self.out = folder / f"{name}.out"
        self.err = folder / f"{name}.err"
        self.environment = dict(os.environ, **(environment or {}))
        self.popen = None
        self.is_stopped = False

    def start(self):
        with open(self.out, "ab") as out, open(self.err, "ab") as err:
            self.popen = subprocess.Popen(self.command, stdout=out, stderr=err, env=self.environment, stdin=subprocess.DEVNULL)
        return self

    @property
    def pid(self):
        return self.popen.pid

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        """SIGKILL, as a crash of the process."""
        self._end(signal.SIGKILL)

    def terminate(self, seconds=WAIT_SECONDS):
        """SIGTERM, as a graceful stop; returns the exit code."""
        self._end(signal.SIGTERM, seconds)
        return self.popen.returncode

    def pause(self):
        """SIGSTOP: the process looks alive to the kernel, and silent to everyone else."""
        self.popen.send_signal(signal.SIGSTOP)
        self.is_stopped = True

    def resume(self):
        self.popen.send_signal(signal.SIGCONT)
        self.is_stopped = False

    def restart(self):
        self.kill()
        return self.start()

    def wait(self, seconds=WAIT_SECONDS):
        """Waits for the program to end by itself and returns its exit code."""
        return self.popen.wait(seconds)

    def output(self):
        return self.out.read_text()

    def errors(self):
        return self.err.read_text()

    def json(self):
        """The JSON value that the program printed last."""
        lines = [line for line in self.output().splitlines() if line.strip()]
        return json.loads(lines[-1])

    def _end(self, number, seconds=WAIT_SECONDS):
        if not self.is_running():
            return
        if self.is_stopped:
            self.resume()
        self.popen.send_signal(number)
        try:
            self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            raise AssertionError(f"{self.name} did not end within {seconds} s of signal {number}") from None


class Server(Process):
    """A stand-in that serves HTTP on a port which it keeps over restarts."""

    def __init__(self, folder, name, subcommand, arguments, environment=None):
        self.port = free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        super().__init__(folder, name, "azurepaddle-standin", [subcommand, "--port", self.port, *arguments], environment)

    def start(self):
        super().start()
        wait_for(self._listens, f"{self.name} listens")
        return self

    def _listens(self):
        if not self.is_running():
            raise AssertionError(f"{self.name} ended with code {self.popen.returncode}: {self.errors()}")
        with socket.create_connection(("127.0.0.1", self.port), 1):
            return True

    def get(self, path):
        return call("GET", self.address, path).json()

    def post(self, path, body=None, **options):
        return call("POST", self.address, path, body, **options)

    def fault(self, **members):
        return self.post("/standin/fault", members).json()

    def ran(self):
        return self.get("/standin/ran")


class Daemon(Process):
    """One azurepaddled. Its settings are written by the cluster."""

    def __init__(self, folder, name, settings, http_port, peer_port):
        self.address = f"127.0.0.1:{http_port}"
        self.http_port = http_port
        self.peer_port = peer_port
        self.settings = settings
        super().__init__(folder, name, "azurepaddled", ["--config", settings])

    def get(self, path):
        return call("GET", self.address, path, token=OPERATOR_SECRET).json()

    def is_ready(self):
        return call("GET", self.address, "/readyz", seconds=5).status == 200


class Cluster:
    """Several daemons with common seeds; the first `voters` have a disk and vote."""

    def __init__(self, test, count, voters=3, settings=""):
        ports = free_ports(count * 2)
        names = [f"i{n + 1}" for n in range(count)]
        seeds = [f"{name}=127.0.0.1:{port}" for name, port in zip(names, ports[count:])]
        self.test = test
        self.daemons = []
        for n, name in enumerate(names):
            data = test.folder / f"{name}.data"
            data.mkdir()
            votes = n < voters
            text = "\n".join([
                "[instance]", f"name = {name}", f"data_centre = dc{n % 3 + 1}",
                "roles = entry, control" if votes else "roles = entry",
                f"data_folder = {data}" if votes else "",
                "[http]", f"port = {ports[n]}", "threads = 64", "upstream_threads = 64",
                "[peer]", f"port = {ports[count + n]}", f"secret = {PEER_SECRET}",
                *[f"seeds = {seed}" for seed in seeds],
                "voters = " + ", ".join(names[:voters]),
                "[secrets]", f"endpoint = {ENDPOINT_SECRET}", f"operator = {OPERATOR_SECRET}", settings, ""])
            path = test.folder / f"{name}.ini"
            path.write_text(text)
            self.daemons.append(test.add(Daemon(test.folder, name, path, ports[n], ports[count + n])))

    @property
    def addresses(self):
        return [daemon.address for daemon in self.daemons]

    def __getitem__(self, number):
        return self.daemons[number]

    def start(self, configuration=None):
        """Starts all daemons, applies a configuration if one is given, and waits until all are ready."""
        for daemon in self.daemons:
            daemon.start()
        if configuration is not None:
            wait_for(lambda: self.apply(configuration)["result"] in ("accepted", "already-accepted"), "the configuration is accepted")
        for daemon in self.daemons:
            wait_for(daemon.is_ready, f"{daemon.name} is ready")
        return self

    def apply(self, text, address=None):
        """Submits a configuration to one instance; any if none is named."""
        last = None
        for target in [address] if address else self.addresses:
            try:
                return call("POST", target, "/v1/config", text, token=OPERATOR_SECRET).json()
            except OSError as error:
                last = error
        raise last

    def endpoint(self, endpoint_id, daemon=0):
        """The endpoint as one daemon lists it, or None."""
        for endpoint in self.daemons[daemon].get("/v1/endpoints")["endpoints"]:
            if endpoint["id"] == endpoint_id:
                return endpoint
        return None


def skip_known_red(test):
    """Passes over a test that KNOWN-RED.txt lists."""
    if f"{test.__module__}.{type(test).__name__}.{test._testMethodName}" in KNOWN_RED:
        test.skipTest("listed in KNOWN-RED.txt")


class ProcessTest(unittest.TestCase):
    """Base class: a folder for each test, and an end for everything it started."""

    def setUp(self):
        skip_known_red(self)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="azurepaddle-test-"))
        self.processes = []
        self.addCleanup(self._cleanUp)

    def _cleanUp(self):
        for process in reversed(self.processes):
            process.kill()
        outcome = getattr(self, "_outcome", None)
        result = getattr(outcome, "result", None)
        problems = (result.failures + result.errors) if result else []
        if any(test is self for test, _ in problems):
            for process in self.processes:
                if process.err.exists():
                    print(f"--- {process.name}, last lines of standard error:\n{process.errors()[-2000:]}")
        shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, process):
        """Ends the process with the test."""
        self.processes.append(process)
        return process

    def wait(self, condition, what, seconds=WAIT_SECONDS):
        return wait_for(condition, what, seconds)

    def cluster(self, count, voters=3, settings=""):
        return Cluster(self, count, voters, settings)

    def engine(self, name, service, instances=(), *arguments, time_scale=0.1):
        """Starts an engine, ten times faster than a real one unless told otherwise."""
        options = ["--id", name, "--service", service, "--time-scale", time_scale, "--ran-file", self.folder / f"{name}.ran"]
        return self._server(name, "engine", [*options, *self._instances(instances), *arguments])

    def service(self, name, service, instances=(), *arguments, kind="service"):
        """Starts a plain service, or with kind="scorer" a scorer."""
        options = ["--id", name, "--service", service, "--ran-file", self.folder / f"{name}.ran"]
        return self._server(name, kind, [*options, *self._instances(instances), *arguments])

    def store(self, *arguments):
        return self._server("store", "store", arguments)

    def program(self, name, program, *arguments, environment=None):
        """Starts a program that ends by itself, such as a trainer or the operators' tool."""
        return self.add(Process(self.folder, name, program, arguments, environment)).start()

    def _server(self, name, subcommand, arguments):
        return self.add(Server(self.folder, name, subcommand, arguments)).start()

    @staticmethod
    def _instances(instances):
        return ["--instances", ",".join(instances), "--token", ENDPOINT_SECRET] if instances else []


class Deployment(ProcessTest):
    """The helpers of the process tests without a test around them, for tools."""

    def __init__(self):
        super().__init__()
        self.setUp()

    def runTest(self):
        """Not run by a test runner."""

    def end(self):
        self.doCleanups()

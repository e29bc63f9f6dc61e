"""Bad input gets a clear error, loses nothing and slows nobody else; the client is Python's, not the project's own library."""

import socket
import ssl
import subprocess
import urllib.request

from harness import OPERATOR_SECRET, ProcessTest, call
from scenarios import TENANTS, configuration

COMPLETION = {"model": "model", "prompt": "hello", "max_tokens": 5}


class BadInput(ProcessTest):
    def setUp(self):
        super().setUp()
        self.daemons = self.cluster(3).start(configuration())
        self.engines = [self.engine("e1", "model", self.daemons.addresses)]
        self.wait(lambda: self.daemons.endpoint("e1"), "the endpoint is listed")
        self.at = self.daemons[0].address

    def complete(self, body=None, **options):
        return call("POST", self.at, "/v1/completions", COMPLETION if body is None else body, **options)

    def check_refused(self, reply, status, kind):
        self.assertEqual(reply.status, status, reply.body)
        problem = reply.json()
        self.assertTrue(problem["type"].endswith(kind), problem)
        self.assertEqual(problem["outcome"], "not-run", problem)
        self.assertEqual(self.engines[0].ran().get("request_ids", {}), {})

    def test_caller_withBadRequests_getsReasonsAndNothingRuns(self):
        """Guards against requests that run, or crash the instance, although they are malformed or not allowed."""
        good = TENANTS["red"]
        self.check_refused(self.complete(token="nobody"), 401, "unauthenticated")
        self.check_refused(self.complete("{not json", token=good), 400, "bad-request")
        self.check_refused(self.complete({"model": "model"}, token=good), 400, "bad-request")
        self.check_refused(self.complete(dict(COMPLETION, n=3), token=good), 400, "bad-request")
        self.check_refused(self.complete(dict(COMPLETION, max_tokens="many"), token=good), 400, "bad-request")
        self.check_refused(self.complete(dict(COMPLETION, model="other"), token=good), 404, "not-found")
        self.check_refused(self.complete(token=good, headers={"X-Azurepaddle-Deadline-Ms": "soon"}), 400, "bad-request")
        self.check_refused(self.complete(token=good, headers={"X-Azurepaddle-Class": "medium"}), 400, "bad-request")
        self.check_refused(call("POST", self.at, "/v1/runs/lessons/pull", {"cursor": 0, "pull": 1, "version": 1}, token=good), 403, "forbidden")
        self.check_refused(call("POST", self.at, "/v1/runs/none/pull", {}, token=good), 404, "not-found")
        self.assertEqual(self.complete(token=good).status, 200)

    def test_body_beyondTheLimit_isRefused(self):
        """Guards against memory use without bound by one caller."""
        reply = self.complete("x" * (9 * 1024 * 1024), token=TENANTS["red"])
        self.assertEqual(reply.status, 413, reply.body)
        self.assertEqual(self.complete(token=TENANTS["red"]).status, 200)

    def test_endpointOrOperator_withWrongSecret_isRefused(self):
        """Guards against endpoints and configurations that nobody vouches for."""
        announcement = {"id": "fake", "address": "127.0.0.1:1", "service": "model", "slots": 4, "incarnation": 1}
        self.assertEqual(call("POST", self.at, "/v1/endpoints/announce", announcement, token="wrong").status, 401)
        self.assertIsNone(self.daemons.endpoint("fake"))
        self.assertEqual(call("POST", self.at, "/v1/config", configuration(number=2), token="wrong").status, 401)
        self.assertEqual(self.daemons[0].get("/v1/config")["number"], 1)

    def test_configuration_withSeveralFaults_isRefusedWithAll(self):
        """Guards against a configuration that is applied in part, or refused with its first fault only."""
        text = configuration(number=2) + "\n[service model]\nkind = rocket\n\n[run other]\ntenant = nobody\nservice = nothing\ncolour = red\n"
        reply = call("POST", self.at, "/v1/config", text, token=OPERATOR_SECRET)
        self.assertEqual(reply.status, 422, reply.body)
        self.assertGreaterEqual(len(reply.json()["problems"]), 3, reply.json())
        self.assertEqual(self.daemons[0].get("/v1/config")["number"], 1)

    def test_slowCallers_holdingConnections_delayNobodyElse(self):
        """Guards against callers that send one byte now and then and so take all threads of an instance."""
        slow = []
        for _ in range(40):
            connection = socket.create_connection(self.at.split(":"))
            connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
            slow.append(connection)
        self.assertEqual(self.complete(token=TENANTS["red"]).status, 200)
        for connection in slow:
            connection.close()

    def test_streamedAnswer_readByAnotherClient_isWhole(self):
        """Guards against a stream that only the project's own library can read."""
        reply = self.complete(dict(COMPLETION, stream=True), token=TENANTS["red"])
        text = reply.body.decode() if isinstance(reply.body, bytes) else reply.body
        self.assertTrue(text.rstrip().endswith("data: [DONE]"), text)
        self.assertEqual(reply.headers["X-Azurepaddle-Weight-Versions"], "1")


class Tls(ProcessTest):
    def test_daemon_withCertificate_servesOnlyTls(self):
        """Guards against answers in clear text although a certificate is configured."""
        key, certificate = self.folder / "key.pem", self.folder / "cert.pem"
        subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2", "-subj",
                        "/CN=localhost", "-addext", "subjectAltName=IP:127.0.0.1", "-keyout", key, "-out", certificate], check=True, capture_output=True)
        cluster = self.cluster(1, voters=1, settings=f"[http]\ntls_certificate = {certificate}\ntls_key = {key}\n")
        path = cluster[0].settings
        text = path.read_text()
        extra = f"tls_certificate = {certificate}\ntls_key = {key}\n"
        path.write_text(text.replace(f"\n[http]\n{extra}", "").replace("[http]\n", "[http]\n" + extra, 1))
        cluster[0].start()
        context = ssl.create_default_context(cafile=certificate)
        url = f"https://{cluster[0].address}/healthz"
        self.wait(lambda: urllib.request.urlopen(url, context=context, timeout=5).status == 200, "the daemon answers over TLS")
        with self.assertRaises(OSError):
            urllib.request.urlopen(f"http://{cluster[0].address}/healthz", timeout=5)

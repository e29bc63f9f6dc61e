"""Workspaces and their keys at nodes that run as separate processes."""
import json
import signal
import unittest

from harness import skip_known_red
from nodes import HOST, Deployment, Endpoint, call, configuration, wait_until

WORKSPACES = [{"name": "blue", "api-keys": ["blue-key-1", "blue-key-2"], "priority": 2}, {"name": "red", "api-keys": ["red-key"]}]


def with_key(key):
    return {"Authorization": f"Bearer {key}"}


class WorkspaceTest(unittest.TestCase):
    def setUp(self):
        skip_known_red(self)
        self.nodes = Deployment()
        self.addCleanup(self.nodes.close)
        self.endpoints = [Endpoint("models"), Endpoint("plain")]
        for endpoint in self.endpoints:
            self.addCleanup(endpoint.close)
        self.assertTrue(wait_until(lambda: self.put(1, WORKSPACES) == 200))
        self.assertTrue(wait_until(lambda: call(self.nodes.ready_ports[0], "GET", "/-/readyz")[0] == 200))
        self.assertTrue(wait_until(lambda: all(endpoint.beat(self.nodes.control_ports) for endpoint in self.endpoints)))
        self.assertTrue(wait_until(lambda: self.plain("blue-key-1", "first") == 200))

    def put(self, version, workspaces):
        changed = configuration(version)
        changed["tenants"] = workspaces
        changed["routes"].append({"name": "open", "host": HOST, "path-prefix": "/plain/open/", "route-type": "idempotent", "timeout-ms": 3000, "service": "plain", "max-attempts": 2, "public": True})
        return self.nodes.on_control("POST", "/-/config/replace", json.dumps(changed))[0]

    def plain(self, key, identity, path="/plain/x", headers=None):
        fields = {"Host": HOST, "X-Attempt-Id": identity, **(with_key(key) if key else {}), **(headers or {})}
        return call(self.nodes.entry_ports[0], "POST", path, b"hello", fields)[0]

    def fields_of(self, endpoint, identity):
        """The header fields with which a request reached the endpoint; None if it did not."""
        return next((fields for fields in self.endpoints[endpoint].run_headers if fields["X-Attempt-Id"] == identity), None)

    def key_is_in_a_log(self, key):
        return any(key in self.nodes.log_text(name) for name in ["entry0", "store0", "store1", "store2"])

    # Guards against a request that runs without a valid key, and against a key or a false workspace that reaches an endpoint.
    def test_requests_run_for_the_workspace_of_their_key_only(self):
        self.assertEqual(self.plain("blue-key-2", "spoofed", headers={"X-Tenant": "red"}), 200)
        fields = self.fields_of(1, "spoofed")
        self.assertEqual((fields.get_all("X-Tenant"), fields["Authorization"], fields["X-Request-Priority"]), (["blue"], None, "2"))
        for identity, key in [("no-key", None), ("wrong-key", "blue-key"), ("long-key", "blue-key-11")]:
            self.assertEqual(self.plain(key, identity), 401)
            self.assertIsNone(self.fields_of(1, identity))
        for identity, key, workspace in [("open", None, None), ("open-wrong", "x-key-x", None), ("open-red", "red-key", ["red"])]:
            self.assertEqual(self.plain(key, identity, "/plain/open/1", {"X-Tenant": "blue"} if not key else {}), 200)
            fields = self.fields_of(1, identity)
            self.assertEqual((fields.get_all("X-Tenant"), fields["Authorization"]), (workspace, None))
        for key in ["blue-key-1", "blue-key-2", "red-key", "x-key-x"]:
            self.assertFalse(self.key_is_in_a_log(key), key)

    # Guards against a batch job that callers of another workspace can read or end, and against items that run for another
    # workspace than that of their job.
    def test_job_belongs_to_the_workspace_that_submitted_it(self):
        spoofed = {"X-Tenant": "red", "authorization": "Bearer red-key"}
        self.assertEqual(self.nodes.submit("job", ["a", "b"]), 401)
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ["a", "b"], headers=with_key("blue-key-1"), item_headers=spoofed) == 202))
        self.assertEqual(self.nodes.submit("job", ["a", "b"], headers=with_key("blue-key-2")), 202)
        self.assertEqual(self.nodes.submit("job", ["a", "b"], headers=with_key("red-key")), 503)
        self.assertTrue(wait_until(lambda: len(self.nodes.read("job", headers=with_key("blue-key-2"))[1] or []) == 2))
        fields = self.fields_of(0, "a")
        self.assertEqual((fields.get_all("X-Tenant"), fields["Authorization"]), (["blue"], None))
        entry = self.nodes.entry_ports[0]
        for method, path in [("GET", "/-/lots/job?after=0"), ("GET", "/-/items/job?id=a"), ("DELETE", "/-/lots/job")]:
            foreign, unknown = [call(entry, method, path.replace("job", job), None, {"Host": HOST, **with_key("red-key")}) for job in ["job", "none"]]
            self.assertEqual(foreign, unknown)
            self.assertEqual(foreign[0], 404)
            self.assertEqual(call(entry, method, path, None, {"Host": HOST})[0], 401)
        self.assertEqual(call(entry, "DELETE", "/-/lots/job", None, {"Host": HOST, **with_key("blue-key-1")})[0], 200)

    # Guards against a revoked key that is still accepted, and against one that ends or hides the jobs of its workspace.
    def test_key_revoked_is_refused_and_job_stays_readable_with_another(self):
        self.assertTrue(wait_until(lambda: self.nodes.submit("job", ["a"], headers=with_key("blue-key-1")) == 202))
        self.assertEqual(self.put(2, [{"name": "blue", "api-keys": ["blue-key-2"]}, WORKSPACES[1]]), 200)
        self.assertTrue(wait_until(lambda: self.plain("blue-key-1", "revoked") == 401))
        self.assertEqual(self.nodes.read("job", headers=with_key("blue-key-1"))[0], 401)
        self.assertTrue(wait_until(lambda: len(self.nodes.read("job", headers=with_key("blue-key-2"))[1] or []) == 1))

    # Guards against an entry that refuses a key for good although a newer configuration may have added it.
    def test_entry_without_store_unknown_key_refused_as_unavailable_known_key_served(self):
        self.assertEqual(self.plain("new-key", "1"), 401)
        for process in self.nodes.stores.values():
            process.send_signal(signal.SIGSTOP)
        self.assertTrue(wait_until(lambda: self.plain("new-key", "2") == 503))
        self.assertEqual(self.plain("red-key", "3"), 200)
        for process in self.nodes.stores.values():
            process.send_signal(signal.SIGCONT)
        self.assertTrue(wait_until(lambda: self.plain("new-key", "4") == 401))

    # Guards against a configuration that is accepted although a key identifies two workspaces, and a refusal that quotes it.
    def test_configuration_with_shared_key_is_refused_by_the_names_of_both(self):
        changed = configuration(9)
        changed["tenants"] = [*WORKSPACES, {"name": "green", "api-keys": ["red-key"]}]
        status, message = self.nodes.on_control("POST", "/-/config/replace", json.dumps(changed))
        self.assertEqual(status, 400)
        self.assertIn(b"red and green", message)
        self.assertNotIn(b"red-key", message)


if __name__ == "__main__":
    unittest.main()

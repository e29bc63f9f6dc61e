"""An instance in a few lines, for tests of the stand-ins and of the operators' tool. Keeps everything in memory."""
import hashlib
import http.server
import json
import threading

TOKEN_BYTES = 8


def sample_text(prompt, index, version, tokens):
    """The text that an engine stand-in generates; see docs/standin.md."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    words = (hashlib.sha256(f"{digest}/{index}/{version}/{position}".encode()).hexdigest() for position in range(tokens))
    return "".join(word[:TOKEN_BYTES - 1] + " " for word in words)


class FakeInstance:
    """Serves the paths that a test sets in `answers` ((method, path) to a function of the body), and those of a run."""

    def __init__(self):
        self.answers = {}
        self.calls = []
        self.announced = {}
        self.groups = []
        self.version = 0
        self.lag = 0
        self.lock = threading.Lock()
        instance = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()
                with instance.lock:
                    instance.calls.append((self.command, self.path, self.headers.get("Authorization"), body))
                    status, reply = instance.answer(self.command, self.path, body)
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                try:
                    self.wfile.write(data)
                except BrokenPipeError:
                    pass  # The client was killed, as some tests do.

            do_GET = do_POST = handle_any

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def answer(self, method, path, body):
        if (method, path) in self.answers:
            return self.answers[method, path](body)
        value = json.loads(body) if body else {}
        if path == "/v1/endpoints/announce":
            self.announced[value["id"]] = value
        elif path == "/v1/endpoints/leave":
            self.announced.pop(value["id"], None)
        elif path.endswith("/groups"):
            known = {group["id"] for group in self.groups}
            self.groups += [group for group in value["groups"] if group["id"] not in known]
        elif path.endswith("/version"):
            self.version = value["version"]
        elif path.endswith("/pull"):
            return 200, self.pull(value)
        else:
            return 404, {"title": "no such path", "outcome": "not-run"}
        return 200, {}

    def pull(self, value):
        """One group a pull, in order of submission; sequence numbers start at 1."""
        samples = []
        sequence = 0
        for group in self.groups:
            first = sequence + 1
            sequence += group["samples"]
            if sequence <= value["cursor"]:
                continue
            version = max(value["version"] - self.lag, 0)
            spans = [{"from": 0, "tokens": group["max_tokens"], "weight_version": version}]
            samples = [{"sequence": first + n, "group": group["id"], "index": n, "spans": spans, "tokens": group["max_tokens"],
                        "text": sample_text(group["prompt"], n, version, group["max_tokens"])} for n in range(group["samples"])]
            break
        return {"pull": value["pull"], "cursor": value["cursor"], "samples": samples,
                "next_cursor": samples[-1]["sequence"] if samples else value["cursor"]}

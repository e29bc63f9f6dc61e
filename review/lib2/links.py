"""A link between a stand-in and the nodes that can be partitioned: a proxy on loopback addresses."""
import socket
import threading
import time

POLL = 0.01  # Seconds.


class Link:
    """Forwards connections to a target. While it is cut, no byte goes through in either direction. What was sent meanwhile on a
    connection from before goes through `lag` seconds after the cut has healed, as retransmitted bytes do, also if its sender
    has closed the connection by then. Connections that are opened during the cut never reach the target; those that are opened
    after it go through at once."""

    def __init__(self, target, lag=0.0):
        self.target, self.lag = target, lag
        self.is_cut = False
        self.healed_at = 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.healed_at = time.monotonic()
        self.is_cut = False

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        opened_at = time.monotonic()
        if self.is_cut:
            return self.discard(client)
        try:
            server = socket.create_connection(self.target, timeout=2)
            server.settimeout(None)
        except OSError:
            return client.close()
        for source, sink in [(client, server), (server, client)]:
            threading.Thread(target=self.pump, args=(source, sink, opened_at), daemon=True).start()

    @staticmethod
    def discard(client):
        """Reads until the client gives up."""
        try:
            while client.recv(65536):
                pass
        except OSError:
            pass
        client.close()

    def pump(self, source, sink, opened_at):
        try:
            while data := source.recv(65536):
                self.hold(opened_at)
                sink.sendall(data)
            self.hold(opened_at)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                end.close()

    def hold(self, opened_at):
        was_cut = self.is_cut
        while self.is_cut:
            time.sleep(POLL)
        if was_cut and opened_at < self.healed_at:
            time.sleep(max(0.0, self.healed_at + self.lag - time.monotonic()))

    def close(self):
        self.listener.close()

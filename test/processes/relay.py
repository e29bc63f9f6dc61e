"""A relay between two processes on one machine that delays, silences, cuts one way or resets the connections it carries."""
import socket
import struct
import threading
import time

OPEN, DELAY, SILENT, DEAF, MUTE = "open", "delay", "silent", "deaf", "mute"
CHUNK = 65536
POLL = 0.02  # Seconds.


class Relay:
    """Forwards connections from one address to another. In the mode DEAF nothing reaches the target, in the mode MUTE nothing
    comes back from it, in the mode SILENT both. Connections that were silenced are reset when the relay opens again."""

    def __init__(self, listen, target):
        self.target = target
        self.mode = OPEN
        self.delay = 0.0
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(listen)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self.target, timeout=1)
            except OSError:
                self.abort(client)
                continue
            server.settimeout(None)
            pair = (client, server)
            with self.lock:
                self.pairs.add(pair)
            for source, sink, blocked in [(client, server, (SILENT, DEAF)), (server, client, (SILENT, MUTE))]:
                threading.Thread(target=self.pump, args=(pair, source, sink, blocked), daemon=True).start()

    def pump(self, pair, source, sink, blocked):
        try:
            while data := source.recv(CHUNK):
                while self.mode in blocked and pair in self.pairs:
                    time.sleep(POLL)
                if self.mode == DELAY:
                    time.sleep(self.delay)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(pair)

    @staticmethod
    def abort(connection):
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        connection.close()

    def drop(self, pair):
        with self.lock:
            self.pairs.discard(pair)
        for connection in pair:
            self.abort(connection)

    def reset(self):
        for pair in list(self.pairs):
            self.drop(pair)

    def set(self, mode, delay=0.0):
        was_silenced = self.mode in (SILENT, DEAF, MUTE)
        self.delay = delay
        self.mode = mode
        if was_silenced:
            self.reset()

    def close(self):
        self.listener.close()
        self.reset()

"""A server that sends without end, in a process of its own.

A client in the tests always finds bytes to read, so that it leaves the event
loop to others only if its code does.
"""

import contextlib
import socket
import subprocess
import sys

import gevent.server


class EndlessServer:
    """Responds to each connection with a start and an endless rest.

    Attributes:
        address: Address that it listens on, `ip:port`.
    """

    def __init__(self, start: bytes, repeated: bytes):
        self.process = subprocess.Popen(
            [sys.executable, __file__],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.process.stdin.write(f"{start.hex()}\n{repeated.hex()}\n")
        self.process.stdin.flush()
        self.address = self.process.stdout.readline().strip()

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.process.kill()
        self.process.communicate()


def _serve(start: bytes, repeated: bytes) -> None:
    def send(sock: socket.socket, _address: object) -> None:
        with sock, contextlib.suppress(OSError):
            sock.recv(4096)
            sock.sendall(start)
            while True:
                sock.sendall(repeated)

    server = gevent.server.StreamServer(("127.0.0.1", 0), send)
    server.start()
    print(f"127.0.0.1:{server.server_port}", flush=True)
    # The pipe ends with the process of the tests.
    gevent.get_hub().threadpool.apply(sys.stdin.read)
    sys.exit()


if __name__ == "__main__":
    _serve(*(bytes.fromhex(sys.stdin.readline()) for _ in range(2)))

"""A server that sends one scripted response per connection."""

import contextlib

import gevent.server


def response(status: str, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *headers, "", ""]
    return "\r\n".join(lines).encode()


class ScriptedServer:
    """Sends one raw response per connection; b"" closes it without one.

    Attributes:
        requests: Raw requests as received.
    """

    def __init__(self, *responses: bytes) -> None:
        self.responses = list(responses)
        self.requests: list[bytes] = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.serve)

    def serve(self, connection, _):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        self.requests.append(received)
        connection.sendall(self.responses.pop(0))
        connection.close()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server.server_port}"


@contextlib.contextmanager
def run(*responses: bytes):
    server = ScriptedServer(*responses)
    server.server.start()
    try:
        yield server
    finally:
        server.server.stop()

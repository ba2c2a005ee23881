"""A server that answers each connection as scripted."""

import contextlib

import gevent.server


def answer(status: str, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *headers, "", ""]
    return "\r\n".join(lines).encode()


class ScriptedServer:
    """Serves one scripted raw answer per connection; b"" closes at once.

    Attributes:
        requests: Raw requests as received.
    """

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.requests: list[bytes] = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.serve)

    def serve(self, connection, _):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        self.requests.append(received)
        connection.sendall(self.answers.pop(0))
        connection.close()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server.server_port}"


@contextlib.contextmanager
def serving(*answers: bytes):
    scripted = ScriptedServer(*answers)
    scripted.server.start()
    try:
        yield scripted
    finally:
        scripted.server.stop()

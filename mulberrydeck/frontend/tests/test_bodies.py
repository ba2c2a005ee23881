"""Request bodies that are read ahead, sent, and sent again."""

import random

import gevent
import gevent.socket
import pytest

from mulberrydeck.forward import budgets
from mulberrydeck.frontend import bodies
from mulberrydeck.frontend import buffered_connection

LIMIT = 1000
SEEDS = range(40)


def encode(content, chunk_bytes):
    """Returns a body in chunks."""
    starts = range(0, len(content), chunk_bytes)
    pieces = [content[start : start + chunk_bytes] for start in starts]
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join([*chunks, b"0\r\n\r\n"])


class Caller:
    """A connection whose other end is written to by the test."""

    def __init__(self):
        with gevent.socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = listener.getsockname()
            self.sock = gevent.socket.create_connection(address)
            ours, _ = listener.accept()
        self.connection = buffered_connection.BufferedConnection(ours, "caller")

    def chunked_body(self):
        return bodies.Body(bodies.ChunkedReader(self.connection), None)

    def body_of_length(self, length):
        reader = bodies.LengthReader(self.connection, length)
        return bodies.Body(reader, length)

    def send(self, data, piece_bytes):
        for start in range(0, len(data), piece_bytes):
            self.sock.sendall(data[start : start + piece_bytes])
            gevent.sleep(0)


def reserve(limit_bytes=LIMIT * 10):
    return budgets.ByteBudget(limit_bytes).reserve()


@pytest.fixture(name="caller")
def fixture_caller():
    opened = Caller()
    yield opened
    opened.sock.close()
    opened.connection.sock.close()


# Guards against a body that loses its start if it exceeds the buffer.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_body_is_sent_whole_after_it_was_read_ahead(caller, seed):
    rng = random.Random(seed)
    content = rng.randbytes(rng.randrange(3 * LIMIT))
    piece_bytes = rng.randrange(1, LIMIT)
    if rng.random() < 0.7:
        body = caller.chunked_body()
        data = encode(content, rng.randrange(1, LIMIT))
    else:
        body = caller.body_of_length(len(content))
        data = content
    gevent.spawn(caller.send, data, piece_bytes)
    body.read_ahead(LIMIT, reserve())
    assert body.replayable
    assert b"".join(body.pieces()) == content
    if body.replayable:
        assert b"".join(body.pieces()) == content


def test_a_body_that_exceeds_the_buffer_cannot_be_sent_again(caller):
    content = bytes(3 * LIMIT)
    gevent.spawn(caller.send, encode(content, LIMIT // 10), LIMIT // 10)
    body = caller.chunked_body()
    body.read_ahead(LIMIT, reserve())
    assert b"".join(body.pieces()) == content
    assert not body.replayable


# Guards against a body that loses bytes if an attempt ends while they are read.
def test_a_cancelled_read_loses_no_bytes(caller):
    body = caller.chunked_body()
    caller.sock.sendall(b"3\r\nabc\r\n2\r")
    reading = gevent.spawn(next, body.pieces())
    gevent.sleep(0.05)
    reading.kill()
    caller.sock.sendall(b"\nde\r\n0\r\n\r\n")
    assert body.replayable
    assert b"".join(body.pieces()) == b"abcde"


# Guards against bodies of many slow callers that together exhaust the memory.
@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_is_read_ahead_only_within_the_common_budget(caller, chunked):
    content = random.Random(1).randbytes(LIMIT)
    reservation = reserve(LIMIT // 2)
    if chunked:
        body = caller.chunked_body()
        data = encode(content, LIMIT // 10)
    else:
        body = caller.body_of_length(LIMIT)
        data = content
    received = 65 * len(data) // 100  # Within a chunk.
    caller.sock.sendall(data[:received])
    body.read_ahead(LIMIT, reservation)
    assert LIMIT // 2 < reservation.reserved_bytes < LIMIT
    caller.sock.sendall(data[received:])
    assert body.replayable
    assert b"".join(body.pieces()) == content
    assert not body.replayable
    assert reservation.budget.used_bytes == 0


def test_a_body_that_is_complete_at_the_limit_can_be_sent_again(caller):
    content = bytes(range(100))
    caller.sock.sendall(content)
    body = caller.body_of_length(len(content))
    body.read_ahead(LIMIT, reserve(1))
    for _ in range(2):
        assert b"".join(body.pieces()) == content
    assert body.replayable

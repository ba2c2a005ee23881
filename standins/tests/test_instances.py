"""Tests of faulty responses of the stand-in of a target."""

import time

import gevent
from gevent import socket as gevent_socket
import pytest

from standins import waiting
from standins.users_platform import instances

TIMEOUT_S = 5.0


@pytest.fixture(name="target")
def fixture_target():
    target = instances.Instance("t1")
    yield target
    target.server.stop(timeout=0)


@pytest.fixture(name="connection")
def fixture_connection(target):
    port = target.server.server_port
    with gevent_socket.create_connection(("127.0.0.1", port)) as sock:
        yield sock


def send(sock, attempt_id, body=b"", announced_bytes=None, path="/once/1"):
    length = len(body) if announced_bytes is None else announced_bytes
    head = (
        f"POST {path} HTTP/1.1\r\nX-Attempt-Id: {attempt_id}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    sock.sendall(head.encode() + body)


def receive(sock, end):
    """Returns the bytes up to an end, or to that of the connection (None)."""
    data = b""
    with gevent.Timeout(TIMEOUT_S):
        while end is None or end not in data:
            block = sock.recv(65536)
            if not block:
                assert end is None, data
                return data
            data += block
    return data


@pytest.mark.parametrize("status", [408, 429, 500, 503])
def test_a_request_that_ran_is_answered_with_a_status(
    target, connection, status
):
    target.queued_faults.append(f"ran {status}")
    send(connection, "a1")
    response = receive(connection, b"a1 of t1")
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert b"X-Attempt-Id: a1\r\n" in response
    assert b"X-Response-Signature: sig.t1\r\n" in response
    assert b"X-Not-Executed" not in response
    assert b"Retry-After" not in response
    assert len(target.runs) == 1
    assert target.statuses == {"a1": {status}}


@pytest.mark.parametrize(
    ("word", "field"),
    [
        ("pause", b"\r\nRetry-After: 1\r\n"),
        ("marked", b"\r\nX-Not-Executed: 1\r\n"),
        ("blank", b"\r\nX-Not-Executed:\r\n"),
    ],
)
@pytest.mark.parametrize("status", [200, 500, 503])
def test_a_response_to_a_request_that_ran_has_a_field(
    target, connection, status, word, field
):
    target.queued_faults.append(f"ran {status} {word}")
    send(connection, "a1")
    response = receive(connection, b"a1 of t1")
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert field in response
    assert len(target.runs) == 1


def test_a_long_body_is_complete_or_broken(target, connection):
    target.queued_faults.extend(["ran 503 long", "ran 503 long broken"])
    send(connection, "a1")
    whole = receive(connection, b"a" * instances.LONG_BODY_BYTES)
    _, _, body = whole.partition(b"\r\n\r\n")
    assert b"Content-Length: %d\r\n" % len(body) in whole
    send(connection, "a2")
    broken = receive(connection, None)
    head, _, body = broken.partition(b"\r\n\r\n")
    length = len(body) + instances.MISSING_BODY_BYTES
    assert head.endswith(b"Content-Length: %d" % length)
    assert len(target.runs) == 2


def test_a_rejection_breaks_off_after_its_head(target, connection):
    target.queued_faults.append("reject broken")
    send(connection, "a1")
    response = receive(connection, None)
    assert b"X-Not-Executed: 1\r\n" in response
    assert response.endswith(
        b"Content-Length: %d\r\n\r\n" % instances.MISSING_BODY_BYTES
    )
    assert target.runs == []


def test_a_copy_follows_an_interim_response_to_the_next_request(
    target, connection
):
    target.queued_faults.append("reject twice interim")
    send(connection, "a1")
    refusal = receive(connection, b"\r\n\r\n")
    send(connection, "a2")
    responses = receive(connection, b"a2 of t1")
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: a2\r\n\r\n"
    assert responses.startswith(interim + refusal + b"HTTP/1.1 200 OK\r\n")
    assert b"X-Attempt-Id: a1\r\n" in refusal
    assert [run.fields["x-attempt-id"] for run in target.runs] == ["a2"]


def test_a_copy_follows_empty_lines(target, connection):
    target.queued_faults.append("reject twice spaced")
    send(connection, "a1")
    refusal = receive(connection, b"\r\n\r\n")
    copy = b"\r\n\r\n" + refusal
    assert receive(connection, copy) == copy


def test_a_request_is_rejected_before_its_body_is_read(target, connection):
    target.queued_faults.append("reject early")
    body = b"b" * 100_000
    send(connection, "a1", announced_bytes=len(body))
    refusal = receive(connection, b"\r\n\r\n")
    assert b"X-Not-Executed: 1\r\n" in refusal
    connection.sendall(body)
    send(connection, "a2")
    receive(connection, b"a2 of t1")
    assert [run.fields["x-attempt-id"] for run in target.runs] == ["a2"]


def test_a_request_sets_its_work_time_and_its_end_is_noticed(
    target, connection
):
    send(connection, "a1", path="/once/1?work_ms=50")
    start_s = time.monotonic()
    receive(connection, b"a1 of t1")
    assert time.monotonic() - start_s >= 0.05
    send(connection, "a2", path="/once/1?work_ms=60000")
    waiting.until(lambda: len(target.runs) == 2, "the second request runs")
    connection.close()
    waiting.until(lambda: target.cancelled_s, "its end is noticed")
    assert list(target.cancelled_s) == ["a2"]

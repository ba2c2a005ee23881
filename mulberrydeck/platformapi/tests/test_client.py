"""Tests of the object API's client and of the results of its calls."""

import gevent.socket
import pytest
from returns import result

from mulberrydeck import errors
from mulberrydeck.platformapi import client
from mulberrydeck.platformapi import resolve
from mulberrydeck.platformapi.tests import scripted_server

TIMEOUT_S = 30.0
LOST = b""
DONE_5 = scripted_server.response("200 OK", "Object-Version: 5")
CONFLICT_5 = scripted_server.response("409 Conflict", "Object-Version: 5")
TRUNCATED = DONE_5.replace(b"Length: 0", b"Length: 9")
BUSY = scripted_server.response("503 Busy", "Retry-After: 7")


def stored(version: int, content: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n"
    return f"{head}Object-Version: {version}\r\n\r\n".encode() + content


def put(*responses: bytes) -> tuple[result.Result, list[bytes]]:
    with scripted_server.run(*responses) as server:
        objects = client.ObjectClient(server.url, TIMEOUT_S)
        return objects.put("config", b"new", 4), server.requests


def put_and_resolve(*responses: bytes) -> tuple[result.Result, int]:
    with scripted_server.run(*responses) as server:
        objects = client.ObjectClient(server.url, TIMEOUT_S)
        written = resolve.put_and_resolve(objects, "config", b"new", 4)
        puts = [sent for sent in server.requests if sent.startswith(b"PUT")]
        assert not server.responses
        return written, len(puts)


def error_type(failed: result.Result) -> type:
    return type(failed.failure())


def test_put_sends_the_expected_version_once():
    written, requests = put(DONE_5)
    assert written == result.Success(5)
    assert len(requests) == 1
    assert b"\r\nIf-Version: 4\r\n" in requests[0]
    assert requests[0].endswith(b"\r\n\r\nnew")


@pytest.mark.parametrize(
    ("response", "expected_error"),
    [
        (LOST, errors.PlatformOutcomeUnknownError),
        (b"HTTP/1.1 200 OK\r\nConte", errors.PlatformOutcomeUnknownError),
        (b"no HTTP at all\r\n\r\n", errors.PlatformOutcomeUnknownError),
        (TRUNCATED, errors.PlatformOutcomeUnknownError),
        (
            scripted_server.response("500 Internal Server Error"),
            errors.PlatformOutcomeUnknownError,
        ),
        (CONFLICT_5, errors.ConflictError),
        (BUSY, errors.PlatformUnavailableError),
        (
            scripted_server.response("429 Too Many Requests"),
            errors.PlatformUnavailableError,
        ),
        (
            scripted_server.response("413 Too Large"),
            errors.PlatformRefusedError,
        ),
    ],
)
def test_a_failed_put_is_sent_once_and_gives_the_right_error(
    response, expected_error
):
    written, requests = put(response)
    assert error_type(written) is expected_error
    assert len(requests) == 1


def test_a_refused_connection_gives_unavailable():
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    written = client.ObjectClient(url, TIMEOUT_S).put("config", b"new", 0)
    listener.close()
    assert error_type(written) is errors.PlatformUnavailableError


def test_the_current_version_comes_from_a_write_that_never_applies():
    with scripted_server.run(CONFLICT_5, BUSY) as server:
        objects = client.ObjectClient(server.url, TIMEOUT_S)
        assert objects.current_version("config") == result.Success(5)
        busy = objects.current_version("config")
    assert b"If-Version: 4611686018427387904\r\n" in server.requests[0]
    assert error_type(busy) is errors.PlatformUnavailableError


def test_an_unresponsive_platform_times_out():
    with gevent.socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        objects = client.ObjectClient(url, 0.05)
        written = objects.put("config", b"new", 0)
        read = objects.get("config")
    assert error_type(written) is errors.PlatformOutcomeUnknownError
    assert error_type(read) is errors.PlatformUnavailableError


def test_calls_use_the_given_source_address():
    with scripted_server.run(DONE_5) as server:
        source_ips = []
        serve = server.serve
        server.server.set_handle(
            lambda connection, address: (
                source_ips.append(address[0]),
                serve(connection, address),
            )
        )
        objects = client.ObjectClient(server.url, TIMEOUT_S, "127.0.0.9")
        objects.put("config", b"new", 4)
    assert source_ips == ["127.0.0.9"]


def test_oversized_values_are_rejected_before_sending():
    objects = client.ObjectClient("http://127.0.0.1:9", TIMEOUT_S)
    written = objects.put("config", bytes(client.MAX_OBJECT_BYTES + 1), 0)
    assert error_type(written) is errors.PlatformRefusedError


@pytest.mark.parametrize(
    ("responses", "outcome", "puts"),
    [
        ([LOST, stored(5, b"new")], 5, 1),
        ([LOST, stored(5, b"other")], errors.ConflictError, 1),
        ([LOST, stored(4, b"old"), DONE_5], 5, 2),
        ([LOST, stored(4, b"old"), CONFLICT_5, stored(5, b"new")], 5, 2),
        (
            [LOST, stored(3, b"stale"), stored(4, b"old"), LOST]
            + [stored(5, b"new")],
            5,
            2,
        ),
        ([CONFLICT_5], errors.ConflictError, 1),
        ([BUSY], errors.PlatformUnavailableError, 1),
        (
            [LOST] + [BUSY] * resolve.RESOLVE_ATTEMPTS,
            errors.PlatformOutcomeUnknownError,
            1,
        ),
    ],
)
def test_unknown_outcomes_are_resolved_by_reading_back(
    responses, outcome, puts
):
    written, sent = put_and_resolve(*responses)
    assert sent == puts
    if isinstance(outcome, int):
        assert written == result.Success(outcome)
    else:
        assert error_type(written) is outcome

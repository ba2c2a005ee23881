"""Parsing of complete responses and rejection of endless ones."""

import itertools
import tracemalloc

from geventhttpclient import response
import pytest

from mulberrydeck.forward import responses

HEAD = b"HTTP/1.1 200 OK\r\nX-Kept: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"
PIECE_BYTES = 16 * 1024
# Several times the largest head; an endless response must fail before this.
ENDLESS_BYTES = 1024 * 1024


def parse(*pieces):
    parser = responses.ResponseParser("GET")
    for piece in pieces:
        parser.accept(piece)
    return parser


def test_a_chunked_response_is_parsed_completely():
    parser = parse(CHUNKED, b"5\r\nhello\r\n", b"0\r\n\r\n")
    assert parser.complete
    assert parser.keeps_connection
    assert parser.take() == b"hello"


def test_trailers_complete_a_response_and_are_not_header_fields():
    parser = parse(
        CHUNKED, b"5\r\nhello\r\n", b"0\r\nX-Late: 1\r\nX-Later: 2\r\n\r\n"
    )
    assert parser.complete
    assert parser.fields == [("x-kept", "1"), ("transfer-encoding", "chunked")]


def test_a_response_in_chunks_of_one_byte_is_parsed_completely():
    body = bytes(itertools.islice(itertools.cycle(range(256)), 200_000))
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    assert parse(CHUNKED, chunks, b"0\r\n\r\n").take() == body


def test_interim_responses_before_the_final_one_are_dropped():
    parser = parse(INTERIM * 3, HEAD + b"Content-Length: 2\r\n\r\nok")
    assert parser.complete
    assert parser.first("x-early") == ""
    assert parser.take() == b"ok"


@pytest.mark.parametrize(
    ("prefix", "repeated"),
    [
        pytest.param(HEAD, b"X-Filler: a-value-of-some-bytes\r\n", id="head"),
        pytest.param(HEAD + b"X-Filler: ", b"aaaaaaaa", id="head field"),
        pytest.param(b"HTTP/1.1 200 ", b"OKOKOKOK", id="status line"),
        pytest.param(INTERIM, INTERIM, id="interim responses"),
        pytest.param(
            CHUNKED + b"2\r\nok\r\n0\r\n",
            b"X-Filler: a-value-of-some-bytes\r\n",
            id="trailers",
        ),
        pytest.param(
            CHUNKED + b"2\r\nok\r\n0\r\nX-Filler: ", b"aaaaaaaa", id="trailer"
        ),
        pytest.param(CHUNKED + b"2;", b"aaaaaaaa", id="chunk extension"),
        pytest.param(
            CHUNKED, b"1;" + b"a" * 1000 + b"\r\nx\r\n", id="chunk extensions"
        ),
    ],
)
def test_an_endless_head_or_framing_is_rejected(prefix, repeated):
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    parser = parse(prefix)
    with pytest.raises(response.HTTPParseError):
        for _ in range(ENDLESS_BYTES // len(piece)):
            parser.accept(piece)
            parser.take()
    field_bytes = sum(len(name) + len(value) for name, value in parser.fields)
    assert field_bytes <= responses.MAX_HEAD_BYTES
    assert len(parser.fields) <= responses.MAX_FIELDS


def test_too_many_short_header_fields_are_rejected():
    # Their parsed form takes more memory than the limit in bytes suggests.
    parser = parse(HEAD)
    with pytest.raises(response.HTTPParseError):
        parser.accept(b"A: b\r\n" * 2000)
    assert len(parser.fields) <= 1000


FINAL_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\nX-Attempt-Id: a1\r\n\r\n"


# Guards against a response whose head breaks off, delivered as a whole one.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("interim", [b"", INTERIM_HEAD, INTERIM_HEAD * 2])
def test_a_response_that_breaks_off_in_its_head_is_never_complete(
    method, interim
):
    for length in range(len(interim + FINAL_HEAD)):
        for split in {0, length // 2, max(0, length - 1)}:
            parser = responses.ResponseParser(method)
            data = (interim + FINAL_HEAD)[:length]
            if data[:split]:
                parser.accept(data[:split])
            if data[split:]:
                parser.accept(data[split:])
            with pytest.raises(response.HTTPParseError):
                parser.accept(b"")
            assert not parser.complete


def test_a_response_to_head_ends_with_its_head():
    parser = responses.ResponseParser("HEAD")
    parser.accept(INTERIM_HEAD + FINAL_HEAD)
    assert parser.complete
    assert parser.keeps_connection


# Guards against tiny chunks that take fifty times their size in memory.
def test_the_memory_of_a_body_does_not_depend_on_its_chunks():
    chunks = b"2\r\nok\r\n" * 1000
    parser = parse(CHUNKED)
    tracemalloc.start()
    for _ in range(500):
        parser.accept(chunks)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(parser.take()) == 1_000_000
    assert peak_bytes < 3_000_000


# Guards against numbers that are no statuses: below 100 they counted as interim
# responses, from 600 as final ones.
@pytest.mark.parametrize(
    "status", [b"000", b"0", b"099", b"99", b"600", b"999", b"1000", b"-1"]
)
@pytest.mark.parametrize("preceding", [b"", INTERIM])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_an_invalid_status_is_rejected(method, preceding, status):
    parser = responses.ResponseParser(method)
    with pytest.raises(response.HTTPParseError):
        parser.accept(preceding + b"HTTP/1.1 %s X\r\n\r\n" % status)


def test_all_other_statuses_are_accepted():
    for status in range(200, 600):
        parser = parse(b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % status)
        assert parser.complete
        assert parser.get_code() == status


# Guards against a final response that is discarded as the body of an interim
# one.
@pytest.mark.parametrize("status", [102, 103, 104, 199])
def test_a_body_of_an_interim_response_is_rejected(status):
    head = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n" % status
    with pytest.raises(response.HTTPParseError):
        parse(head, b"ok")


# A final response whose status is invalid behind a complete one is no part of
# it.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_an_invalid_status_behind_a_response_does_not_change_it(method):
    complete = HEAD + b"Content-Length: 0\r\n\r\n"
    data = complete + b"HTTP/1.1 000 X\r\n\r\n"
    for cut in range(len(complete), len(data)):
        parser = responses.ResponseParser(method)
        for piece in (data[:cut], data[cut:]):
            parser.accept(piece)
        assert parser.complete
        assert parser.get_code() == 200
        assert not parser.keeps_connection

"""Callers that do not read their responses, or do not send their bodies."""

import array
import fcntl
import socket
import termios

import gevent
import pytest

from mulberrydeck.forward import budgets
from mulberrydeck.forward import sending
from mulberrydeck.frontend.tests import fakes
from mulberrydeck.steering import assembly
from mulberrydeck.steering.tests import samples
from standins import waiting

PIECE = b"x" * 65536
STREAM_PIECES = 256
MIN_STALL_S = 0.1


@pytest.fixture(name="vm")
def fixture_vm(tmp_path, monkeypatch):
    """A VM that has not reached the store; it streams long responses."""
    monkeypatch.setattr(budgets, "MIN_STALL_S", MIN_STALL_S)
    names = ("caller", "ready", "look_up", "peer", "metrics", "platform")
    settings = samples.make_settings(
        **{f"{name}_address": "127.0.0.1:0" for name in names}
    )
    vm = assembly.SteeringVm(settings, tmp_path / "vm.toml")
    vm.caller_listener.start()
    yield vm
    vm.caller_listener.listener.stop(timeout=0)
    vm.caller_listener.watcher.stop()


def stream(request):
    response = request.response
    response.begin(200, [], STREAM_PIECES * len(PIECE))
    for _ in range(STREAM_PIECES):
        response.write(PIECE)
        response.flush()
    response.finish()


def connect(vm, data):
    """Sends a request on a connection with a small receive buffer."""
    host, _, port = vm.caller_listener.address.rpartition(":")
    sock = gevent.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    sock.settimeout(fakes.WAIT_S)
    sock.sendall(data)
    return sock


def stalled_reader(vm):
    """Returns the connection of a caller that does not read."""
    unsent = vm.request_handler.unsent_budget
    count = len(unsent.waiting)
    sock = connect(vm, fakes.get_request())
    waiting.until(lambda: len(unsent.waiting) > count, "it stalls")
    gevent.sleep(1.5 * MIN_STALL_S)
    return sock


def kernel_bytes(vm):
    """Returns the bytes that the kernel keeps for each caller."""
    counts = []
    for handler in vm.caller_listener.open_connections:
        count = array.array("i", [0])
        fcntl.ioctl(handler.connection.sock.fileno(), termios.TIOCOUTQ, count)
        counts.append(count[0])
    return counts


def resets(vm, direction):
    name = "mulberrydeck_slow_caller_resets_total"
    labels = {"direction": direction}
    return vm.reports.registry.get_sample_value(name, labels)


# Guards against the 4 MB that the kernel keeps for each caller that stalls.
def test_little_is_kept_for_a_caller_that_does_not_read(vm):
    vm.caller_listener.handle_request = stream
    sock = stalled_reader(vm)
    (kept,) = kernel_bytes(vm)
    assert 0 < kept < sending.MAX_KERNEL_UNSENT_BYTES * 1.25
    assert 0 < vm.request_handler.unsent_budget.used_bytes <= len(PIECE) + 500
    data, was_reset = fakes.read_to_end_of(sock, STREAM_PIECES * len(PIECE))
    assert not was_reset
    assert vm.request_handler.unsent_budget.used_bytes == 0


# Guards against the end of a VM that runs out of memory.
def test_the_longest_stalled_reader_is_reset_when_memory_is_short(vm):
    vm.caller_listener.handle_request = stream
    unsent = vm.request_handler.unsent_budget
    socks = [stalled_reader(vm) for _ in range(3)]
    unsent.limit_bytes = 3 * len(PIECE)
    last = connect(vm, fakes.get_request())
    waiting.until(lambda: resets(vm, "reading"), "one is reset")
    with pytest.raises(ConnectionResetError):
        while socks[0].recv(65536):
            pass
    assert resets(vm, "reading") == 1.0
    for sock in (*socks[1:], last):
        _, was_reset = fakes.read_to_end_of(sock, STREAM_PIECES * len(PIECE))
        assert not was_reset
    assert unsent.used_bytes == 0


# Guards against slow senders that take the memory in which others are retried.
def test_the_longest_stalled_sender_is_reset_when_memory_is_short(vm):
    bodies = vm.request_handler.body_budget
    size = 2 * len(PIECE)
    head = f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    socks = []
    for count in range(1, 4):
        socks.append(connect(vm, head.encode() + PIECE))
        expected = count * len(PIECE)
        waiting.until(lambda e=expected: bodies.used_bytes >= e, "it is read")
        gevent.sleep(1.5 * MIN_STALL_S)
    bodies.limit_bytes = 1.5 * len(PIECE)
    for sock in (socks[2], socks[1]):
        assert resets(vm, "sending") == (None if sock is socks[2] else 1.0)
        sock.sendall(PIECE)
        # The VM has no configuration.
        assert fakes.receive(sock).startswith(b"HTTP/1.1 503")
        waiting.until(lambda: resets(vm, "sending"), "one is reset")
    with pytest.raises(ConnectionResetError):
        socks[0].recv(1)
    assert resets(vm, "sending") == 1.0


# Guards against responses that wait behind a stalled one and are not counted.
def test_responses_that_wait_for_their_turn_are_counted(vm):
    def respond(request):
        request.response.begin(200, [], len(PIECE))
        request.response.write(PIECE)
        if request.path == "/slow":
            gevent.sleep(0.2)
        request.response.finish()

    vm.caller_listener.handle_request = respond
    vm.caller_listener.max_pipelined_requests = 3
    vm.caller_listener.may_pipeline = lambda head: True
    paths = ("/slow", "/a", "/b")
    sock = connect(vm, b"".join(fakes.get_request(path) for path in paths))
    unsent = vm.request_handler.unsent_budget
    waiting.until(lambda: unsent.used_bytes > 2 * len(PIECE), "two wait")
    fakes.read_to_end_of(sock, 3 * len(PIECE))
    assert unsent.used_bytes == 0

"""Detection of callers that disconnect while their request is in progress."""

import select

import attrs
import gevent
from gevent import monkey

SWEEP_INTERVAL_S = 0.05

_DISCONNECTED = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


class CallerDisconnectedError(Exception):
    """The caller closed or reset the connection before its response ended."""


@attrs.define(eq=False)
class WatchedRequest:
    """A request in progress.

    Attributes:
        greenlet: Greenlet that serves the request.
        descriptor: File descriptor of the caller's connection.
    """

    greenlet: gevent.Greenlet
    descriptor: int


class DisconnectWatcher:
    """Polls the connections of all requests in progress at a fixed interval.

    One system call per sweep covers all requests, so that a request that ends
    between two sweeps needs no system call. `POLLRDHUP` reports the end of a
    connection even while bytes of a pipelined request are unread; a read would
    return those bytes instead.

    Attributes:
        requests: Requests in progress by file descriptor.
    """

    def __init__(self) -> None:
        self.requests: dict[int, WatchedRequest] = {}
        self.make_poll = monkey.get_original("select", "poll")
        self.sweeper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the sweeps."""
        self.sweeper = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the sweeps."""
        if self.sweeper is not None:
            self.sweeper.kill()

    def add(self, descriptor: int) -> None:
        """Watches the connection of the request that this greenlet serves."""
        self.requests[descriptor] = WatchedRequest(
            gevent.getcurrent(), descriptor
        )

    def remove(self, descriptor: int) -> None:
        """Stops watching a connection."""
        self.requests.pop(descriptor, None)

    def sweep(self) -> None:
        """Cancels the requests whose callers have disconnected."""
        if not self.requests:
            return
        poll = self.make_poll()
        for descriptor in self.requests:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, event_mask in poll.poll(0):
            watched = self.requests.get(descriptor)
            if watched is not None and event_mask & _DISCONNECTED:
                self._cancel(watched)

    def _cancel(self, watched: WatchedRequest) -> None:
        gevent.get_hub().loop.run_callback(self._throw, watched)

    def _throw(self, watched: WatchedRequest) -> None:
        if self.requests.get(watched.descriptor) is watched:
            del self.requests[watched.descriptor]
            watched.greenlet.throw(
                CallerDisconnectedError("The caller disconnected.")
            )

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.sweep()

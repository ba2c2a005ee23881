"""Bounded queue of requests that wait for a slot, fair across accounts."""

import collections

import attrs


@attrs.frozen
class Waiter:
    """A request that waits for a slot.

    Attributes:
        request_id: Identifier of the request.
        account: Client account, or empty on open routes.
        expires_s: When the wait times out, in seconds.
    """

    request_id: str
    account: str
    expires_s: float


@attrs.define
class FairQueue:
    """Queue of one service, served round robin over the client accounts.

    Attributes:
        waiters: Waiting requests by account; the first account is served next.
        size: Total number of waiting requests.
    """

    waiters: collections.OrderedDict[str, collections.deque[Waiter]] = (
        attrs.field(factory=collections.OrderedDict)
    )
    size: int = 0


def push(
    queue: FairQueue, waiter: Waiter, capacity: int
) -> tuple[bool, Waiter | None]:
    """Adds a request, for which a full queue may evict another one.

    A full queue evicts the last request of the account with the most waiting
    requests, if that account still has at least as many afterwards as the
    account of the new request. Otherwise the new request is not added.

    Args:
        queue: The queue, changed in place.
        waiter: The request.
        capacity: Largest number of waiting requests.

    Returns:
        Whether the request was added, and the evicted request or None.
    """
    evicted = None
    if queue.size >= capacity:
        evicted = _evict(queue, waiter.account)
        if evicted is None:
            return False, None
    queue.waiters.setdefault(waiter.account, collections.deque()).append(waiter)
    queue.size += 1
    return True, evicted


def pop(queue: FairQueue) -> Waiter | None:
    """Removes and returns the next request, or None if the queue is empty."""
    if not queue.waiters:
        return None
    account, waiting = next(iter(queue.waiters.items()))
    waiter = waiting.popleft()
    queue.size -= 1
    if waiting:
        queue.waiters.move_to_end(account)
    else:
        del queue.waiters[account]
    return waiter


def remove(queue: FairQueue, account: str, request_id: str) -> bool:
    """Removes a cancelled request; returns whether it was in the queue."""
    waiting = queue.waiters.get(account, ())
    for waiter in waiting:
        if waiter.request_id == request_id:
            waiting.remove(waiter)
            queue.size -= 1
            if not waiting:
                del queue.waiters[account]
            return True
    return False


def expire(queue: FairQueue, now_s: float) -> list[Waiter]:
    """Removes and returns the requests whose wait has timed out.

    Args:
        queue: The queue, changed in place.
        now_s: Monotonic time, in seconds.
    """
    expired = []
    for account in list(queue.waiters):
        waiting = queue.waiters[account]
        while waiting and waiting[0].expires_s <= now_s:
            expired.append(waiting.popleft())
        if not waiting:
            del queue.waiters[account]
    queue.size -= len(expired)
    return expired


def _evict(queue: FairQueue, account: str) -> Waiter | None:
    longest = max(queue.waiters, key=lambda name: len(queue.waiters[name]))
    own_count = len(queue.waiters.get(account, ()))
    if len(queue.waiters[longest]) <= own_count + 1:
        return None
    queue.size -= 1
    return queue.waiters[longest].pop()

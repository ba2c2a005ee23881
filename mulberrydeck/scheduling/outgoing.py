"""Messages of a VM about slots, and the refusals of requests for slots."""

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.steering import state as steering_states

# Clients that are told to return come back spread over this fraction of the
# time in which the backlog clears.
RETURN_SPREAD = 1.0
# Shortest base of the time after which they are told to return.
MIN_RETRY_S = 0.25


@attrs.frozen
class Outgoing:
    """A message to a VM, which may be this one.

    Attributes:
        to: Name of the VM.
        message: The message.
    """

    to: str
    message: object


def refusal(
    sender: str, request: slot_messages.SlotRequest, reason: str
) -> Outgoing:
    """Returns the refusal of a request for another reason than overload.

    Args:
        sender: Name of the VM that asked.
        request: The request.
        reason: Reason of the refusal, such as `slot_messages.STOPPING`.
    """
    message = slot_messages.SlotRefusal(
        request.request_id, reason, attempt=request.attempt
    )
    return Outgoing(sender, message)


def overload_refusal(
    state: steering_states.State,
    sender: str,
    request: slot_messages.SlotRequest,
    backlog_s: float,
) -> Outgoing:
    """Counts a request refused for lack of slots, and returns the refusal.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that asked.
        request: The request.
        backlog_s: Time in which the backlog clears, in seconds.
    """
    state.scheduler.services[request.service].refused += 1
    base_s = max(MIN_RETRY_S, backlog_s)
    retry_s = base_s * (1.0 + RETURN_SPREAD * state.rng.random())
    message = slot_messages.SlotRefusal(
        request.request_id,
        slot_messages.OVERLOAD,
        round(retry_s, 3),
        request.attempt,
    )
    return Outgoing(sender, message)

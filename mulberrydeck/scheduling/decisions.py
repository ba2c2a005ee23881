"""Decisions on requests for which this VM asked a scheduler for slots."""

import attrs

from mulberrydeck.steering import targets as targets_module


@attrs.frozen
class Granted:
    """A slot was granted to a request.

    Attributes:
        request_id: The request.
        target: The target.
        reason: Why the target was chosen, for logs.
        scheduler: VM that granted the slot.
        waited_s: Time that the request waited for the slot, in seconds.
    """

    request_id: str
    target: targets_module.Target
    reason: str
    scheduler: str
    waited_s: float


@attrs.frozen
class Declined:
    """No target has or will have a slot in time.

    Attributes:
        request_id: The request.
        retry_after_s: Time until the backlog clears, in seconds.
        scheduler: VM that refused.
    """

    request_id: str
    retry_after_s: float
    scheduler: str


@attrs.frozen
class ChooseLocally:
    """This VM has to choose a target itself.

    Attributes:
        request_id: The request.
        reason: Why, for logs.
    """

    request_id: str
    reason: str


SlotDecision = Granted | Declined | ChooseLocally
"""What follows for a request for which a slot was asked."""

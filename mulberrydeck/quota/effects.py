"""Effects and events of the parts that reducers share.

They stand apart so that a program loads no more than the parts that it uses.
"""

import attrs


@attrs.frozen
class SendMessage:
    """Send a message to a peer.

    Attributes:
        to: Name of the VM.
        message: One of the types in `peers.messages`.
    """

    to: str
    message: object


@attrs.frozen
class Raise:
    """Feed an event back into the reducer at once."""

    event: object


@attrs.frozen
class QuotaDecided:
    """A request that waited for quota was decided (raised internally)."""

    at_s: float
    request_id: str
    admitted: bool
    retry_after_s: float = 0.0

"""Effects and events that several reducers share.

They have a module of their own so that a program that needs them does not also
import the reducers.
"""

import attrs


@attrs.frozen
class SendMessage:
    """Send a message to a peer.

    Attributes:
        to: Name of the VM.
        message: An instance of one of the types in `peers.messages`.
    """

    to: str
    message: object


@attrs.frozen
class Raise:
    """Process an event in the reducer immediately after this one."""

    event: object


@attrs.frozen
class QuotaDecided:
    """A request that waited for quota was admitted or denied.

    Raised by the quota reducer, not received from outside.
    """

    at_s: float
    request_id: str
    admitted: bool
    retry_after_s: float = 0.0

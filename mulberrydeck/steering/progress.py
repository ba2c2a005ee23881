"""Progress of a caller's request, for log lines and metrics."""

import attrs

from mulberrydeck.steering import effects


@attrs.define
class Progress:
    """Progress of a request.

    Attributes:
        decision: The final decision; None while the request is in progress or
            if the caller disconnected.
        last_forward: The last attempt, or None.
        sent_after_s: Time from the choice of the last target to the first byte
            sent to it, in seconds; None if nothing was sent.
    """

    decision: effects.Decision | None = None
    last_forward: effects.Forward | None = None
    sent_after_s: float | None = None

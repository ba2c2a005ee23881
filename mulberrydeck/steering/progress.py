"""How far a request of a caller came, for its reports."""

import attrs

from mulberrydeck.steering import effects


@attrs.define
class Progress:
    """How far a request came.

    Attributes:
        decision: How it ended; None while it runs or if the caller left.
        last_forward: Its last attempt, or None.
        sent_after_s: Time from the choice of the last target to the first byte
            that was sent to it, in seconds; None if none was sent.
    """

    decision: effects.Decision | None = None
    last_forward: effects.Forward | None = None
    sent_after_s: float | None = None

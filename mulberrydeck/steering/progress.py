"""Progress of a caller's request: its attempts, and what they show."""

import enum

import attrs

from mulberrydeck.steering import attempts
from mulberrydeck.steering import effects
from mulberrydeck.steering import events

Outcome = events.Outcome


class NotRunBasis(enum.Enum):
    """Why a caller may be told that its request did not run.

    `NO_ATTEMPT`: no target was tried.
    `NOT_SENT`: no byte of it was sent to any target.
    `REJECTED`: each target that it was sent to stated that it did not run it.
    `UNKNOWN`: an attempt had another outcome.
    """

    NO_ATTEMPT = "no attempt"
    NOT_SENT = "not sent"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


_NOT_SENT = frozenset((Outcome.NOT_SENT, Outcome.DELAYED))
_NOT_RUN = _NOT_SENT | {Outcome.REJECTED, Outcome.WRONG_TARGET}


@attrs.define
class Progress:
    """Progress of a request.

    Attributes:
        decision: The final decision; None while the request is in progress or
            if the caller disconnected.
        last_forward: The last attempt, or None.
        sent_after_s: Time from the choice of the last target to the first byte
            sent to it, in seconds; None if nothing was sent.
        outcomes: Outcomes of all attempts, in order.
        addresses: Addresses to which the request was sent.
    """

    decision: effects.Decision | None = None
    last_forward: effects.Forward | None = None
    sent_after_s: float | None = None
    outcomes: list[Outcome] = attrs.field(factory=list)
    addresses: set[str] = attrs.field(factory=set)

    def attempt_ended(
        self, forward: effects.Forward, attempt: attempts.Attempt
    ) -> None:
        """Records the result of an attempt.

        Args:
            forward: The decision to send it.
            attempt: Its result.
        """
        self.sent_after_s = attempt.sent_after_s
        self.outcomes.append(attempt.outcome)
        if attempt.outcome not in _NOT_SENT:
            self.addresses.add(forward.address)

    @property
    def not_run_basis(self) -> NotRunBasis:
        """What the attempts show about whether the request ran."""
        outcomes = set(self.outcomes)
        if not outcomes:
            return NotRunBasis.NO_ATTEMPT
        if outcomes <= _NOT_SENT:
            return NotRunBasis.NOT_SENT
        if outcomes <= _NOT_RUN:
            return NotRunBasis.REJECTED
        return NotRunBasis.UNKNOWN

"""Claim objects, which permit one run per client account and run identifier."""

import attrs
import msgspec

from mulberrydeck import errors

STARTED = "started"
FINISHED = "finished"


@attrs.frozen
class ClaimRecord:
    """Content of a claim object in the platform.

    Attributes:
        vm: Name of the VM that made the claim.
        incarnation: Identifier of the process that made the claim.
        request_id: Identifier of the request.
        attempt: Number of the entry VM's attempt, from 1.
        state: `started` or `finished`.
        status: HTTP status of the response if finished, else 0.
        created_s: Time of the claim, in seconds since the Unix epoch.
    """

    vm: str
    incarnation: str
    request_id: str
    attempt: int
    state: str
    status: int
    created_s: float

    def is_same_claim(self, other: "ClaimRecord") -> bool:
        """Returns whether the same attempt made both claims."""
        return (
            self.incarnation == other.incarnation
            and self.request_id == other.request_id
            and self.attempt == other.attempt
        )

    def is_replaced_by(self, later: "ClaimRecord") -> bool:
        """Returns whether a later attempt of the request may replace the claim.

        The entry VM starts another attempt only if the earlier one is known
        not to have run.
        """
        return (
            self.state == STARTED
            and self.request_id == later.request_id
            and self.attempt < later.attempt
        )


def encode(record: ClaimRecord) -> bytes:
    """Returns the content of the claim object of a record."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> ClaimRecord:
    """Returns the record of a claim object.

    Raises:
        errors.ConfigurationError: The content is malformed.
    """
    try:
        return msgspec.json.decode(content, type=ClaimRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(
            f"A claim object is malformed ({error}); inspect the prefix runs/."
        ) from error

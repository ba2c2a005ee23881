"""Exceptions of the whole program.

Every exception here derives from `MulberrydeckError`, and each message tells
the reader what to do next.
"""

import attrs


class MulberrydeckError(Exception):
    """Base class of the exceptions of the program."""


class SettingsError(MulberrydeckError):
    """A settings file is missing, malformed or contains an invalid value."""


class AddressError(MulberrydeckError):
    """An address of this VM cannot be bound."""


class ConfigurationError(MulberrydeckError):
    """A configuration, a change to it or a stored document is invalid."""


class ConflictError(MulberrydeckError):
    """Another writer changed the object first; read it again and retry."""


class PlatformUnavailableError(MulberrydeckError):
    """A call to the platform failed; nothing was changed."""


class PlatformRefusedError(PlatformUnavailableError):
    """The platform rejects the call as invalid; nothing was changed."""


class PlatformOutcomeUnknownError(MulberrydeckError):
    """The platform may or may not have carried out a change."""


class NotFoundError(MulberrydeckError):
    """The named object does not exist."""


class MessageError(MulberrydeckError):
    """A peer message is malformed, oversized or of an unknown version."""


class KeyFormatError(MulberrydeckError):
    """A caller's key is not in the key format."""


class AdmissionExpiredError(MulberrydeckError, TimeoutError):
    """A request was not sent before its admission expired."""


class LinkBusyError(MulberrydeckError, TimeoutError):
    """A link between regions had no quota for too long; raise its cap."""


class VmCallError(MulberrydeckError):
    """A call from an operator's command to an entry VM failed."""


@attrs.frozen
class Problem:
    """A refusal in the form of RFC 9457 problem details.

    Attributes:
        kind: Machine-readable kind, such as `rate-limited`.
        status: HTTP status code.
        detail: One sentence that names the remedy.
        ran: `no` when no target can have run the request, else `unknown`.
        retry_after_s: Time after which to retry, in seconds; None if a retry is
            of no use.
    """

    kind: str
    status: int
    detail: str
    ran: str = "no"
    retry_after_s: float | None = None

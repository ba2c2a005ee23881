"""Typed errors of the whole program.

Every error derives from `MulberrydeckError`, and each message tells the reader
what to do next.
"""

import attrs


class MulberrydeckError(Exception):
    """Root of all errors that the program raises on purpose."""


class SettingsError(MulberrydeckError):
    """A settings file is missing, malformed or holds a bad value."""


class ConfigurationError(MulberrydeckError):
    """A configuration was rejected before it was accepted."""


class ConflictError(MulberrydeckError):
    """Another writer changed the object first; read it again and retry."""


class PlatformUnavailableError(MulberrydeckError):
    """The platform did not take the call; nothing was changed."""


class PlatformRefusedError(PlatformUnavailableError):
    """The platform rejected the call as malformed; nothing was changed."""


class PlatformOutcomeUnknownError(MulberrydeckError):
    """The platform may or may not have carried out a change."""


class NotFoundError(MulberrydeckError):
    """The named object does not exist."""


class MessageError(MulberrydeckError):
    """A peer message is malformed, oversized or of an unknown version."""


class KeyFormatError(MulberrydeckError):
    """A caller's key does not have the documented form."""


class AdmissionExpiredError(MulberrydeckError, TimeoutError):
    """A request could not be started while its admission was valid."""


class LinkBusyError(MulberrydeckError, TimeoutError):
    """A link between regions had no room for too long; raise its cap."""


class VmCallError(MulberrydeckError):
    """An exchange with a target or another VM failed."""


@attrs.frozen
class Problem:
    """A refusal in the form of RFC 9457 problem details.

    Attributes:
        kind: Machine-readable kind, such as `rate-limited`.
        status: HTTP status code.
        detail: One sentence that names the remedy.
        ran: `no` when no target can have run the request, else `unknown`.
        retry_after_s: When to come back, in seconds; None when never.
    """

    kind: str
    status: int
    detail: str
    ran: str = "no"
    retry_after_s: float | None = None

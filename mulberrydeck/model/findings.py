"""Problems found in a configuration."""

import attrs

from mulberrydeck import errors


@attrs.frozen
class Finding:
    """One problem of a configuration.

    Attributes:
        key: Path of the key, such as `zones[2].region`.
        value: Invalid value; None if the key is missing.
        remedy: What is wrong and what to do, as one sentence.
    """

    key: str
    value: object
    remedy: str


def error_of(source: str, findings: list[Finding]) -> errors.ConfigurationError:
    """Returns the error that reports all findings, one per line.

    Args:
        source: Name of the file, for the error message.
        findings: At least one problem.
    """
    lines = [_line(source, finding) for finding in findings]
    return errors.ConfigurationError("\n".join(lines))


def _line(source: str, finding: Finding) -> str:
    location = f"{source}: {finding.key}"
    if finding.value is not None:
        location = f"{location} = {finding.value!r}"
    return f"{location}: {finding.remedy}"

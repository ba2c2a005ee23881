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


class InvalidConfigurationError(errors.ConfigurationError):
    """A configuration was read, but its content is invalid.

    Attributes:
        findings: All problems, at least one.

    Args:
        message: All problems as text.
        findings: All problems, at least one.
    """

    def __init__(self, message: str, findings: list[Finding]) -> None:
        super().__init__(message)
        self.findings = tuple(findings)


def error_of(source: str, findings: list[Finding]) -> InvalidConfigurationError:
    """Returns the error that reports all findings, one per line.

    Args:
        source: Name of the file, for the error message.
        findings: At least one problem.
    """
    lines = [
        f"{source}: {location(finding)}: {finding.remedy}"
        for finding in findings
    ]
    return InvalidConfigurationError("\n".join(lines), findings)


def location(finding: Finding) -> str:
    """Returns the key of a finding, with its value if there is one."""
    if finding.value is None:
        return finding.key
    return f"{finding.key} = {finding.value!r}"

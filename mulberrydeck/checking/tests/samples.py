"""A configuration without findings, and a comparison of reports."""

from mulberrydeck.model.tests import samples

CLEAN_TOML = samples.FLEET_TOML.replace(
    "name in (permits, rosters)", "name = permits"
).replace('accounts = "tier = gold"\nservices', 'accounts = ""\nservices')


def assert_starts(lines: list[str], starts: list[str]) -> None:
    assert len(lines) == len(starts), lines
    for line, start in zip(lines, starts, strict=True):
        assert line.startswith(start), lines

"""Tests of loading settings files."""

import pytest

from mulberrydeck import errors
from mulberrydeck.settings import loading

REQUIRED = {
    "name": "a1",
    "zone": "a",
    "caller_address": "127.0.0.1:1",
    "relay_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "platform_url": "http://127.0.0.1:4",
    "fleet_secret": "s",
}


def test_optional_settings_have_defaults():
    assert loading.structure(REQUIRED, "vm.toml").quota_lease_s == 5.0


@pytest.mark.parametrize(
    "change",
    [
        {"colour": "red"},
        {"quota_lease_s": -1.0},
        {"heartbeat_interval_s": "often"},
    ],
)
def test_invalid_settings_are_named_in_the_error(change):
    with pytest.raises(errors.SettingsError, match=next(iter(change))):
        loading.structure(REQUIRED | change, "vm.toml")


def test_a_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError, match="check the path"):
        loading.load(tmp_path / "absent.toml")

"""Settings of a steering VM, and the settings template of the platform."""

import pathlib
import re

import attrs
import pytest

from mulberrydeck import errors
from mulberrydeck.emulator import scenario
from mulberrydeck.steering import settings
from mulberrydeck.steering.tests import samples

ROOT = pathlib.Path(__file__).resolve().parents[3]

VALID_SETTINGS = """
name = "coast-a-1"
zone = "coast-a"
region = "coast"
caller_address = "127.0.0.1:1"
ready_address = "127.0.0.1:2"
look_up_address = "127.0.0.1:3"
peer_address = "127.0.0.1:4"
metrics_address = "127.0.0.1:5"
platform_address = "127.0.0.1:6"

[region_by_zone]
coast-a = "coast"
"""


def load(tmp_path, text):
    path = tmp_path / "vm.toml"
    path.write_text(text)
    return settings.load(path)


def test_valid_settings_are_loaded(tmp_path):
    loaded = load(tmp_path, "retry_ratio = 0.1\n" + VALID_SETTINGS)
    assert loaded.retry_ratio == 0.1
    assert loaded.quota_lease_s > 0


@pytest.mark.parametrize(
    ("text", "error_pattern"),
    [
        ("retry_ratio = 'much'\n" + VALID_SETTINGS, "retry_ratio"),
        ("retries = 3\n" + VALID_SETTINGS, "retries"),
        ("quota_wait_s = 0.0\n" + VALID_SETTINGS, "quota_wait_s"),
        ("max_pipelined_requests = 0\n" + VALID_SETTINGS, "at least 1"),
        (VALID_SETTINGS.replace("coast-a = ", "coast-b = "), "region_by_zone"),
        ("name = ", "TOML"),
        ("", "missing"),
    ],
)
def test_errors_name_invalid_settings(tmp_path, text, error_pattern):
    with pytest.raises(errors.SettingsError, match=error_pattern):
        load(tmp_path, text)


def test_the_error_for_a_missing_file_says_to_check_the_path(tmp_path):
    with pytest.raises(errors.SettingsError, match="check the path"):
        settings.load(tmp_path / "absent.toml")


def test_the_template_has_all_required_settings_and_no_unknown_ones():
    text = (ROOT / "deploy" / "settings.toml").read_text()
    template_names = set(re.findall(r"^(\w+) =", text, re.M))
    template_names |= set(re.findall(r"^\[(\w+)\]", text, re.M))
    fields = attrs.fields(settings.SteeringSettings)
    assert template_names <= {field.name for field in fields}
    required = {f.name for f in fields if f.default is attrs.NOTHING}
    assert required <= template_names


def test_changes_that_require_a_restart_are_returned():
    running = samples.make_settings()
    reloaded = samples.make_settings(
        peer_address="127.0.0.1:9", retry_ratio=0.1
    )
    assert settings.changes_requiring_restart(running, reloaded) == (
        "peer_address",
    )


@pytest.mark.parametrize(
    "name", ["waves", "heavy", "uneven-regions", "shared-machines"]
)
def test_emulator_examples_can_be_loaded(name):
    assert scenario.load(ROOT / "examples" / f"{name}.toml").classes

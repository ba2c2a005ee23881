"""Settings of a steering VM and the template that the platform fills in."""

import pathlib
import re

import attrs
import pytest

from mulberrydeck import errors
from mulberrydeck.emulator import scenario
from mulberrydeck.steering import settings
from mulberrydeck.steering.tests import samples

ROOT = pathlib.Path(__file__).resolve().parents[3]

GOOD = """
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


def test_good_settings(tmp_path):
    loaded = load(tmp_path, "retry_ratio = 0.1\n" + GOOD)
    assert loaded.retry_ratio == 0.1
    assert loaded.quota_lease_s > 0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("retry_ratio = 'much'\n" + GOOD, "retry_ratio"),
        ("retries = 3\n" + GOOD, "retries"),
        ("quota_wait_s = 0.0\n" + GOOD, "quota_wait_s"),
        (GOOD.replace("coast-a = ", "coast-b = "), "region_by_zone"),
        ("name = ", "TOML"),
        ("", "missing"),
    ],
)
def test_bad_settings_are_named(tmp_path, text, named):
    with pytest.raises(errors.SettingsError, match=named):
        load(tmp_path, text)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(errors.SettingsError, match="check the path"):
        settings.load(tmp_path / "absent.toml")


def test_the_template_sets_known_settings_and_all_required_ones():
    text = (ROOT / "deploy" / "settings.toml").read_text()
    named = set(re.findall(r"^(\w+) =", text, re.M))
    named |= set(re.findall(r"^\[(\w+)\]", text, re.M))
    fields = attrs.fields(settings.SteeringSettings)
    assert named <= {field.name for field in fields}
    required = {f.name for f in fields if f.default is attrs.NOTHING}
    assert required <= named


def test_what_needs_a_restart_is_named():
    running = samples.make_settings()
    moved = samples.make_settings(peer_address="127.0.0.1:9", retry_ratio=0.1)
    assert settings.changes_requiring_restart(running, moved) == (
        "peer_address",
    )


@pytest.mark.parametrize("name", ["waves", "heavy"])
def test_the_examples_of_the_emulator_can_be_read(name):
    assert scenario.load(ROOT / "examples" / f"{name}.toml").classes

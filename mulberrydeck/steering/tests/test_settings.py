"""Settings of a steering VM, and the settings template of the platform."""

import json
import pathlib
import re

import attrs
import pytest

from mulberrydeck import errors
from mulberrydeck.emulator import scenario
from mulberrydeck.steering import registry
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


TEMPLATE_VALUES = {
    "NodeName": "coast-a-1",
    "Zone": "coast-a",
    "Region": "coast",
    "Ip": "127.0.0.1",
    "InternalPorts.0": 4,
    "InternalPorts.1": 5,
    "Listen.Frontend": "127.0.0.1:1",
    "Listen.Readiness": "127.0.0.1:2",
    "Listen.Directory": "127.0.0.1:3",
    "Platform.Address": "127.0.0.1:6",
    "Bootstrap": False,
    "Bounds.ttl_max_s": 5,
    "Bounds.GraceS": 6,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.RetryBudgetExtra": 60,
    "Bounds.BudgetWindowS": 10,
    "Bounds.ColdOverage": 1.5,
    "Bounds.ColdSlack": 5,
}
LIMITS = {
    "Limits.CpuShare": 0.43,
    "Limits.Cores": 2,
    "Limits.MemoryMb": 552,
    "Limits.MaxFds": 8192,
    "Limits.LinkMbps": 50,
}


def render_template(values):
    """Renders the settings template as the platform does."""
    text = (ROOT / "deploy" / "settings.toml").read_text()
    text = re.sub(
        r"\{\{#Zones\}\}.*\{\{/Zones\}\}",
        '"coast-a" = "coast"',
        text,
        flags=re.S,
    )
    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda section: section[2] if section[1] in values else "",
        text,
        flags=re.S,
    )
    text = re.sub(
        r"\{\{([\w.]+)\|json\}\}",
        lambda field: json.dumps(values.get(field[1])),
        text,
    )
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda field: str(values[field[1]]), text
    )


def test_the_template_fills_in_the_limits_of_the_machine(tmp_path):
    loaded = load(tmp_path, render_template(TEMPLATE_VALUES | LIMITS))
    assert (loaded.cpu_share, loaded.cpu_count) == (0.43, 2.0)
    assert loaded.memory_mb == 552.0
    assert loaded.max_descriptors == 8192
    assert loaded.link_mbps == 50.0


# Guards against VMs that do not start where the platform states no limits, or
# not all of them.
@pytest.mark.parametrize("missing", [*LIMITS, "all"])
def test_missing_limits_in_the_template_are_unknown(tmp_path, missing):
    limits = {} if missing == "all" else dict(LIMITS)
    limits.pop(missing, None)
    loaded = load(tmp_path, render_template(TEMPLATE_VALUES | limits))
    record = registry.own_record(loaded, "process")
    assert (record.capacity is None) == (missing == "all")


# Guards against a machine that takes all callers because of one odd setting.
@pytest.mark.parametrize(
    "changes",
    [
        {"cpu_share": -1.0, "cpu_count": 2.0},
        {"memory_mb": float("nan")},
        {"memory_mb": 552e6},
        {"max_descriptors": -1},
        {"link_mbps": float("inf")},
    ],
)
def test_an_implausible_capacity_in_the_settings_is_unknown(changes):
    values = {"cpu_share": 1.0, "cpu_count": 1.0, **changes}
    settings_of_vm = samples.make_settings(**values)
    assert registry.own_record(settings_of_vm, "process").capacity is None


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

"""Tests of `mulberrydeck check` against a platform in this process."""

import click.testing
import msgspec
import pytest

from mulberrydeck.checking.tests import samples as checking_samples
from mulberrydeck.cli import main as cli
from mulberrydeck.model.tests import samples
from standins.platform import vms

CLEAN_TOML = checking_samples.CLEAN_TOML


@pytest.fixture
def clean(tmp_path):
    path = tmp_path / "clean.toml"
    path.write_text(CLEAN_TOML)
    return path


def test_clean_file_exits_with_0(run, clean):
    checked = run("check", str(clean))
    assert checked.exit_code == 0
    assert checked.stdout == (
        f"{clean}: 0 errors, 0 warnings "
        "(3 zones, 1 services, 3 targets, 2 accounts).\n"
    )


def test_all_errors_are_listed_with_place_and_remedy(run, clean):
    # Guards against a second validation: texts are those of `apply`.
    text = CLEAN_TOML.replace("slots = 3", "slots = 0", 1)
    text = text.replace("burst = 20", "burst = 0")
    text = text.replace("500_000_000", "0")
    clean.write_text(text)
    checked = run("check", str(clean))
    assert checked.exit_code == 1
    lines = checked.stdout.splitlines()
    assert lines[:-1] == [
        "error: limits[0].burst = 0: use at least 1.",
        "error: links[0].cap_bytes_per_s = 0: must be above 0; raise it.",
        "error: targets[0].slots = 0: must be above 0; raise it.",
    ]
    applied = run("apply", str(clean)).stderr
    assert all(line.removeprefix("error: ") in applied for line in lines[:-1])


def test_missing_keys_and_wrong_types_are_findings(run, clean):
    # Guards against exit code 2 for a file that can be read.
    clean.write_text(CLEAN_TOML.replace("burst = 20\n", 'colour = "red"\n'))
    checked = run("check", str(clean))
    assert checked.exit_code == 1
    assert "error: limits[0].burst: is missing; add it." in checked.stdout
    assert "error: limits[0].colour: is an unknown key" in checked.stdout


def test_warnings_exit_with_1(run, clean):
    clean.write_text(samples.FLEET_TOML)
    checked = run("check", str(clean))
    assert checked.exit_code == 1
    assert "warning: accounts[1]: no access rule lets beta" in checked.stdout
    assert "0 errors, 2 warnings" in checked.stdout


@pytest.mark.parametrize("text", [None, "slots = = 3", "\xff"])
def test_unreadable_file_exits_with_2(run, clean, text):
    clean.unlink()
    if text is not None:
        clean.write_bytes(text.encode("latin-1"))
    checked = run("check", str(clean))
    assert checked.exit_code == 2
    assert "clean.toml: " in checked.stderr


def test_toml_errors_name_the_line(run, clean):
    clean.write_text("\n\nslots = = 3")
    assert "at line 3" in run("check", str(clean)).stderr


def test_changes_against_a_file_exit_with_0(run, clean, tmp_path):
    other = tmp_path / "other.toml"
    other.write_text(CLEAN_TOML.replace("burst = 20", "burst = 30"))
    checked = run("check", str(clean), "--against", str(other))
    assert checked.exit_code == 0
    assert "change: limits gold: burst 30 -> 20\n" in checked.stdout
    other.write_text("slots = = 3")
    assert run("check", str(clean), "--against", str(other)).exit_code == 2


def test_current_shows_changes_keys_and_vms(run, platform, clean):
    assert run("apply", str(clean)).exit_code == 0
    secret = run("key", "issue", "acme").stdout.strip()
    withdrawn = run("key", "issue", "beta").stdout.split("_")[1]
    assert run("key", "withdraw", withdrawn).exit_code == 0
    platform.vms.replace(
        (
            vms.ListedVm("a1", "north-a", "127.0.0.1:1"),
            vms.ListedVm("b1", "north-b", "127.0.0.1:2"),
            vms.ListedVm("c1", "south-a", "127.0.0.1:3", leaving=True),
        )
    )
    clean.write_text(CLEAN_TOML.replace("burst = 20", "burst = 30"))
    checked = run("check", str(clean), "--against", "current")
    assert checked.exit_code == 1
    starts = [
        "warning: accounts[1]: beta has no valid key",
        "warning: zones[2]: no VM runs in south-a",
        "change: limits gold: burst 20 -> 30",
    ]
    checking_samples.assert_starts(checked.stdout.splitlines()[:-1], starts)
    assert secret.split("_")[2] not in checked.output


def test_json_lists_all_findings(run, clean):
    assert run("apply", str(clean)).exit_code == 0
    clean.write_text(CLEAN_TOML.replace("burst = 20", "burst = 10"))
    checked = run("check", str(clean), "--against", "current", "--json")
    assert checked.exit_code == 1
    listed = msgspec.json.decode(checked.stdout)["diagnostics"]
    assert [(item["kind"], item["place"]) for item in listed] == [
        ("warning", "accounts[0]"),
        ("warning", "accounts[1]"),
        ("warning", "limits[0].burst"),
        ("change", "limits gold"),
    ]


def test_unreadable_version_in_force_exits_with_2(run, platform, clean):
    # Guards against the exit code 1 of other commands without a platform.
    platform.faults.outage = "refuse"
    checked = run("check", str(clean), "--against", "current")
    assert checked.exit_code == 2
    assert "The platform responded with status 503" in checked.stderr
    assert run("check", str(clean)).exit_code == 0


def test_current_requires_a_platform(clean):
    # Guards against a comparison with nothing, which would be clean.
    arguments = ("check", str(clean), "--against", "current")
    environment = {"MULBERRYDECK_PLATFORM": None}
    runner = click.testing.CliRunner()
    refused = runner.invoke(cli.main, arguments, env=environment)
    assert refused.exit_code == 2
    assert "--against current needs --platform" in refused.stderr

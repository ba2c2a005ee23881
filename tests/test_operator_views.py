"""Command-line output about a running fleet, for operators and callers."""

import json

import pytest

from standins import deployments
from standins import fleet
from standins import waiting


@pytest.fixture(name="running", scope="module")
def fixture_running(tmp_path_factory):
    directory = tmp_path_factory.mktemp("operator-views")
    with fleet.Fleet(deployments.small(), directory) as started:
        started.start()
        started.apply()
        yield started


def vm_option(running) -> tuple[str, str]:
    return ("--vm", running.layout.vm_addresses("east-a-vm1").caller)


def test_status_shows_each_vm_once(running):
    def complete():
        result = running.command("status", "--json", *vm_option(running))
        report = json.loads(result.output)
        names = [vm["name"] for vm in report["vms"]]
        return result.exit_code == 0 and names == sorted(running.vms)

    waiting.until(complete, "status names every VM once")
    shown = running.run_checked("status", "--details", *vm_option(running))
    assert "CONFIG" in shown
    assert "quota account/acme" in shown


def test_a_drained_target_shows_until_it_is_undrained(running):
    running.run_checked("drain", "permits-east-a-1")
    text = "target permits-east-a-1 of permits is draining, 0 of"

    def shown():
        return running.command("status", *vm_option(running)).output

    waiting.until(lambda: text in shown(), "the drain is shown")
    running.run_checked("undrain", "permits-east-a-1")
    waiting.until(lambda: text not in shown(), "the drain is no longer shown")


def test_explain_names_rules_and_vm(running):
    def explained():
        arguments = ("explain", "acme", "permits", *vm_option(running))
        result = running.command(*arguments)
        return result.output if result.exit_code == 0 else None

    text = waiting.until(explained, "acme is admitted")
    assert "Access rule 'everyone'" in text
    assert "Spill step 1: east-a" in text
    refused = running.command("explain", "acme", "none", *vm_option(running))
    assert refused.exit_code == 1


def test_ask_and_call_use_the_nearest_vm(running):
    arguments = ("ask", "permits", "--from", "west-a", *vm_option(running))

    def asked():
        return running.run_checked(*arguments).splitlines()[0].split()

    waiting.until(lambda: asked()[1] == "west-a-vm1", "west-a-vm1 is first")
    key = running.issue_key("acme")
    arguments = (
        "call",
        "permits",
        "/status",
        "--key",
        key,
        *vm_option(running),
    )

    def called():
        result = running.command(*arguments)
        return result.output if result.exit_code == 0 else None

    response = json.loads(waiting.until(called, "the call succeeds"))
    assert response["account"] == "acme"
    refused = running.command("call", "permits", "/status", *vm_option(running))
    assert refused.exit_code == 1
    assert json.loads(refused.output)["ran"] == "no"

"""Tests of the command line against a platform and VMs in this process."""

import contextlib

import msgspec
import pytest

from mulberrydeck.core import gateway
from mulberrydeck.model.tests import samples
from standins import serving
from standins.platform import app


def test_invalid_files_are_not_applied(run, fleet, platform):
    revision = platform.store.revision
    fleet.write_text("colour = 'red'")
    refused = run("apply", "--replace", str(fleet))
    assert refused.exit_code == 2
    assert "colour: is an unknown key" in refused.stderr
    assert platform.store.revision == revision


def test_output_of_get_can_be_edited_and_applied(run, fleet):
    text = run("get").stdout
    fleet.write_text(text)
    assert "unchanged" in run("apply", str(fleet)).stdout
    fleet.write_text(text.replace("burst = 20", "burst = 30"))
    shown = run("diff", str(fleet)).stdout
    assert "limits gold: burst 20 -> 30" in shown
    assert "Applied as version 2" in run("apply", str(fleet)).stdout
    assert run("apply", str(fleet)).exit_code == 0


def test_apply_requires_the_base_version(run, fleet):
    fleet.write_text(samples.FLEET_TOML.replace("burst = 20", "burst = 30"))
    refused = run("apply", str(fleet))
    assert refused.exit_code == 2
    assert "--base 1" in refused.stderr
    assert run("apply", "--base", "1", str(fleet)).exit_code == 0
    fleet.write_text(samples.FLEET_TOML)
    outdated = run("apply", "--base", "1", str(fleet))
    assert outdated.exit_code == 1
    assert "ann came first with version 2" in outdated.stderr
    assert run("apply", "--replace", str(fleet)).exit_code == 0


def test_get_shows_drains_and_labels(run, fleet):
    assert run("drain", "permits-1", "permits-2").exit_code == 0
    assert run("get").stdout.count("draining = true") == 2
    again = run("drain", "permits-1")
    assert "in force as version 2" in again.stdout
    assert run("undrain", "permits-1", "permits-2").exit_code == 0
    assert run("label", "account", "acme", "tier-", "x=y").exit_code == 0
    assert 'x = "y"' in run("get").stdout


@pytest.mark.parametrize(
    ("arguments", "remedy"),
    [
        (("drain", "permits-9"), "mulberrydeck get"),
        (("label", "account", "acme", "tier"), "write `key=value`"),
        (("label", "account", "acme", "tier=a b"), "use letters"),
        (("label", "colour", "acme", "x=y"), "'account'"),
        (("key", "issue", "nobody"), "[[accounts]]"),
        (("key", "withdraw", "0123"), "key list"),
        (("get", "--platform", "ftp://x"), "http://host:port"),
        (("serve", "--settings", "absent.toml"), "check the path"),
    ],
)
def test_invalid_input_is_reported_with_a_remedy(run, fleet, arguments, remedy):
    refused = run(*arguments)
    assert refused.exit_code == 2
    assert remedy in refused.stderr


def test_get_fails_without_a_configuration(run):
    failed = run("get")
    assert failed.exit_code == 1
    assert "apply FILE" in failed.stderr


def test_withdrawn_keys_stay_listed_as_withdrawn(run, fleet):
    secret = run("key", "issue", "acme").stdout.strip()
    key_id = secret.split("_")[1]
    assert f"{key_id}  acme" in run("key", "list").stdout
    assert run("key", "list", "--account", "beta").stdout == ""
    assert run("key", "withdraw", key_id).exit_code == 0
    assert "withdrawn" in run("key", "list").stdout
    assert run("key", "withdraw", key_id).exit_code == 0


def vm_status(name: str, version: int) -> gateway.Status:
    peer = gateway.PeerStatus("b1", "north-b", False, False, version)
    target = gateway.TargetStatus("permits-1", "permits", True, "ready", 1, 3)
    quota = gateway.QuotaStatus("account/acme", 5, 1, 0, 2.5)
    return gateway.Status(
        name,
        "north-a",
        False,
        version,
        4,
        float("inf"),
        "a1",
        (peer,),
        (quota,),
        (target,),
    )


@contextlib.contextmanager
def entry_vm(name: str, version: int, requests: list):
    """Serves the responses of a VM to operators and callers."""

    def serve(environ, start_response):
        requests.append(environ)
        address = serving.address_of(server)
        match environ["PATH_INFO"]:
            case "/v1/status":
                body = msgspec.to_builtins(vm_status(name, version))
            case "/v1/lookup":
                vm = gateway.EntryVm(name, "north-a", address)
                body = msgspec.to_builtins(
                    gateway.LookupResponse((vm,), 5.0, version)
                )
            case "/v1/explain":
                steps = ("No access rule matches.",)
                body = msgspec.to_builtins(
                    gateway.Explanation(False, steps, "", "")
                )
            case "/v1/services/permits/fees":
                return serving.respond(start_response, "201 Made", b"paid")
            case _:
                return serving.respond(start_response, "403 Refused", b"{}")
        return serving.respond_json(start_response, body)

    server = serving.start("127.0.0.1:0", serve)
    yield serving.address_of(server)
    server.stop()


def test_status_shows_all_vms_and_names_missing_ones(run, platform):
    listed = platform.vms
    listed.replace((app.vms.ListedVm("b1", "north-b", "127.0.0.1:1"),))
    with entry_vm("a1", 7, []) as vm_1, entry_vm("a2", 8, []) as vm_2:
        shown = run("status", "--vm", vm_1, "--vm", vm_2, "--details")
        as_json = run("status", "--vm", vm_1, "--json")
    assert shown.exit_code == 1
    assert "a1  north-a  serving  7       4     never" in shown.stdout
    assert "no response: b1" in shown.stdout
    assert "differ in their configuration" in shown.stdout
    assert "1 of 3 slots used" in shown.stdout
    report = msgspec.json.decode(as_json.stdout)
    assert report["vms"][0]["config_version"] == 7
    assert report["missing"] == ["b1"]


def test_status_names_vms_that_do_not_respond(run):
    shown = run("status", "--vm", "127.0.0.1:1", "--given")
    assert shown.exit_code == 1
    assert "127.0.0.1:1 cannot be reached" in shown.stdout


def test_explain_names_the_refusing_rule(run):
    with entry_vm("a1", 7, []) as vm:
        shown = run("explain", "acme", "permits", "--vm", vm)
    assert shown.exit_code == 1
    assert "refused\n  No access rule matches." in shown.stdout


def test_ask_and_call_act_as_a_caller(run, monkeypatch):
    monkeypatch.setenv("MULBERRYDECK_KEY", "mdk_1_2")
    requests = []
    with entry_vm("a1", 7, requests) as vm:
        asked = run("ask", "permits", "--from", "north-a", "--vm", vm)
        sent = ("--method", "POST", "--data", "x", "--run-id", "fee-1")
        called = run("call", "permits", "/fees", *sent, "--vm", vm)
        refused = run("call", "permits", "/other", "--vm", vm)
    assert asked.stdout == f"{vm}  a1  north-a\n"
    assert (called.exit_code, called.stdout) == (0, "paid")
    assert refused.exit_code == 1
    posted = requests[2]
    assert posted["HTTP_MULBERRYDECK_KEY"] == "mdk_1_2"
    assert posted["HTTP_MULBERRYDECK_RUN_ID"] == "fee-1"

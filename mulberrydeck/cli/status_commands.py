"""Commands that show the state and the decisions of entry VMs."""

import click
import msgspec

from mulberrydeck.cli import error_reporting
from mulberrydeck.cli import options
from mulberrydeck.cli import status_text
from mulberrydeck.cli import vm_api
from mulberrydeck.core import gateway
from mulberrydeck.platformapi import client


@click.command(
    epilog=options.examples(
        "mulberrydeck status --vm 10.0.0.1:8080",
        "mulberrydeck status --vm 10.0.0.1:8080 --given --json",
    )
)
@options.vms
@options.optional_platform
@options.all_vms(default=True)
@options.as_json
@click.option(
    "--details", is_flag=True, help="Show all targets and quotas of each VM."
)
@click.pass_context
def status(
    ctx: click.Context,
    vm_client: vm_api.VmClient,
    addresses: tuple[str, ...],
    objects: client.ObjectClient | None,
    everywhere: bool,
    as_json: bool,
    details: bool,
) -> None:
    """Show what is in force on each VM.

    Queries the VMs given by --vm and all that they know. With --platform, VMs
    that the platform lists but that did not respond are named too. Exits with
    1 if a VM did not respond.
    """
    queried = vm_client.discover(addresses) if everywhere else addresses
    responses = vm_client.get_from_all(
        queried, "/v1/status", {}, gateway.Status
    )
    listed = _listed_names(objects) if everywhere else ()
    report = status_text.build_report(responses, listed)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        for line in status_text.lines(report, details):
            click.echo(line)
    if report.silent or report.missing:
        ctx.exit(error_reporting.ExitCode.FAILED)


@click.command(
    epilog=options.examples(
        "mulberrydeck explain acme permits --from north-a --vm 10.0.0.1:8080"
    )
)
@options.vms
@options.all_vms(default=False)
@options.as_json
@click.option("--from", "place", default="", help="Zone to decide from.")
@click.argument("account")
@click.argument("service")
@click.pass_context
def explain(
    ctx: click.Context,
    vm_client: vm_api.VmClient,
    addresses: tuple[str, ...],
    everywhere: bool,
    as_json: bool,
    place: str,
    account: str,
    service: str,
) -> None:
    """Explain how requests of ACCOUNT to SERVICE are handled.

    Names each rule that is evaluated, and the VM and the target that would be
    used or the rule that refuses. Exits with 1 if a VM refuses or does not
    respond.
    """
    queried = vm_client.discover(addresses) if everywhere else addresses
    query = {"account": account, "service": service, "from": place}
    responses = vm_client.get_from_all(
        queried, "/v1/explain", query, gateway.Explanation
    )
    if as_json:
        click.echo(msgspec.json.encode(responses))
    else:
        for address, response in responses.items():
            for line in status_text.explanation_lines(address, response):
                click.echo(line)
    if not all(_is_allowed(response) for response in responses.values()):
        ctx.exit(error_reporting.ExitCode.FAILED)


def _is_allowed(response: gateway.Explanation | vm_api.RequestFailure) -> bool:
    return isinstance(response, gateway.Explanation) and response.allowed


def _listed_names(objects: client.ObjectClient | None) -> tuple[str, ...]:
    if objects is None:
        return ()
    listed = objects.vms().value_or(())
    return tuple(vm.name for vm in listed if not vm.leaving)


commands = (status, explain)

"""Commands that send requests as a caller does, to try out a deployment."""

import pathlib

import click
import msgspec

from mulberrydeck import errors
from mulberrydeck.cli import error_reporting
from mulberrydeck.cli import options
from mulberrydeck.cli import vm_api
from mulberrydeck.platformapi import exchange

FILE_PREFIX = "@"
MAX_SUCCESS_STATUS = 399


@click.command(
    epilog=options.examples(
        "mulberrydeck ask permits --from north-a --vm 10.0.0.1:8080"
    )
)
@options.vms
@options.as_json
@click.option("--from", "place", default="", help="Zone, region or IP address.")
@click.argument("service", default="")
def ask(
    vm_client: vm_api.VmClient,
    addresses: tuple[str, ...],
    as_json: bool,
    place: str,
    service: str,
) -> None:
    """Ask which entry VMs to use for SERVICE, best first."""
    response = vm_client.look_up(addresses, service, place)
    if as_json:
        click.echo(msgspec.json.encode(response))
        return
    for vm in response.vms:
        click.echo(f"{vm.address}  {vm.name}  {vm.zone}")
    click.echo(
        f"valid for {response.lifetime_s} s, configuration version "
        f"{response.config_version}",
        err=True,
    )


@click.command(
    epilog=options.examples(
        "mulberrydeck call permits /status --vm 10.0.0.1:8080",
        "mulberrydeck call permits /fees --method POST --run-id fee-4711",
    )
)
@options.vms
@click.option(
    "--key",
    envvar=options.KEY_VARIABLE,
    show_envvar=True,
    help="Caller's key; prefer the variable, as other users see arguments.",
)
@click.option("--method", default="GET", show_default=True)
@click.option("--data", help="Request body, or @FILE to read it from a file.")
@click.option(
    "--run-id", help="Identifier of a request that may run only once."
)
@click.option("--request-id", help="Identifier for logs and traces.")
@click.option(
    "--deadline", type=float, help="Time allowed for the request, in seconds."
)
@click.option("--from", "place", default="", help="Zone, region or IP address.")
@click.argument("service")
@click.argument("path", default="/")
@click.pass_context
def call(
    ctx: click.Context,
    vm_client: vm_api.VmClient,
    addresses: tuple[str, ...],
    key: str | None,
    method: str,
    data: str | None,
    run_id: str | None,
    request_id: str | None,
    deadline: float | None,
    place: str,
    service: str,
    path: str,
) -> None:
    """Send a request to SERVICE through the best entry VM.

    The body of the response goes to standard output, its status to standard
    error. Exits with 1 if the request was refused or failed.
    """
    headers = _headers(key, run_id, request_id, deadline)
    request = exchange.Request(
        method, f"/v1/services/{service}{path}", headers, _body(data)
    )
    lookup = vm_client.look_up(addresses, service, place)
    if not lookup.vms:
        raise errors.VmCallError("No entry VM is serving now; try again later.")
    vm = lookup.vms[0]
    response = vm_client.send(vm.address, request)
    click.echo(f"{response.status} from {vm.name} ({vm.address})", err=True)
    click.echo(response.body, nl=False)
    if response.status > MAX_SUCCESS_STATUS:
        ctx.exit(error_reporting.ExitCode.FAILED)


def _headers(
    key: str | None,
    run_id: str | None,
    request_id: str | None,
    deadline_s: float | None,
) -> dict[str, str]:
    values = {
        "Mulberrydeck-Key": key,
        "Mulberrydeck-Run-Id": run_id,
        "Mulberrydeck-Request-Id": request_id,
        "Mulberrydeck-Deadline": deadline_s,
    }
    return {
        name: str(value) for name, value in values.items() if value is not None
    }


def _body(data: str | None) -> bytes:
    if data is None:
        return b""
    if not data.startswith(FILE_PREFIX):
        return data.encode()
    path = pathlib.Path(data.removeprefix(FILE_PREFIX))
    try:
        return path.read_bytes()
    except OSError as error:
        raise click.BadParameter(
            f"{path}: cannot be read ({error.strerror}); check the path.",
            param_hint="--data",
        ) from error


commands = (ask, call)

"""Options that several commands share."""

from collections.abc import Callable
import functools
import getpass
import os

import click

from mulberrydeck.cli import vm_api
from mulberrydeck.platformapi import client

PLATFORM_VARIABLE = "MULBERRYDECK_PLATFORM"
AUTHOR_VARIABLE = "MULBERRYDECK_AUTHOR"
VMS_VARIABLE = "MULBERRYDECK_VMS"
KEY_VARIABLE = "MULBERRYDECK_KEY"
PLATFORM_TIMEOUT_S = 5.0
VM_TIMEOUT_S = 30.0


def examples(*commands: str) -> str:
    """Returns the epilog of a help text, which shows examples.

    Args:
        *commands: Command lines.
    """
    heading = "Example:" if len(commands) == 1 else "Examples:"
    # A leading backspace prevents click from rewrapping the lines.
    return "\b\n" + "\n  ".join((heading, *commands))


def platform(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--platform` and `--timeout`, passed as the client `objects`."""

    @click.option(
        "--platform",
        "platform_url",
        envvar=PLATFORM_VARIABLE,
        required=True,
        metavar="URL",
        help="Base URL of the platform's object API.",
        show_envvar=True,
    )
    @click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0, min_open=True),
        default=PLATFORM_TIMEOUT_S,
        show_default=True,
        metavar="SECONDS",
        help="Timeout of one call to the platform.",
    )
    @functools.wraps(command)
    def with_client(
        *args: object, platform_url: str, timeout_s: float, **kwargs: object
    ) -> None:
        objects = _client(platform_url, timeout_s)
        command(*args, objects=objects, **kwargs)

    return with_client


def optional_platform(command: Callable[..., None]) -> Callable[..., None]:
    """Adds an optional `--platform`, passed as the client `objects` or None."""

    @click.option(
        "--platform",
        "platform_url",
        envvar=PLATFORM_VARIABLE,
        metavar="URL",
        help="Base URL of the platform's object API.",
        show_envvar=True,
    )
    @functools.wraps(command)
    def with_client(
        *args: object, platform_url: str | None, **kwargs: object
    ) -> None:
        objects = None
        if platform_url is not None:
            objects = _client(platform_url, PLATFORM_TIMEOUT_S)
        command(*args, objects=objects, **kwargs)

    return with_client


def vms(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--vm` and `--timeout`, passed as `addresses` and `vm_client`."""

    @click.option(
        "--vm",
        "addresses",
        envvar=VMS_VARIABLE,
        required=True,
        multiple=True,
        metavar="HOST:PORT",
        help="Caller address of an entry VM; may be given several times.",
        show_envvar=True,
    )
    @click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0, min_open=True),
        default=VM_TIMEOUT_S,
        show_default=True,
        metavar="SECONDS",
        help="Timeout of one request to a VM.",
    )
    @functools.wraps(command)
    def with_vm_client(
        *args: object, timeout_s: float, **kwargs: object
    ) -> None:
        command(*args, vm_client=vm_api.VmClient(timeout_s), **kwargs)

    return with_vm_client


def all_vms(
    default: bool,
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Adds `--all/--given`, passed as `everywhere`.

    Args:
        default: Whether all VMs are queried by default.
    """
    return click.option(
        "--all/--given",
        "everywhere",
        default=default,
        show_default=True,
        help="Query all VMs that the given ones know, or only the given ones.",
    )


def as_json(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--json`, passed as `as_json`."""
    return click.option(
        "--json",
        "as_json",
        is_flag=True,
        help="Print JSON for programs.",
    )(command)


def author(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--author`, which is stored with each change."""
    return click.option(
        "--author",
        envvar=AUTHOR_VARIABLE,
        default=_login_name,
        metavar="NAME",
        help="Author of the change; by default the login name.",
        show_envvar=True,
    )(command)


def _client(platform_url: str, timeout_s: float) -> client.ObjectClient:
    try:
        return client.ObjectClient(platform_url, timeout_s)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--platform") from error


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"

"""Options that several commands share."""

from collections.abc import Callable
import functools
import getpass
import os

import click

from mulberrydeck.platformapi import client

PLATFORM_VARIABLE = "MULBERRYDECK_PLATFORM"
AUTHOR_VARIABLE = "MULBERRYDECK_AUTHOR"
VMS_VARIABLE = "MULBERRYDECK_VMS"
KEY_VARIABLE = "MULBERRYDECK_KEY"
PLATFORM_TIMEOUT_S = 5.0


def platform(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--platform` and `--timeout`, passed on as the client `objects`."""

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
        help="Time allowed for one call to the platform.",
    )
    @functools.wraps(command)
    def with_client(
        *args: object, platform_url: str, timeout_s: float, **kwargs: object
    ) -> None:
        try:
            objects = client.ObjectClient(platform_url, timeout_s)
        except ValueError as error:
            raise click.BadParameter(
                str(error), param_hint="--platform"
            ) from error
        command(*args, objects=objects, **kwargs)

    return with_client


def author(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--author`, which is kept with each change."""
    return click.option(
        "--author",
        envvar=AUTHOR_VARIABLE,
        default=_login,
        metavar="NAME",
        help="Who makes the change; by default the login name.",
        show_envvar=True,
    )(command)


def _login() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"

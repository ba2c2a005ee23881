"""Matches requests to routes and authenticates their client accounts."""

from mulberrydeck import errors
from mulberrydeck.core import events
from mulberrydeck.core import problems
from mulberrydeck.core import state as core_state
from mulberrydeck.model import configuration


def route_of(
    state: core_state.State, event: events.RequestArrived
) -> configuration.Route | errors.Problem:
    """Returns the route that matches a request, or a refusal."""
    if state.configuration is None:
        return problems.not_configured()
    route = state.configuration.route_of(
        event.service, event.method, event.path
    )
    return route or problems.unknown_route(event.service)


def authenticate(
    state: core_state.State,
    event: events.RequestArrived,
    route: configuration.Route,
) -> str | errors.Problem:
    """Returns the client account, empty on open routes, or a refusal."""
    if route.open_to_all:
        return ""
    if not event.key:
        return problems.key_missing()
    account = account_of_key(state, event.key)
    if isinstance(account, errors.Problem):
        return account
    if state.configuration.access_rule(account, event.service) is None:
        return problems.not_allowed(account, event.service)
    return account


def account_of_key(state: core_state.State, key: str) -> str | errors.Problem:
    """Returns the client account of a valid key, or a refusal.

    Keys are refused when the platform has not confirmed the keyring for
    `keys_offline_s`, since withdrawals may have been missed.
    """
    keys = state.documents.by_name["keys"]
    unconfirmed_s = state.now_s - keys.confirmed_at_s
    if state.key_index is None or unconfirmed_s > state.settings.keys_offline_s:
        return problems.keys_stale()
    return state.key_index.account_of(key) or problems.key_rejected()

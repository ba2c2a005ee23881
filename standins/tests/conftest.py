"""Fixtures that run stand-ins in the test's own process."""

import pytest

from standins import http_client
from standins import serving
from standins.platform import app as platform_app
from standins.target import app as target_app
from standins.target import behaviour


@pytest.fixture
def serve():
    """Serves applications on loopback and stops them after the test."""
    servers = []

    def start(application):
        server = serving.start("127.0.0.1:0", application)
        servers.append(server)
        return serving.address_of(server)

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def platform(serve):
    """A client of a running platform stand-in."""
    return http_client.Client(serve(platform_app.Platform()))


@pytest.fixture
def target(serve):
    """A client of a running target with two slots."""
    state = behaviour.TargetState("t1", behaviour.Behaviour(slots=2))
    return http_client.Client(serve(target_app.Target(state)))

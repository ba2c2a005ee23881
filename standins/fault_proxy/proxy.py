"""The proxy's listeners and its control paths."""

import socket

import attrs
import cattrs
import gevent
from gevent import server as gevent_server

from standins import serving
from standins.fault_proxy import connections
from standins.fault_proxy import counters
from standins.fault_proxy import rules
from standins.fault_proxy import specification

BACKLOG = 1024


class Proxy:
    """All links of one process.

    Attributes:
        rules: Rules in force.
        counters: Counts of bytes and connections.
        places_by_ip: Places by IP address.
        places_by_name: Places by name.
        open: Open connections.
        servers: Listeners, in the order of the links.
    """

    def __init__(self, spec: specification.Specification):
        self.rules = rules.Rules()
        self.counters = counters.Counters()
        self.places_by_ip = {
            place.ip: place for place in spec.places if place.ip
        }
        self.places_by_name = {place.name: place for place in spec.places}
        self.open: set[connections.Connection] = set()
        self.servers = [self.listen(link) for link in spec.links]

    def listen(self, link: specification.Link) -> gevent_server.StreamServer:
        """Returns the started listener of a link."""

        def handle(accepted, address):
            self.handle(link, accepted, address[0])

        server = gevent_server.StreamServer(
            serving.split_address(link.listen), handle, backlog=BACKLOG
        )
        server.start()
        return server

    def handle(self, link: specification.Link, accepted, peer_ip: str) -> None:
        """Forwards one accepted connection."""
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        source = self.places_by_ip.get(peer_ip, specification.UNKNOWN_PLACE)
        destination = self.places_by_name[link.place]
        connection = connections.Connection(
            accepted,
            link.upstream,
            self.flow(link.kind, source, destination),
            self.flow(link.kind, destination, source),
        )
        self.counters.opened[link.kind] += 1
        if connection.is_cut():
            connections.reset(accepted)
            return
        self.open.add(connection)
        try:
            connection.run()
        finally:
            self.open.discard(connection)

    def flow(
        self,
        kind: str,
        source: specification.Place,
        destination: specification.Place,
    ) -> connections.Flow:
        """Returns a new flow between two places."""
        series = self.counters.series_of(kind, source.zone, destination.zone)
        return connections.Flow(self.rules, kind, source, destination, series)

    def add(self, rule: rules.Rule) -> rules.Rule:
        """Puts a rule in force, for open connections too."""
        added = self.rules.add(rule)
        for connection in list(self.open):
            if added.silence_existing:
                connection.silence(added)
            if added.cut and connection.is_cut():
                connection.reset()
        return added

    def __call__(self, environ, start_response):
        """Serves the control paths."""
        path = environ["PATH_INFO"]
        match environ["REQUEST_METHOD"], path.strip("/").split("/"):
            case "POST", ["rules"]:
                converter = cattrs.Converter(forbid_extra_keys=True)
                rule = converter.structure(
                    serving.read_json(environ), rules.Rule
                )
                data = attrs.asdict(self.add(rule))
            case "DELETE", ["rules"]:
                self.rules.clear()
                data = []
            case "DELETE", ["rules", rule_id]:
                self.rules.remove(int(rule_id))
                data = []
            case "GET", ["rules"]:
                listed = self.rules.rules.values()
                data = [attrs.asdict(rule) for rule in listed]
            case "GET", ["counters"]:
                query = serving.query_of(environ)
                data = self.counters.report(float(query.get("since_s", "0")))
                data["open"] = len(self.open)
            case _:
                return serving.respond(start_response, "404 Not Found")
        return serving.respond_json(start_response, data)


def serve(spec: specification.Specification) -> None:
    """Serves a specification until the process is killed."""
    proxy = Proxy(spec)
    control = serving.start(spec.control, proxy)
    serving.announce(serving.address_of(control))
    gevent.wait()

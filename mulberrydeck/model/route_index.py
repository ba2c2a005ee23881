"""Finds the route of a request by the longest matching path prefix."""

from collections.abc import Iterable

from mulberrydeck.model import configuration
from mulberrydeck.model import paths


class RouteIndex:
    """Routes of one service, indexed by the segments of their prefix.

    Args:
        routes: The service's routes.
    """

    def __init__(self, routes: Iterable[configuration.Route]) -> None:
        self.routes_by_segments: dict[
            tuple[str, ...], list[configuration.Route]
        ] = {}
        for route in routes:
            prefix = tuple(
                part for part in route.path_prefix.split("/") if part
            )
            self.routes_by_segments.setdefault(prefix, []).append(route)
        self.max_prefix_segments = max(
            map(len, self.routes_by_segments), default=0
        )

    def find(self, method: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest prefix that allows the method.

        Args:
            method: HTTP method.
            path: Path below the service; a query is ignored.

        Returns:
            None if no route matches or the path is ambiguous.
        """
        segments = paths.segments(path)
        if segments is None:
            return None
        max_length = min(len(segments), self.max_prefix_segments)
        for length in range(max_length, -1, -1):
            route = self._find_at(segments[:length], method)
            if route is not None:
                return route
        return None

    def _find_at(
        self, prefix: tuple[str, ...], method: str
    ) -> configuration.Route | None:
        route_for_all_methods = None
        for route in self.routes_by_segments.get(prefix, ()):
            if method in route.methods:
                return route
            if not route.methods:
                route_for_all_methods = route
        return route_for_all_methods

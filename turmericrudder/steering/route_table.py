"""A table that finds the route of a request by host and longest path prefix."""

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one configuration, indexed by host and prefix."""

    __slots__ = ("_hosts", "configuration")

    def __init__(self, configuration):
        self.configuration = configuration
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def get_route(self, host, path):
        """Return the route of a request, or ``None``.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: path without the query.
        """
        prefixes = self._hosts.get(_strip_port(host))
        if prefixes is None:
            return None
        # A prefix ends with a slash, so only those positions are looked up.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _strip_port(host):
    name, colon, port = host.rpartition(":")
    return name.lower() if colon and port.isdecimal() else host.lower()

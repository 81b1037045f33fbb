"""A parser of HTTP requests that reads a body whatever the request offers besides."""

import httptools

__all__ = ["RequestParser"]

# Headers of an offer to change the protocol (RFC 9110 7.8, RFC 7540 3.2).
_OFFER_HEADERS = frozenset((b"upgrade", b"http2-settings"))


class RequestParser:
    """Parses requests as ``httptools.HttpRequestParser`` does, but takes no upgrade.

    That parser stops after the head of a request that offers to change the protocol,
    and its body would be taken for the next request. An offer that is not taken is
    ignored: the head is parsed once more without it.

    :param protocol: has the callbacks; after those of a head for which
        :meth:`should_upgrade` is true, ``url`` and ``headers`` hold its request target
        and its (name, value) pairs with names in lower case.
    """

    __slots__ = ("_parser", "_protocol")

    def __init__(self, protocol):
        self._protocol = protocol
        self._parser = self._make_parser()

    def feed_data(self, data):
        """Parse bytes and call the protocol.

        :raises httptools.HttpParserError: if they are no request, or ask for a tunnel.
        """
        rest = memoryview(data)
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as exc:
                rest = rest[exc.args[0] :]
            head = self._make_head_without_offer()
            self._parser = self._make_parser()
            self._parser.feed_data(head)

    def get_method(self):
        """Return the method of the current request as bytes."""
        return self._parser.get_method()

    def get_http_version(self):
        """Return the version of the current request, such as ``1.1``."""
        return self._parser.get_http_version()

    def should_keep_alive(self):
        """Return whether another request may follow the current one."""
        return self._parser.should_keep_alive()

    def should_upgrade(self):
        """Return whether the head is about to be parsed once more without its offer."""
        return self._parser.should_upgrade()

    def _make_parser(self):
        parser = httptools.HttpRequestParser(self._protocol)
        # Without it, requests behind one with "Connection: close" would be errors and
        # end its response.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def _make_head_without_offer(self):
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise httptools.HttpParserError("method CONNECT is not supported")
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self._protocol.url, version)]
        for name, value in self._protocol.headers:
            if name == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(
                    o for o in options if o.lower() not in _OFFER_HEADERS
                )
            if name not in _OFFER_HEADERS:
                lines.append(b"%s: %s" % (name, value))
        return b"\r\n".join(lines) + b"\r\n\r\n"

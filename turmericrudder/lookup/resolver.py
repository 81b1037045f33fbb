"""The resolver, which makes look-up responses from configuration and membership."""

import socket

import msgspec

from ..errors import ConfigurationMissing, LookupInvalid
from ..events import catalogue
from .entry_ranking import rank_entry_instances
from .response import LookupEntry, LookupResponse

__all__ = ["LookupResolver"]

# Clients whose addresses differ in no more than these lowest bits get the same ranking.
IGNORED_ADDRESS_BITS = 8
GROUPS_PER_LOCALITY = 16  # number of different rankings for one locality


class LookupResolver:
    """Makes look-up responses and caches them until the next :meth:`update`."""

    __slots__ = (
        "_configuration",
        "_key_prefixes",
        "_log",
        "_members",
        "_own_member",
        "_responses",
        "_ttl",
    )

    def __init__(self, own_member, ttl, log):
        """Start without a configuration.

        :param own_member: the member of this instance.
        :param ttl: seconds for which callers may cache a response.
        :param log: the event log.
        """
        self._own_member = own_member
        self._ttl = ttl
        self._log = log
        self._configuration = None
        self._members = []
        self._key_prefixes = {}
        self._responses = {}

    def update(self, configuration, members, key_prefixes):
        """Set the data that responses are made from, and clear the cache.

        :param members: the members that responses may contain.
        :param key_prefixes: dict of instance name to its operation-key prefix.
        """
        self._configuration = configuration
        self._members = members
        self._key_prefixes = key_prefixes
        self._responses.clear()

    def get_encoded_response(self, service, client):
        """Return the encoded :class:`LookupResponse` for a client.

        :param client: IP address as text.
        :raises ConfigurationMissing: if no configuration has been set.
        :raises LookupInvalid: if the service is unknown or ``client`` is not an IP
            address.
        """
        configuration = self._configuration
        if configuration is None:
            raise ConfigurationMissing("no configuration is known here yet")
        if service not in configuration.services:
            raise LookupInvalid(f"unknown service {service!r}")
        locality, client_group = self._locate(client)
        response = self._responses.get((service, locality, client_group))
        if response is None:
            response = msgspec.json.encode(
                self._make_response(service, locality, client_group)
            )
            self._responses[service, locality, client_group] = response
        return response

    def get_home_region(self, client):
        """Return the region of a client's address block.

        For an unknown block it is the region of this instance.

        :param client: IP address as text.
        :raises LookupInvalid: if ``client`` is not an IP address.
        """
        locality, _ = self._locate(client)
        return self._configuration.domain_regions.get(locality, locality)

    def _locate(self, client):
        """Return the locality and the client group of an IP address."""
        number = _parse_ipv4(client)
        locality = None
        if number is None:
            number = _parse_ipv6(client)
        else:
            locality = self._configuration.block_table.get_locality_by_number(number)
        client_group = (number >> IGNORED_ADDRESS_BITS) % GROUPS_PER_LOCALITY
        return locality or self._own_member.region, client_group

    def _make_response(self, service, locality, client_group):
        configuration = self._configuration
        members = rank_entry_instances(
            locality, client_group, self._members, configuration.domain_regions
        )
        entries = tuple(
            LookupEntry(
                member.name, member.caller_address, member.region, member.failure_domain
            )
            for member in members
        )
        self._log.write(
            catalogue.PLACEMENT_CHANGED,
            service=service,
            place=locality,
            slice=client_group,
            order=",".join(member.name for member in members),
        )
        prefix = ""
        if members:
            own_prefix = self._key_prefixes.get(self._own_member.name, "")
            prefix = self._key_prefixes.get(members[0].name) or own_prefix
        return LookupResponse(
            service=service,
            place=locality,
            entries=entries,
            ttl=self._ttl,
            revision=configuration.revision,
            key_prefix=prefix,
        )


def _parse_ipv4(text):
    """Return an IPv4 address as an int, ``None`` if the text is not one."""
    # Several times as fast as the ipaddress module, and as strict.
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except (OSError, ValueError):
        return None


def _parse_ipv6(text):
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET6, text), "big")
    except (OSError, ValueError):
        raise LookupInvalid(f"{text!r} is no IP number") from None

"""Look-up answers from the configuration and view in force."""

import socket

import msgspec

from ..errors import ConfigurationMissing, LookupInvalid
from ..events import catalogue
from .entry_ranking import rank_entry_instances
from .response import LookupEntry, LookupResponse

__all__ = ["LookupResolver"]

# Clients whose addresses differ in the last bits only share an order.
BLOCK_SHIFT = 8
ORDERS_PER_PLACE = 16


class LookupResolver:
    """Answers look-ups; answers are kept until view or configuration change."""

    __slots__ = (
        "_answers",
        "_configuration",
        "_here",
        "_log",
        "_members",
        "_prefixes",
        "_ttl",
    )

    def __init__(self, own_member, ttl, log):
        """Prepare without configuration.

        :param own_member: this instance's member record.
        :param ttl: seconds callers may cache an answer.
        """
        self._here = own_member
        self._ttl = ttl
        self._log = log
        self._configuration = None
        self._members = []
        self._prefixes = {}
        self._answers = {}

    def update(self, configuration, members, prefixes):
        """Take the state that answers are made of.

        :param members: records that may be named.
        :param prefixes: {instance name: operation-key prefix it issues}.
        """
        self._configuration = configuration
        self._members = members
        self._prefixes = prefixes
        self._answers.clear()

    def get_encoded_response(self, service, client):
        """Return the encoded :class:`LookupResponse` for a client.

        :param client: IP number as text.
        :raises ConfigurationMissing: if none is in force yet.
        :raises LookupInvalid: if the service or the IP number is unknown.
        """
        configuration = self._configuration
        if configuration is None:
            raise ConfigurationMissing("no configuration is known here yet")
        if service not in configuration.services:
            raise LookupInvalid(f"unknown service {service!r}")
        place, slice_ = self._locate(client)
        answer = self._answers.get((service, place, slice_))
        if answer is None:
            answer = msgspec.json.encode(self._make_answer(service, place, slice_))
            self._answers[service, place, slice_] = answer
        return answer

    def get_home_region(self, client):
        """Return the region of a client's block; unknown ones belong here."""
        place, _ = self._locate(client)
        return self._configuration.domain_regions.get(place, place)

    def _locate(self, client):
        number = _parse_ipv4(client)
        place = None
        if number is None:
            number = _parse_ipv6(client)
        else:
            place = self._configuration.block_table.get_locality_by_number(number)
        slice_ = (number >> BLOCK_SHIFT) % ORDERS_PER_PLACE
        return place or self._here.region, slice_

    def _make_answer(self, service, place, slice_):
        configuration = self._configuration
        members = rank_entry_instances(
            place, slice_, self._members, configuration.domain_regions
        )
        entries = tuple(
            LookupEntry(m.name, m.caller_address, m.region, m.failure_domain)
            for m in members
        )
        self._log.write(
            catalogue.PLACEMENT_CHANGED,
            service=service,
            place=place,
            slice=slice_,
            order=",".join(member.name for member in members),
        )
        prefix = ""
        if members:
            own = self._prefixes.get(self._here.name, "")
            prefix = self._prefixes.get(members[0].name) or own
        return LookupResponse(
            service=service,
            place=place,
            entries=entries,
            ttl=self._ttl,
            revision=configuration.revision,
            key_prefix=prefix,
        )


def _parse_ipv4(text):
    """Return an IPv4 address as an int, ``None`` if it is none."""
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

"""Decode directory requests and encode the responses that name entry instances."""

from urllib.parse import parse_qs

import msgspec

__all__ = ["decode_directory_request", "encode_directory_response"]


def decode_directory_request(query):
    """Return (failure domain, region) of the client; ``""`` for a missing one.

    :param query: query string of the request as bytes.
    """
    fields = parse_qs(query.decode("latin-1"))
    return fields.get("zone", [""])[0], fields.get("region", [""])[0]


def encode_directory_response(members, ttl):
    """Return the response body with the addresses of entry instances.

    :param ttl: seconds for which the client may cache the response.
    """
    addresses = [str(member.address) for member in members]
    return msgspec.json.encode({"addrs": addresses, "ttl_s": ttl})

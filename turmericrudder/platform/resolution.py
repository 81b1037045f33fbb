"""The directory's call: a question's fields and the answer's body."""

from urllib.parse import parse_qs

import msgspec

__all__ = ["decode_resolve_request", "encode_resolve_response"]


def decode_resolve_request(query):
    """Return (failure domain, region) of the client that asks.

    :param query: the query of the call as bytes.
    """
    fields = parse_qs(query.decode("latin-1"))
    return fields.get("zone", [""])[0], fields.get("region", [""])[0]


def encode_resolve_response(members, ttl):
    """Return the body that names entry instances.

    :param ttl: seconds that the client may keep the answer.
    """
    addresses = [str(member.address) for member in members]
    return msgspec.json.encode({"addrs": addresses, "ttl_s": ttl})

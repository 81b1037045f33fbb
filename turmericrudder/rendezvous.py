"""Rendezvous hashing.

Processes with the same list of names choose the same name for a key, and adding
or removing a name moves only the keys of that name.
"""

import hashlib
import math

__all__ = ["get_hash", "get_score", "get_unit_hash", "rank_names"]

_HASH_RANGE = 2.0**64


def get_score(key, name, weight=1.0):
    """Return the score of a name for a key; the name with the highest is chosen.

    :param weight: share of the keys for this name, relative to other names.
    """
    return -weight / math.log(get_unit_hash(key, name))


def get_unit_hash(key, name):
    """Return a hash of both texts as a number between 0 and 1, never 0 or 1."""
    return (get_hash(f"{key}\0{name}") + 0.5) / _HASH_RANGE


def get_hash(text):
    """Return a hash of a text as a whole number below 2 ** 64."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_names(key, names):
    """Return the names sorted by their scores for a key, the highest first."""
    return sorted(names, key=lambda name: (-get_score(key, name), name))

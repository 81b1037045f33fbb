"""Rendezvous hashing: equal views choose equally, small changes move little."""

import hashlib
import math

__all__ = ["get_score", "get_unit_hash", "rank_names"]

_SCALE = 2.0**64


def get_score(key, name, weight=1.0):
    """Return the score of a name for a key; the highest score is chosen.

    :param weight: share of keys the name should get, relative to others.
    """
    return -weight / math.log(get_unit_hash(key, name))


def get_unit_hash(key, name):
    """Return a number between 0 and 1 that depends on both texts alone."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _SCALE


def rank_names(key, names):
    """Return the names from the highest score to the lowest."""
    return sorted(names, key=lambda name: (-get_score(key, name), name))

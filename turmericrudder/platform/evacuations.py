"""Decode the keys of evacuations; the values of these entries are not used."""

from .protocol import EVACUATION_PREFIX

__all__ = ["get_evacuated_domain"]


def get_evacuated_domain(key):
    """Return the failure domain that the store entry of a key evacuates."""
    return key[len(EVACUATION_PREFIX) :]

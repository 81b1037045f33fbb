"""Decode the keys of evacuations; what their values say does not matter."""

from .protocol import EVACUATION_PREFIX

__all__ = ["get_evacuated_domain"]


def get_evacuated_domain(key):
    """Return the failure domain whose evacuation a key stands for."""
    return key[len(EVACUATION_PREFIX) :]

"""Conversion factors between units on the wire and units in the code."""

__all__ = ["MS_PER_SECOND"]

MS_PER_SECOND = 1000

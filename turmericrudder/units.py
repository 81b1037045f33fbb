"""Factors between units that appear on the wire and those used inside."""

__all__ = ["MS_PER_SECOND"]

MS_PER_SECOND = 1000

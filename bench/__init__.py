"""Experiments and a demonstration that run real processes over loopback."""

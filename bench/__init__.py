"""Experiments on real processes over loopback, and the demonstration."""

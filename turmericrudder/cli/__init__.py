"""The command line that starts entry instances and serves operators."""

from .app import main

__all__ = ["main"]

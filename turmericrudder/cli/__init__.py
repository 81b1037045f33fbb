"""The command line for daemons and operators."""

from .app import main

__all__ = ["main"]

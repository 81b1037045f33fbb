"""The entry instance on a platform that has a directory of its clients."""

from .instance import Gateway, run_gateway

__all__ = ["Gateway", "run_gateway"]

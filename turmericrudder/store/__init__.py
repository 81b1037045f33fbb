"""Access to the platform: its key-value service and its list of instances."""

from .client import StoreClient
from .listing import InstanceRecord

__all__ = ["InstanceRecord", "StoreClient"]

"""Records that instances keep in the platform's store."""

from .instance_record import InstanceRecord

__all__ = ["InstanceRecord"]

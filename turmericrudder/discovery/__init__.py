"""The platform's list of running instances in the metadata store."""

from .instance_record import InstanceRecord

__all__ = ["InstanceRecord"]

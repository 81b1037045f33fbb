"""The platform's list of running instances, as the metadata store keeps it."""

from .instance_record import InstanceRecord

__all__ = ["InstanceRecord"]

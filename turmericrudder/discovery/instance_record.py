"""Records of the platform's lagging list of instances."""

import msgspec

__all__ = ["InstanceRecord"]


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as the platform lists it.

    :param role: ``entry`` or ``upstream``.
    :param state: ``live`` or ``leaving``.
    :param address: control address of an entry, service address of an upstream.
    """

    name: str
    role: str
    failure_domain: str
    state: str
    address: str

"""One record of the platform's list of instances, which may be out of date."""

import msgspec

__all__ = ["InstanceRecord"]


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance in the platform's list.

    :param role: ``entry`` or ``upstream``.
    :param state: ``live``, or ``leaving`` during a graceful shutdown.
    :param address: control address of an entry instance, service address of an
        upstream.
    """

    name: str
    role: str
    failure_domain: str
    state: str
    address: str

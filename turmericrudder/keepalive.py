"""Probes of the kernel that find connections which went silent."""

import socket

__all__ = ["make_keepalive_options"]


def make_keepalive_options(idle, interval, probes):
    """Return socket options as (level, option, value).

    :param idle: seconds without bytes until the first probe.
    :param interval: seconds between probes.
    :param probes: unanswered ones after which the connection has failed.
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
    )

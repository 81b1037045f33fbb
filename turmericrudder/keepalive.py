"""TCP keepalive: probes by which the kernel detects dead connections."""

import socket

__all__ = ["make_keepalive_options"]


def make_keepalive_options(idle, interval, probes):
    """Return socket options as (level, option, value).

    :param idle: seconds without traffic until the first probe.
    :param interval: seconds between probes.
    :param probes: unanswered probes after which the kernel closes the connection.
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
    )

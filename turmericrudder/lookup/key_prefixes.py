"""The operation-key prefixes that look-up responses may contain."""

__all__ = ["get_key_prefixes"]


def get_key_prefixes(members, heartbeats):
    """Return a dict of instance name to the key prefix of its current incarnation.

    An incarnation is one start of the instance's process. The prefix of an earlier one
    is left out, since a later incarnation cannot execute operations with its keys.

    :param members: the members that are live.
    :param heartbeats: dict of instance name to its last heartbeat.
    """
    return {
        member.name: heartbeats[member.name].key_prefix
        for member in members
        if member.name in heartbeats
        and heartbeats[member.name].incarnation == member.incarnation
    }

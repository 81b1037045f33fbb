"""Which operation-key prefixes look-up answers may carry."""

__all__ = ["get_key_prefixes"]


def get_key_prefixes(members, heartbeats):
    """Return {instance name: prefix} of the incarnations that live now.

    What was heard from an incarnation that has ended says nothing of the next
    one, which cannot run the keys of the first.

    :param members: records of live instances.
    :param heartbeats: {instance name: last heartbeat}.
    """
    return {
        member.name: heartbeats[member.name].key_prefix
        for member in members
        if member.name in heartbeats
        and heartbeats[member.name].incarnation == member.incarnation
    }

"""Which operation-key prefixes look-up answers may carry."""

__all__ = ["get_key_prefixes"]


def get_key_prefixes(members, heard):
    """Return {instance name: prefix} of the incarnations that live now.

    What was heard from an incarnation that has ended says nothing of the next
    one, which cannot run the keys of the first.

    :param members: records of live instances.
    :param heard: {instance name: last heartbeat}.
    """
    return {
        member.name: heard[member.name].key_prefix
        for member in members
        if member.name in heard and heard[member.name].incarnation == member.incarnation
    }

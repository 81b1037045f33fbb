"""The status document of an instance for operators."""

import anyio
import msgspec

__all__ = ["InstanceStatus", "MemberStatus", "TargetStatus", "build_status"]


class MemberStatus(msgspec.Struct, frozen=True):
    """An instance in the view of the one that reports.

    :param status: name of its :class:`~turmericrudder.membership.Status`, in
        lower case.
    :param revision: configuration revision in force there, 0 if unknown.
    :param peers: peer address.
    """

    name: str
    region: str
    failure_domain: str
    status: str
    revision: int
    peers: str


class TargetStatus(msgspec.Struct, frozen=True):
    """A target that the instance owns; the counts are in slots.

    :param slots: slots of the target.
    :param free: slots that can be granted now.
    :param in_flight: slots held by requests of this instance, also by those just
        cancelled.
    :param long: those of them held by long requests.
    :param foreign: those of them held by requests whose home region, the region of
        the caller's address, is another one.
    :param foreign_cap: limit of ``foreign``.
    :param reserved: slots that are not granted, as requests of a previous owner may
        still be in flight.
    :param leaving: whether the target is drained.
    :param ejected: whether the target is ejected after failures.
    :param adopted: whether the target's failure domain has no live instance, but
        an unreachable one may run there and still use the target.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    free: int
    in_flight: int
    long: int
    foreign: int
    foreign_cap: int
    reserved: int
    leaving: bool
    ejected: bool
    adopted: bool


class InstanceStatus(msgspec.Struct, frozen=True):
    """The status document.

    :param revision: configuration revision in force, 0 if there is none.
    :param manifest: hash of its manifest.
    :param members: all instances in the view, including the one that reports.
    :param targets: the targets that the instance owns.
    :param era: the era of the store in which that revision was accepted.
    """

    name: str
    status: str
    revision: int
    manifest: str
    members: list[MemberStatus]
    targets: list[TargetStatus]
    era: int = 0

    @property
    def position(self):
        """The place of the revision among all revisions, as a tuple to compare."""
        return self.era, self.revision


def build_status(instance):
    """Return the :class:`InstanceStatus` of an entry instance."""
    own_member = instance.membership.own_member
    return InstanceStatus(
        name=own_member.name,
        status=own_member.status.name.lower(),
        revision=instance.configurator.revision,
        manifest=instance.configurator.manifest,
        members=_build_members(instance),
        targets=_build_targets(instance),
        era=instance.configurator.era,
    )


def _build_members(instance):
    heartbeats = instance.membership.get_heartbeats()
    members = sorted(instance.membership.view, key=lambda member: member.name)
    return [
        MemberStatus(
            name=member.name,
            region=member.region,
            failure_domain=member.failure_domain,
            status=member.status.name.lower(),
            revision=_get_revision(instance, heartbeats, member.name),
            peers=member.peer_address,
        )
        for member in members
    ]


def _get_revision(instance, heartbeats, name):
    if name == instance.settings.name:
        return instance.configurator.revision
    return heartbeats[name].revision if name in heartbeats else 0


def _build_targets(instance):
    now = anyio.current_time()
    states = instance.dispatcher.allocator.get_states()
    states.sort(key=lambda state: state.target.name)
    return [_build_target(state, now) for state in states]


def _build_target(state, now):
    return TargetStatus(
        name=state.target.name,
        service=state.service.name,
        failure_domain=state.target.failure_domain,
        slots=state.service.slots,
        free=state.get_free_slots(now),
        in_flight=state.in_flight,
        long=state.long_in_flight,
        foreign=state.foreign_in_flight,
        foreign_cap=state.foreign_cap,
        reserved=state.takeover.get_reserved_slots(now),
        leaving=state.is_draining(),
        ejected=state.is_ejected(now),
        adopted=state.adopted_limiter is not None,
    )

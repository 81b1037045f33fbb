"""The status of one instance, as operators see it."""

import anyio
import msgspec

__all__ = ["InstanceStatus", "MemberStatus", "TargetStatus", "build_status"]


class MemberStatus(msgspec.Struct, frozen=True):
    """Another instance, as this one sees it; revision 0 is unknown."""

    name: str
    region: str
    failure_domain: str
    status: str
    revision: int
    peers: str


class TargetStatus(msgspec.Struct, frozen=True):
    """An owned target; counts are slots."""

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
    """The whole document."""

    name: str
    status: str
    revision: int
    manifest: str
    members: list[MemberStatus]
    targets: list[TargetStatus]


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

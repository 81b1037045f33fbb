"""Membership of this instance: heartbeats, failure detection and gossip."""

import random
from contextlib import suppress

import anyio

from ..address import Address
from ..control import (
    Heartbeat,
    LivenessConfirmation,
    LivenessQuery,
    MembershipUpdate,
    Reconcile,
)
from ..errors import AddressInvalid
from ..events import catalogue
from ..membership import (
    FailureDetector,
    MembershipView,
    Status,
    get_gossip_peers,
    get_heartbeat_receivers,
    get_heartbeat_senders,
)
from .election import Election

__all__ = ["Membership"]

TOMBSTONE_TTL = 3600.0  # seconds a failed or stopped instance stays in the view
_STATUS_EVENTS = {
    Status.STARTING: catalogue.MEMBER_JOINED,
    Status.LIVE: catalogue.MEMBER_JOINED,
    Status.LEAVING: catalogue.MEMBER_LEAVING,
    Status.LEFT: catalogue.MEMBER_LEAVING,
    Status.FAILED: catalogue.MEMBER_FAILED,
}


class Membership:
    """Maintains the view: the merged member records of all instances.

    Each instance sends heartbeats to a few others and passes changed member
    records on by gossip. Periodic reconciliation of the view with a random
    instance makes up for lost messages.

    :ivar view: the :class:`~turmericrudder.membership.MembershipView`.
    :ivar own_member: the record of this instance.
    :ivar on_change: called without arguments when the view or an
        operation-key prefix has changed; ``None`` for no call.
    :ivar on_revision: called with (member, revision, manifest hash, era) when an
        instance reports its configuration revision; ``None`` for no call.
    """

    __slots__ = (
        "_channel",
        "_clock",
        "_election",
        "_failure_detector",
        "_heartbeat_receivers",
        "_heartbeats",
        "_inactive_since",
        "_log",
        "_make_heartbeat",
        "_next_reconcile_at",
        "_random",
        "_receivers_version",
        "_seeds",
        "_timing",
        "on_change",
        "on_revision",
        "own_member",
        "view",
    )

    def __init__(
        self,
        own_member,
        settings,
        channel,
        log,
        make_heartbeat,
        clock=anyio.current_time,
    ):
        """Prepare with this instance alone in the view.

        :param make_heartbeat: function that returns the :class:`Heartbeat` to send.
        :param clock: function that returns monotonic seconds.
        """
        self._clock = clock
        self.own_member = own_member
        self.view = MembershipView([own_member])
        self.on_change = None
        self.on_revision = None
        self._channel = channel
        self._make_heartbeat = make_heartbeat
        self._log = log
        self._timing = settings.timing
        self._seeds = {str(seed) for seed in settings.seeds}
        self._failure_detector = FailureDetector(settings.timing)
        self._heartbeat_receivers = []
        self._election = Election()
        self._heartbeats = {}
        self._inactive_since = {}
        self._next_reconcile_at = 0.0
        self._receivers_version = -1
        self._random = random.Random(own_member.nonce)

    def get_heartbeats(self):
        """Return {name: latest heartbeat} of the instances that sent one."""
        return self._heartbeats

    def is_elected(self, role, count):
        """Return whether this instance performs a role in its failure domain.

        :param count: number of instances to elect. While views differ, more
            instances may be elected, which the role has to tolerate.
        """
        return self._election.is_elected(role, count, self.own_member, self.view)

    def add_seed(self, address):
        """Add a control address to reconcile with; ignore it if it is invalid."""
        with suppress(AddressInvalid):
            self._seeds.add(str(Address.parse(address)))

    def set_status(self, status):
        """Change the status of this instance and send it to the others."""
        self._update_own_member(self.own_member.replace(status=status))

    def announce_revision(self):
        """Send the configuration revision in force to the gossip peers now.

        They are the rest of the failure domain and some instances of each other one.
        """
        receivers = self._choose_gossip_peers(None)
        for member in receivers:
            self._channel.send(member.control_address, self._make_reconcile())

    async def run(self):
        """Call :meth:`tick` each heartbeat period until cancelled."""
        while True:
            self.tick(self._clock())
            await anyio.sleep(self._timing.heartbeat)

    def tick(self, now):
        """Send heartbeats, detect failures, and reconcile if it is due.

        :param now: monotonic seconds.
        """
        self._update_heartbeat_peers(now)
        heartbeat = self._make_heartbeat()
        for receiver in self._heartbeat_receivers:
            self._channel.send(receiver.control_address, heartbeat)
        result = self._failure_detector.tick(now)
        self._query_receivers(result.suspected)
        self._mark_failed(result.failed)
        if now >= self._next_reconcile_at:
            self._next_reconcile_at = now + self._timing.reconcile
            self._start_reconcile(now)

    def handle(self, envelope):
        """Handle a membership message of another instance."""
        match envelope.message:
            case Heartbeat() as heartbeat:
                self._handle_heartbeat(heartbeat, envelope.sender)
            case MembershipUpdate(domain, members):
                self._merge(members, domain)
            case Reconcile() as message:
                self._handle_reconcile(message, envelope.sender)
            case LivenessQuery(names):
                self._confirm_liveness(names, envelope.sender)
            case LivenessConfirmation(names):
                for name in names:
                    self._failure_detector.record_indirect_heartbeat(
                        name, self._clock()
                    )

    def _update_heartbeat_peers(self, now):
        if self._receivers_version == self.view.version:
            return
        self._receivers_version = self.view.version
        members = self.view.get_reachable()
        self._heartbeat_receivers = get_heartbeat_receivers(self.own_member, members)
        senders = [
            member.name for member in get_heartbeat_senders(self.own_member, members)
        ]
        self._failure_detector.set_monitored(senders, now)

    def _query_receivers(self, suspected):
        """Ask the other receivers of suspected instances for recent heartbeats."""
        members = self.view.get_reachable()
        for name in suspected:
            self._log.write(catalogue.MEMBER_SUSPECTED, member=name)
            for receiver in get_heartbeat_receivers(self.view.get(name), members):
                if receiver.name != self.own_member.name:
                    self._channel.send(receiver.control_address, LivenessQuery((name,)))

    def _confirm_liveness(self, names, sender):
        now = self._clock()
        confirmed = tuple(
            name
            for name in names
            if self._failure_detector.has_recent_heartbeat(name, now)
        )
        if confirmed:
            self._channel.send(sender, LivenessConfirmation(confirmed))

    def _mark_failed(self, names):
        members = [self.view.get(name) for name in names]
        failed = [m.replace(status=Status.FAILED) for m in members if m is not None]
        if failed:
            self._merge(failed, None)

    def _start_reconcile(self, now):
        """Reconcile with one reachable instance and with one unreachable address.

        The latter is a seed or a failed instance and may have come back. With no
        reachable instance, all such addresses are tried.
        """
        others = [
            m for m in self.view.get_reachable() if m.name != self.own_member.name
        ]
        message = self._make_reconcile()
        if others:
            member = self._random.choice(others)
            self._channel.send(member.control_address, message)
        reachable = {member.control_address for member in self.view.get_reachable()}
        failed = {member.control_address for member in self.view.get_failed()}
        unreachable = sorted((self._seeds | failed) - reachable)
        if unreachable:
            count = len(unreachable) if not others else 1
            for address in self._random.sample(unreachable, count):
                self._channel.send(address, message)
        self._remove_inactive(now)

    def _remove_inactive(self, now):
        inactive = {m.name for m in self.view if m.status >= Status.FAILED}
        self._inactive_since = {n: self._inactive_since.get(n, now) for n in inactive}
        for name, since in self._inactive_since.items():
            if now - since > TOMBSTONE_TTL:
                self.view.remove(name)

    def _make_reconcile(self, members=()):
        """Return a :class:`Reconcile` with some members, or with the digest alone."""
        heartbeat = self._make_heartbeat()
        return Reconcile(
            self.own_member,
            self.view.get_digest(),
            heartbeat.revision,
            heartbeat.manifest,
            tuple(members),
            heartbeat.era,
        )

    def _handle_reconcile(self, message, sender):
        self._merge((message.member, *message.members), message.member.failure_domain)
        self._notify_revision(message.member, message)
        if message.members:
            sender_view = MembershipView(message.members)
            newer = [m for m in self.view if sender_view.merge(m)]
            if newer:
                self._channel.send(
                    sender,
                    MembershipUpdate(self.own_member.failure_domain, tuple(newer)),
                )
        elif message.digest != self.view.get_digest():
            self._channel.send(sender, self._make_reconcile(self.view))

    def _handle_heartbeat(self, heartbeat, sender):
        member = self.view.get(heartbeat.name)
        if member is None or member.incarnation < heartbeat.incarnation:
            self._channel.send(sender, self._make_reconcile(self.view))
            return
        if member.incarnation > heartbeat.incarnation:
            return
        if member.status is Status.FAILED:
            # The sender has to supersede the record that marks it failed; see
            # _refute().
            self._channel.send(
                sender, MembershipUpdate(self.own_member.failure_domain, (member,))
            )
            return
        self._failure_detector.record_heartbeat(heartbeat.name, self._clock())
        previous = self._heartbeats.get(heartbeat.name)
        self._heartbeats[heartbeat.name] = heartbeat
        self._notify_revision(member, heartbeat)
        if previous is None or previous.key_prefix != heartbeat.key_prefix:
            self._notify_change()

    def _merge(self, members, from_domain):
        """Merge member records into the view and forward the changed ones.

        :param from_domain: failure domain of the sender, ``None`` for records
            made by this instance.
        """
        changed = [member for member in members if self._merge_one(member)]
        if not changed:
            return
        for receiver in self._choose_gossip_peers(from_domain):
            message = MembershipUpdate(self.own_member.failure_domain, tuple(changed))
            self._channel.send(receiver.control_address, message)
        self._notify_change()

    def _merge_one(self, member):
        if member.name == self.own_member.name:
            self._refute(member)
            return False
        previous = self.view.get(member.name)
        if not self.view.merge(member):
            return False
        if _is_refutation(previous, member):
            self._failure_detector.record_false_alarm(member.name, self._clock())
        if previous is None or previous.status != member.status:
            self._log.write(
                _STATUS_EVENTS[member.status],
                member=member.name,
                status=member.status.name.lower(),
                failure_domain=member.failure_domain,
            )
        return True

    def _refute(self, received):
        """Supersede a received record of this incarnation, such as a failed one."""
        if (
            received.incarnation != self.own_member.incarnation
            or received.precedence <= self.own_member.precedence
        ):
            return
        self._log.write(catalogue.MEMBER_REFUTED, member=self.own_member.name)
        self._update_own_member(self.own_member.replace(sequence=received.sequence + 1))

    def _update_own_member(self, member):
        self.own_member = member
        self.view.merge(member)
        for receiver in self._choose_gossip_peers(None):
            message = MembershipUpdate(self.own_member.failure_domain, (member,))
            self._channel.send(receiver.control_address, message)
        self._notify_change()

    def _choose_gossip_peers(self, from_domain):
        members = self.view.get_reachable()
        return get_gossip_peers(self.own_member, members, from_domain, self._random)

    def _notify_change(self):
        if self.on_change is not None:
            self.on_change()

    def _notify_revision(self, member, message):
        if self.on_revision is not None and message.revision:
            self.on_revision(member, message.revision, message.manifest, message.era)


def _is_refutation(previous, member):
    """Return whether an incarnation that was marked failed is alive."""
    return (
        previous is not None
        and previous.status is Status.FAILED
        and member.status < Status.FAILED
        and previous.incarnation == member.incarnation
    )

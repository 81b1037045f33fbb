"""The task that owns the view: heartbeats, news, reconciliation."""

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

TOMBSTONE = 3600.0  # seconds a gone instance is remembered
_STATUS_EVENTS = {
    Status.STARTING: catalogue.MEMBER_JOINED,
    Status.LIVE: catalogue.MEMBER_JOINED,
    Status.LEAVING: catalogue.MEMBER_LEAVING,
    Status.LEFT: catalogue.MEMBER_LEAVING,
    Status.FAILED: catalogue.MEMBER_FAILED,
}


class Membership:
    """Keeps the view and tells others of this instance."""

    __slots__ = (
        "_channel",
        "_clock",
        "_describe",
        "_duties",
        "_gone_since",
        "_heard",
        "_log",
        "_next_reconcile",
        "_random",
        "_seeds",
        "_timing",
        "_version",
        "_watch",
        "_watchers",
        "on_change",
        "on_revision",
        "own_member",
        "view",
    )

    def __init__(
        self, own_member, settings, channel, log, describe, clock=anyio.current_time
    ):
        """Prepare with this instance alone in the view.

        :param describe: returns the :class:`Heartbeat` to send.
        :param clock: returns monotonic seconds.
        """
        self._clock = clock
        self.own_member = own_member
        self.view = MembershipView([own_member])
        self.on_change = None
        self.on_revision = None
        self._channel = channel
        self._describe = describe
        self._log = log
        self._timing = settings.timing
        self._seeds = {str(seed) for seed in settings.seeds}
        self._watch = FailureDetector(settings.timing)
        self._watchers = []
        self._duties = Election()
        self._heard = {}
        self._gone_since = {}
        self._next_reconcile = 0.0
        self._version = -1
        self._random = random.Random(own_member.nonce)

    def get_heartbeats(self):
        """Return {name: latest heartbeat} of instances heard directly."""
        return self._heard

    def is_elected(self, duty, count):
        """Return whether this instance does a duty of its failure domain.

        :param count: how many instances do it; one more does no harm.
        """
        return self._duties.is_elected(duty, count, self.own_member, self.view)

    def add_seed(self, address):
        """Remember a control address at which an instance may listen."""
        with suppress(AddressInvalid):
            self._seeds.add(str(Address.parse(address)))

    def set_status(self, status):
        """Change and tell this instance's own status."""
        self._update_here(self.own_member.replace(status=status))

    def announce_revision(self):
        """Tell all others the revision in force here, without delay."""
        receivers = self._get_receivers(None)
        for member in receivers:
            self._channel.send(member.control_address, self._get_reconcile())

    async def run(self):
        """Send heartbeats and look for silence until cancelled."""
        while True:
            self.tick(self._clock())
            await anyio.sleep(self._timing.heartbeat)

    def tick(self, now):
        """Do what is due at a time: heartbeats, suspicions, a comparison."""
        self._update_watchers(now)
        heartbeat = self._describe()
        for watcher in self._watchers:
            self._channel.send(watcher.control_address, heartbeat)
        result = self._watch.tick(now)
        self._ask_watchers(result.suspected)
        self._fail(result.failed)
        if now >= self._next_reconcile:
            self._next_reconcile = now + self._timing.reconcile
            self._dial(now)

    def handle(self, envelope):
        """Take a control message of another instance."""
        match envelope.message:
            case Heartbeat() as heartbeat:
                self._hear(heartbeat, envelope.sender)
            case MembershipUpdate(domain, members):
                self._merge(members, domain)
            case Reconcile() as message:
                self._reconcile(message, envelope.sender)
            case LivenessQuery(names):
                self._vouch(names, envelope.sender)
            case LivenessConfirmation(names):
                for name in names:
                    self._watch.record_indirect_heartbeat(name, self._clock())

    def _update_watchers(self, now):
        if self._version == self.view.version:
            return
        self._version = self.view.version
        members = self.view.get_reachable()
        self._watchers = get_heartbeat_receivers(self.own_member, members)
        watched = [
            member.name for member in get_heartbeat_senders(self.own_member, members)
        ]
        self._watch.set_monitored(watched, now)

    def _ask_watchers(self, suspected):
        members = self.view.get_reachable()
        for name in suspected:
            self._log.write(catalogue.MEMBER_SUSPECTED, member=name)
            for watcher in get_heartbeat_receivers(self.view.get(name), members):
                if watcher.name != self.own_member.name:
                    self._channel.send(watcher.control_address, LivenessQuery((name,)))

    def _vouch(self, names, sender):
        now = self._clock()
        heard = tuple(
            name for name in names if self._watch.has_recent_heartbeat(name, now)
        )
        if heard:
            self._channel.send(sender, LivenessConfirmation(heard))

    def _fail(self, names):
        records = [self.view.get(name) for name in names]
        failed = [m.replace(status=Status.FAILED) for m in records if m is not None]
        if failed:
            self._merge(failed, None)

    def _dial(self, now):
        """Compare views with one member, and look for one that may be back."""
        others = [
            m for m in self.view.get_reachable() if m.name != self.own_member.name
        ]
        message = self._get_reconcile()
        if others:
            member = self._random.choice(others)
            self._channel.send(member.control_address, message)
        known = {member.control_address for member in self.view.get_reachable()}
        lost = {member.control_address for member in self.view.get_failed()}
        silent = sorted((self._seeds | lost) - known)
        if silent:
            count = len(silent) if not others else 1
            for address in self._random.sample(silent, count):
                self._channel.send(address, message)
        self._forget_gone(now)

    def _forget_gone(self, now):
        gone = {m.name for m in self.view if m.status >= Status.FAILED}
        self._gone_since = {n: self._gone_since.get(n, now) for n in gone}
        for name, since in self._gone_since.items():
            if now - since > TOMBSTONE:
                self.view.remove(name)

    def _get_reconcile(self, members=()):
        heartbeat = self._describe()
        return Reconcile(
            self.own_member,
            self.view.get_digest(),
            heartbeat.revision,
            heartbeat.manifest,
            tuple(members),
        )

    def _reconcile(self, message, sender):
        self._merge((message.member, *message.members), message.member.failure_domain)
        self._tell_revision(message.member, message.revision, message.manifest)
        if message.members:
            theirs = MembershipView(message.members)
            newer = [m for m in self.view if theirs.merge(m)]
            if newer:
                self._channel.send(
                    sender,
                    MembershipUpdate(self.own_member.failure_domain, tuple(newer)),
                )
        elif message.digest != self.view.get_digest():
            self._channel.send(sender, self._get_reconcile(self.view))

    def _hear(self, heartbeat, sender):
        member = self.view.get(heartbeat.name)
        if member is None or member.incarnation < heartbeat.incarnation:
            self._channel.send(sender, self._get_reconcile(self.view))
            return
        if member.incarnation > heartbeat.incarnation:
            return
        if member.status is Status.FAILED:
            # The sender has to refute the record that calls it failed.
            self._channel.send(
                sender, MembershipUpdate(self.own_member.failure_domain, (member,))
            )
            return
        self._watch.record_heartbeat(heartbeat.name, self._clock())
        before = self._heard.get(heartbeat.name)
        self._heard[heartbeat.name] = heartbeat
        self._tell_revision(member, heartbeat.revision, heartbeat.manifest)
        if before is None or before.key_prefix != heartbeat.key_prefix:
            self._tell_change()

    def _merge(self, members, from_domain):
        news = [member for member in members if self._merge_one(member)]
        if not news:
            return
        for receiver in self._get_receivers(from_domain):
            message = MembershipUpdate(self.own_member.failure_domain, tuple(news))
            self._channel.send(receiver.control_address, message)
        self._tell_change()

    def _merge_one(self, member):
        if member.name == self.own_member.name:
            self._refute(member)
            return False
        before = self.view.get(member.name)
        if not self.view.merge(member):
            return False
        if _is_refutation(before, member):
            self._watch.record_false_alarm(member.name, self._clock())
        if before is None or before.status != member.status:
            self._log.write(
                _STATUS_EVENTS[member.status],
                member=member.name,
                status=member.status.name.lower(),
                failure_domain=member.failure_domain,
            )
        return True

    def _refute(self, told):
        if (
            told.incarnation != self.own_member.incarnation
            or told.precedence <= self.own_member.precedence
        ):
            return
        self._log.write(catalogue.MEMBER_REFUTED, member=self.own_member.name)
        self._update_here(self.own_member.replace(sequence=told.sequence + 1))

    def _update_here(self, member):
        self.own_member = member
        self.view.merge(member)
        for receiver in self._get_receivers(None):
            message = MembershipUpdate(self.own_member.failure_domain, (member,))
            self._channel.send(receiver.control_address, message)
        self._tell_change()

    def _get_receivers(self, from_domain):
        members = self.view.get_reachable()
        return get_gossip_peers(self.own_member, members, from_domain, self._random)

    def _tell_change(self):
        if self.on_change is not None:
            self.on_change()

    def _tell_revision(self, member, revision, manifest):
        if self.on_revision is not None and revision:
            self.on_revision(member, revision, manifest)


def _is_refutation(before, member):
    """Return whether an incarnation called failed turned out to be alive."""
    return (
        before is not None
        and before.status is Status.FAILED
        and member.status < Status.FAILED
        and before.incarnation == member.incarnation
    )

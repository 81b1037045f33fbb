"""The copy of the metadata store's data that one instance works from."""

import anyio

from ..events import catalogue
from ..steering import CrashLedger, EndpointCatalog, RouteTable

__all__ = ["CachedState"]


class CachedState:
    """Routes, targets, evacuations and members as last read from the store.

    Each method that changes the state takes the store's revision of the change and
    writes a log line if the state changes.

    :ivar members: the :class:`~turmericrudder.gateway.members.Members`.
    :ivar catalog: the registered targets, an
        :class:`~turmericrudder.steering.EndpointCatalog`.
    :ivar crash_ledger: the :class:`~turmericrudder.steering.CrashLedger` of all
        instances' reports.
    :ivar route_table: of the configuration in force, or ``None``.
    """

    __slots__ = (
        "_configured",
        "_connection_pool",
        "_log",
        "_on_own_removed",
        "_own_name",
        "catalog",
        "crash_ledger",
        "members",
        "route_table",
    )

    def __init__(self, own_name, members, connection_pool, log, on_own_removed):
        """Start without any state.

        :param own_name: name of this instance.
        :param connection_pool: pool in which idle connections to draining and removed
            targets are closed.
        :param on_own_removed: called without arguments when this instance's own entry
            was deleted from the store.
        """
        self._own_name = own_name
        self._connection_pool = connection_pool
        self._log = log
        self._on_own_removed = on_own_removed
        self._configured = anyio.Event()
        self.members = members
        self.catalog = EndpointCatalog()
        self.crash_ledger = CrashLedger()
        self.route_table = None

    @property
    def limits(self):
        """Limits on client requests, or ``None`` until a configuration is known."""
        table = self.route_table
        return table.configuration.limits if table is not None else None

    @property
    def version(self):
        """Version of the configuration in force, or ``None``."""
        table = self.route_table
        return table.configuration.version if table is not None else None

    async def wait_configured(self, timeout=None):
        """Wait until a configuration is known.

        :param timeout: seconds to wait at most, or ``None``.
        """
        with anyio.move_on_after(timeout):
            await self._configured.wait()

    def set_configuration(self, configuration, revision):
        """Put a configuration in force if its version is newer."""
        if self.version is not None and configuration.version <= self.version:
            return
        self.route_table = RouteTable(configuration)
        self.catalog.set_profiles(configuration.services)
        self._configured.set()
        self._log.write(
            catalogue.REVISION_IN_FORCE,
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    def put_target(self, endpoint, revision):
        """Add or update a target."""
        if not self.catalog.put(endpoint, revision, anyio.current_time()):
            return
        if endpoint.is_draining:
            self._connection_pool.close_idle(endpoint.id)
        self._log.write(
            catalogue.TARGET_REGISTERED,
            target=endpoint.id,
            service=endpoint.service,
            failure_domain=endpoint.failure_domain,
            draining=endpoint.is_draining,
            cold_s=endpoint.cold_remaining,
            revision=revision,
        )

    def remove_target(self, target_id, revision):
        """Remove a target."""
        if self.catalog.remove(target_id, revision, anyio.current_time()):
            self._connection_pool.close_idle(target_id)
            self._log.write(
                catalogue.TARGET_WITHDRAWN, target=target_id, revision=revision
            )

    def evacuate(self, failure_domain, revision):
        """Exclude the targets of a failure domain from selection."""
        if self.catalog.evacuate(failure_domain):
            self._log.write(
                catalogue.DOMAIN_EVACUATED,
                failure_domain=failure_domain,
                revision=revision,
            )

    def restore(self, failure_domain, revision):
        """End the evacuation of a failure domain."""
        if self.catalog.restore(failure_domain, anyio.current_time()):
            self._log.write(
                catalogue.DOMAIN_RESTORED,
                failure_domain=failure_domain,
                revision=revision,
            )

    def put_member(self, member, revision):
        """Add or update an entry instance."""
        if self.members.put(member):
            self._log.write(
                catalogue.MEMBER_JOINED, member=member.name, revision=revision
            )

    def remove_member(self, name, revision):
        """Remove an entry instance."""
        if name == self._own_name:
            self._on_own_removed()
        if self.members.remove(name):
            self._log.write(catalogue.MEMBER_FAILED, member=name, revision=revision)

    def add_crash_report(self, report):
        """Add a report of this or another instance; return whether it is new."""
        blocked = self.crash_ledger.get_blocked()
        if not self.crash_ledger.add(report):
            return False
        self._log_blocked(blocked)
        return True

    def remove_crash_report(self, fingerprint, target):
        """Remove a report that was withdrawn or has expired."""
        blocked = self.crash_ledger.get_blocked()
        self.crash_ledger.remove(fingerprint, target)
        self._log_blocked(blocked)

    def _log_blocked(self, previous):
        blocked = self.crash_ledger.get_blocked()
        for fingerprint in sorted(blocked - previous):
            self._log.write(catalogue.REQUEST_BLOCKED, request=fingerprint)
        for fingerprint in sorted(previous - blocked):
            self._log.write(catalogue.REQUEST_UNBLOCKED, request=fingerprint)

    def mark_synced(self):
        """Record that the store was read completely; targets added later are cold."""
        self.catalog.has_synced = True

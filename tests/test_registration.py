"""The entry of an instance in a store that is restored from an older copy."""

from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.address import Address
from turmericrudder.errors import LeaseExpired
from turmericrudder.gateway.registration import Registration
from turmericrudder.steering import GatewayMember, SenderRoster

MEMBER = GatewayMember(
    "g1", Address("127.0.0.1", 1), Address("127.0.0.1", 2), "a1", "a", "n1", 1.0
)


class RestorableStore:
    """Leases by id, and the lease of each key; ids are given out again in a new era."""

    def __init__(self):
        self.era = 1
        self.leases = set()
        self.entries = {}

    def restore_empty(self):
        self.era += 1
        self.leases.clear()
        self.entries.clear()

    async def grant_lease(self, ttl):
        lease = len(self.leases) + 1
        self.leases.add(lease)
        return lease

    async def write(self, key, value, expected_revision=None, lease=0):
        if lease not in self.leases:
            raise LeaseExpired(str(lease))
        self.entries[key] = lease
        return 1

    async def renew_lease(self, lease):
        if lease not in self.leases:
            raise LeaseExpired(str(lease))

    async def revoke_lease(self, lease):
        self.leases.discard(lease)
        self.entries = {k: v for k, v in self.entries.items() if v != lease}


def _make_registration(store):
    instance = SimpleNamespace(
        settings=SimpleNamespace(lease_min=1.0),
        members=SimpleNamespace(is_reader=lambda: True, senders=SenderRoster(MEMBER)),
        store_sync=SimpleNamespace(record_store_contact=lambda: None),
        log=SimpleNamespace(write=lambda event, **fields: None),
    )
    return Registration(instance, MEMBER, store)


async def _wait_registered(store):
    with anyio.fail_after(2.0):
        while "members/g1" not in store.entries:
            await anyio.sleep(0.02)


@pytest.mark.anyio
async def test_entry_lost_in_a_restore_is_written_although_its_lease_id_exists_again():
    store = RestorableStore()
    registration = _make_registration(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run)
        await _wait_registered(store)
        store.restore_empty()
        store.entries["members/g2"] = await store.grant_lease(4.0)
        await _wait_registered(store)
        tasks.cancel_scope.cancel()
    assert store.entries["members/g1"] != store.entries["members/g2"]


@pytest.mark.anyio
async def test_stopping_instance_revokes_no_lease_that_was_given_to_another():
    store = RestorableStore()
    registration = _make_registration(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run)
        await _wait_registered(store)
        tasks.cancel_scope.cancel()
    store.restore_empty()
    store.entries["members/g2"] = await store.grant_lease(4.0)
    await registration.deregister()
    assert "members/g2" in store.entries

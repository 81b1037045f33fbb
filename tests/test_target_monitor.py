"""Reading of the platform's instance list by an entry instance."""

from types import SimpleNamespace

import msgspec
import pytest

from standins.store import PAGE_ITEMS, StoreApplication
from turmericrudder.address import Address
from turmericrudder.daemon.target_monitor import Monitor
from turmericrudder.discovery import InstanceRecord
from turmericrudder.listener import Listener
from turmericrudder.platform import MetadataStoreClient, protocol
from turmericrudder.settings import TimingSettings

STORE = Address("127.0.20.4", 21991)


@pytest.mark.anyio
async def test_instance_list_is_read_beyond_its_first_page():
    """The system has to support 710 instances; one page of the store holds fewer."""
    application = StoreApplication(0.0)
    application.limits = None
    for number in range(PAGE_ITEMS + 10):
        name = f"n{number:04d}"
        record = InstanceRecord(name, "entry", "d", "live", f"10.0.0.1:{number + 1}")
        key = protocol.INSTANCE_PREFIX + name
        application.put_document(key, msgspec.to_builtins(record))
    listener = Listener(application, STORE)
    await listener.open()
    store = MetadataStoreClient(STORE)
    seeds = []
    monitor = Monitor(
        SimpleNamespace(timing=TimingSettings()),
        SimpleNamespace(allocator=SimpleNamespace(get_states=lambda: [])),
        SimpleNamespace(add_seed=seeds.append),
        None,
        store,
    )
    await monitor._read_list()
    await store.aclose()
    listener.close()
    assert len(seeds) == PAGE_ITEMS + 10

"""The endpoint catalog: out-of-date registrations, incarnations and cold starts."""

from turmericrudder.steering import (
    EndpointCatalog,
)

from .steering_makers import PROFILE, make_endpoint


def test_older_registrations_are_ignored():
    catalog = EndpointCatalog()
    assert catalog.put(make_endpoint(is_draining=True, sequence=5), 9, 0.0)
    assert not catalog.put(make_endpoint(sequence=6), 8, 0.1)
    # A delayed write of an older registration, although at a later revision.
    assert not catalog.put(make_endpoint(sequence=4), 10, 0.2)
    assert catalog.get_target("t").endpoint.is_draining
    assert catalog.remove("t", 11, 0.3)
    assert not catalog.put(make_endpoint(sequence=4), 12, 0.4)
    assert catalog.get_targets("s") == ()
    assert catalog.put(make_endpoint(started_at_ms=2, sequence=1), 13, 0.5)


def test_new_incarnation_with_the_same_id_starts_without_measurements():
    catalog = EndpointCatalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.put(make_endpoint(), 1, 0.0)
    catalog.has_synced = True
    old = catalog.get_target("t")
    old.start_request(1, 0.0)
    catalog.put(make_endpoint(started_at_ms=2), 2, 5.0)
    target = catalog.get_target("t")
    assert target is not old and old.is_removed
    assert target.in_flight == 0 and target.is_cold(7.9)


def test_reregistered_target_is_not_cold_but_restored_domain_is():
    catalog = EndpointCatalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.put(make_endpoint(), 1, 0.0)
    catalog.has_synced = True
    catalog.remove("t", 2, 1.0)
    catalog.put(make_endpoint(sequence=2), 3, 2.0)
    assert not catalog.get_target("t").is_cold(2.1)
    assert catalog.evacuate("a1") and not catalog.evacuate("a1")
    assert not catalog.is_usable(catalog.get_target("t"))
    assert catalog.restore("a1", 9.0)
    assert catalog.get_target("t").is_cold(11.9)

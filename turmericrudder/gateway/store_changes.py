"""Application of single changes of the store to the cached state."""

from ..errors import StoreEntryInvalid
from ..platform import (
    decode_crash_report,
    decode_endpoint,
    decode_member,
    decode_routing_configuration,
    get_evacuated_domain,
    get_member_name,
    get_target_id,
    protocol,
)

__all__ = ["apply_deletion", "apply_entry"]


def apply_entry(cached_state, entry):
    """Apply a written entry; one with an unknown prefix changes nothing.

    :param cached_state: a :class:`~.cached_state.CachedState`.
    :param entry: a :class:`~turmericrudder.platform.StoreEntry`.
    :raises StoreEntryInvalid: if it cannot be used. It names no target then; the
        configuration or member known before stays in use.
    """
    key, value, revision = entry.key, entry.value, entry.revision
    if key == protocol.CONFIGURATION_KEY:
        cached_state.set_configuration(decode_routing_configuration(value), revision)
    elif key.startswith(protocol.EVACUATION_PREFIX):
        cached_state.evacuate(get_evacuated_domain(key), revision)
    elif key.startswith(protocol.TARGET_PREFIX):
        try:
            endpoint = decode_endpoint(key, value)
        except StoreEntryInvalid:
            cached_state.remove_target(get_target_id(key), revision)
            raise
        cached_state.put_target(endpoint, revision)
    elif key.startswith(protocol.MEMBER_PREFIX):
        cached_state.put_member(decode_member(key, value), revision)
    elif key.startswith(protocol.CRASH_PREFIX):
        cached_state.add_crash_report(decode_crash_report(key, value))


def apply_deletion(cached_state, deletion):
    """Apply the removal of an entry.

    :param deletion: a :class:`~turmericrudder.platform.Deletion`.
    """
    key, revision = deletion.key, deletion.revision
    if key.startswith(protocol.EVACUATION_PREFIX):
        cached_state.restore(get_evacuated_domain(key), revision)
    elif key.startswith(protocol.TARGET_PREFIX):
        cached_state.remove_target(get_target_id(key), revision)
    elif key.startswith(protocol.MEMBER_PREFIX):
        cached_state.remove_member(get_member_name(key), revision)
    elif key.startswith(protocol.CRASH_PREFIX):
        try:
            report = decode_crash_report(key)
        except StoreEntryInvalid:
            return  # it was refused when it was written
        cached_state.remove_crash_report(report.fingerprint, report.target)

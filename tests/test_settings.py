"""Settings files: invalid ones are rejected, and errors name section and key."""

import pytest

from bench.cluster import EXAMPLES
from turmericrudder.errors import SettingsInvalid
from turmericrudder.settings import read_entry_settings, read_operator_settings

GOOD = (EXAMPLES / "clearsight" / "entries" / "gulf-a-1.ini").read_text()


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("name = gulf-a-1", "", "instance", "name"),
        ("127.1.1.1:7100", "somewhere:7100", "listen", "callers"),
        ("127.1.1.1:7200", "127.1.1.1:70000", "listen", "peers"),
        ("key = example-key-change-it", "key = short", "peers", "key"),
        ("[store]", "[stores]", "stores", "-"),
        ("[peers]", "colour = blue\n[peers]", "store", "colour"),
        ("[peers]", "[timing]\nheartbeat = 5s\n[peers]", "timing", "suspect_after"),
        ("[peers]", "[log]\nformat = xml\n[peers]", "log", "format"),
    ],
)
def test_invalid_setting_error_names_file_section_and_key(
    tmp_path, old, new, section, key
):
    path = tmp_path / "entry.ini"
    path.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(SettingsInvalid) as caught:
        read_entry_settings(path)
    assert (caught.value.section, caught.value.key) == (section, key)
    assert caught.value.file == str(path)


def test_missing_file_is_rejected(tmp_path):
    with pytest.raises(SettingsInvalid):
        read_entry_settings(tmp_path / "none.ini")
    with pytest.raises(SettingsInvalid):
        read_operator_settings(tmp_path / "none.ini")


def test_repr_of_settings_does_not_contain_the_peer_key():
    settings = read_entry_settings(EXAMPLES / "clearsight/entries/gulf-a-1.ini")
    assert settings.peer_key not in repr(settings)
    operator = read_operator_settings(EXAMPLES / "clearsight/operator.ini")
    assert operator.peer_key not in repr(operator)

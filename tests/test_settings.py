"""Settings files: invalid ones are rejected, and errors name section and key."""

import subprocess
import sys

import pytest

from bench.cluster import EXAMPLES
from standins.gateway import write_settings
from turmericrudder.cli.exit_codes import ExitCode
from turmericrudder.errors import SettingsInvalid
from turmericrudder.ini import Section
from turmericrudder.settings import (
    read_entry_settings,
    read_gateway_settings,
    read_operator_settings,
)

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


ODD_VALUES = [
    *(
        "",
        " ",
        "0",
        "-1",
        "--1",
        "9" * 400,
        "9" * 5000,
        "1e400",
        "nan",
        "inf",
        "\u00b2",
    ),
    *(
        "no address",
        "1.2.3.4",
        "1.2.3.4:99999",
        ":1",
        "[::1]:1",
        "1.2.3.4:1,x",
        "5 weeks",
    ),
    *("yes", "\u0000", "x" * 100_000, "%(name)s", "a = b"),
]


def list_fields(read, path, monkeypatch):
    """Return (section, key) of each field that the code reads."""
    fields = []

    class RecordingSection(Section):
        def get_text(self, key, default=None):
            fields.append((self.name, key))
            return super().get_text(key, default)

    with monkeypatch.context() as patch:
        patch.setattr("turmericrudder.ini.Section", RecordingSection)
        patch.setattr("turmericrudder.settings.file.Section", RecordingSection)
        read(path)
    return fields


@pytest.mark.parametrize("read", [read_gateway_settings, read_entry_settings])
def test_odd_value_of_any_field_is_refused_by_name_or_used(tmp_path, monkeypatch, read):
    path = tmp_path / "settings.ini"
    if read is read_entry_settings:
        path.write_text(GOOD)
    else:
        write_settings(path, "g", "127.0.0.1", 7000, 6999, seeds=[7003])
    good = path.read_text()
    fields = list_fields(read, path, monkeypatch)
    assert len(fields) > 15
    for section, key in fields:
        lines = [line for line in good.splitlines() if not line.startswith(f"{key} =")]
        for value in ODD_VALUES:
            odd = "\n".join(lines)
            if f"[{section}]" not in odd:
                odd += f"\n[{section}]"
            path.write_text(
                odd.replace(f"[{section}]", f"[{section}]\n{key} = {value}")
            )
            try:
                read(path)
            except SettingsInvalid as exc:
                assert exc.key in (key, "-") or exc.section != section, (key, value)


@pytest.mark.parametrize("module", ["gateway", "daemon"])
def test_process_that_starts_with_an_invalid_seed_names_it_and_exits(tmp_path, module):
    path = tmp_path / "settings.ini"
    write_settings(path, "g", "127.0.0.1", 7000, 6999)
    text = path.read_text() if module == "gateway" else GOOD
    section = "listen" if module == "gateway" else "peers"
    lines = [line for line in text.splitlines() if not line.startswith("seeds =")]
    path.write_text(
        "\n".join(lines).replace(f"[{section}]", f"[{section}]\nseeds = here")
    )
    result = subprocess.run(
        [sys.executable, "-m", f"turmericrudder.{module}", str(path)],
        env={"TURMERICRUDDER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == ExitCode.SETTINGS_INVALID
    assert f"[{section}] seeds: address 'here'" in result.stderr
    assert "Traceback" not in result.stderr

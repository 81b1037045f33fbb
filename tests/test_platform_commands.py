"""Operators' commands that read the platform's store and log files."""

import sys
from subprocess import PIPE

import anyio
import msgspec
import pytest

from standins.gateway import SHUTDOWN_GRACE
from turmericrudder.cli.exit_codes import ExitCode

from .platform_documents import HOST, make_registration

BASE = 21600  # first port of this module's rig


@pytest.fixture(scope="module")
async def rig(module_rig):
    """The module's gateway; its store also holds unusable and invalid entries."""
    port = module_rig.get_target_port(0)
    await module_rig.put(
        {
            "servers/leaves": make_registration(port, state="draining"),
            "servers/away": make_registration(port, zone="b1"),
            "servers/odd": make_registration(port, service="s9"),
            "servers/bad": {"service": 7},
            "op/evacuate/b1": {},
            "members/bad": {},
        }
    )
    return module_rig


async def run(*arguments):
    """Return (exit code, standard output as text) of a command."""
    command = [sys.executable, "-m", "turmericrudder", *arguments]
    result = await anyio.run_process(command, check=False, stderr=PIPE)
    return result.returncode, result.stdout.decode()


async def show(rig, name, *options):
    """Return the standard output of a ``platform`` command."""
    code, text = await run(
        "platform", name, "--store", f"{HOST}:{rig.get_port(0)}", *options
    )
    assert code == 0
    return text


@pytest.mark.anyio
async def test_targets_are_shown_with_reason_for_use(rig):
    rows = msgspec.json.decode(await show(rig, "targets", "--json"))
    use = {row["target"]: row["use"] for row in rows}
    assert use["t0"] == "yes"
    assert use["leaves"] == "no: draining"
    assert use["away"] == "no: its failure domain is evacuated"
    assert use["odd"] == "no: the configuration has no such service"
    assert use["bad"].startswith("no: registration 'servers/bad'")
    table = (await show(rig, "targets")).splitlines()
    assert table[0].split() == [
        "TARGET",
        "SERVICE",
        "FAILURE",
        "DOMAIN",
        "SLOTS",
        "USE",
    ]
    assert any(line.split() == ["t0", "s1", "a1", "4", "yes"] for line in table)


@pytest.mark.anyio
async def test_members_evacuations_and_configuration_are_shown(rig):
    members = msgspec.json.decode(await show(rig, "members", "--json"))
    assert {row["name"] for row in members} == {"bad", f"g{rig.base}"}
    assert any("error" in row for row in members)
    assert f"{HOST}:{rig.get_port(1)}" in await show(rig, "members")
    assert (await show(rig, "evacuations")).split() == ["b1"]
    configuration = msgspec.json.decode(await show(rig, "configuration", "--json"))
    names = [route["name"] for route in configuration["routes"]]
    assert names == ["r1", "r2", "r3", "r4"]
    assert "/write/" in await show(rig, "configuration")


@pytest.mark.anyio
async def test_check_accepts_valid_and_rejects_invalid_settings(rig, tmp_path):
    good = rig.directory / "gateway0.ini"
    code, text = await run("platform", "check", str(good))
    assert code == 0 and "no error" in text
    bad = tmp_path / "bad.ini"
    bad.write_text(
        good.read_text().replace(f"grace = {SHUTDOWN_GRACE}s", "grace = soon")
    )
    code, _ = await run("platform", "check", str(bad))
    assert code == ExitCode.SETTINGS_INVALID


@pytest.mark.anyio
async def test_explain_shows_log_lines_of_request_id(rig):
    for target in rig.targets:
        target.fault.lose_answers = 1
    assert (await rig.send_request("/write/x", "POST", attempt_id="lost")).status == 502
    await anyio.sleep(0.5)
    code, text = await run("explain", "lost", str(rig.log))
    assert code == 0
    assert "route_sent" in text and "target=t" in text
    assert "route_refused with status 502" in text
    code, text = await run("explain", "lost", str(rig.log), "--json")
    document = msgspec.json.decode(text)
    assert [line["name"] for line in document["lines"]] == [
        "route_sent",
        "route_ended",
        "route_refused",
    ]
    code, text = await run("explain", "nobody", str(rig.log))
    assert code == 1 and "no line has this id" in text

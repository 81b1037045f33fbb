"""The gateway as a process, from what clients and targets see."""

import signal
import socket

import anyio
import httpcore
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.events import read_log
from turmericrudder.gateway.change_log import ChangeLog
from turmericrudder.gateway.members import READER_DUTY
from turmericrudder.platform import Deletion, Item, names
from turmericrudder.rendezvous import get_score

from .platform_rig import (
    HOST,
    Rig,
    get_header,
    make_configuration,
    make_registration,
    make_route,
)

APPLY_LIMIT = 2.5  # seconds until a change of the store is in force
DRAIN_LIMIT = 2.5  # seconds until a leaving target gets no new request
COLD_START = 1.2  # seconds; a little more than the configuration's
CANCEL_LIMIT = 0.5  # seconds until a target notices that its client has left


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def rig(anyio_backend, tmp_path_factory):
    async with Rig(21000, tmp_path_factory.mktemp("gateway")) as rig:
        yield rig


@pytest.fixture(autouse=True)
def forget_runs(rig):
    for target in rig.targets:
        target.runs.clear()
        target.deadlines.clear()
        target.fault = type(target.fault)()
        target.work = 0.01


async def wait_for(condition, limit):
    with anyio.fail_after(limit):
        while not await condition():
            await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_answer_is_passed_on_unchanged(rig):
    answer = await rig.ask("/read/a%20b", attempt_id="abc")
    assert answer.status == 200
    assert answer.content == b"/read/a%20b abc 0"
    assert get_header(answer, names.SIGNATURE) == b"signed"
    assert get_header(answer, names.ATTEMPT_ID) == b"abc"


@pytest.mark.anyio
async def test_target_is_told_what_is_left(rig):
    await rig.ask(deadline_ms=700)
    (deadline,) = [d for target in rig.targets for d in target.deadlines]
    assert 0 < deadline <= 700


@pytest.mark.anyio
async def test_uploads_arrive_whole_with_a_length_and_in_chunks(rig):
    content = b"x" * 700_000
    answer = await rig.ask("/write/u", "POST", content=content)
    assert answer.content.endswith(b" 700000")

    async def chunks():
        for _ in range(7):
            yield b"y" * 100_000

    answer = await rig.ask("/write/u", "POST", content=chunks())
    assert answer.content.endswith(b" 700000")


@pytest.mark.anyio
async def test_unknown_host_or_path_is_404(rig):
    assert (await rig.ask("/other/")).status == 404
    headers = {"Host": "other.example"}
    assert (await rig.ask(headers=headers.items())).status == 404
    assert rig.get_runs() == []


@pytest.mark.anyio
async def test_idempotent_request_is_repeated_after_a_lost_answer(rig):
    for target in rig.targets:
        target.fault.lose_answers = 1
    rig.targets[1].fault.lose_answers = 0
    statuses = {(await rig.ask()).status for _ in range(6)}
    assert statuses == {200}


@pytest.mark.anyio
async def test_other_request_runs_once_and_gets_no_promise(rig):
    for target in rig.targets:
        target.fault.lose_answers = 1
    answer = await rig.ask("/write/x", "POST", attempt_id="once")
    assert answer.status == 502
    assert rig.get_runs() == ["once"]


@pytest.mark.anyio
async def test_shed_request_moves_on_and_is_refused_truly(rig):
    rig.targets[0].fault.shed = True
    for _ in range(4):
        assert (await rig.ask("/write/x", "POST")).status == 200
    rig.targets[1].fault.shed = True
    runs = len(rig.get_runs())
    answer = await rig.ask("/write/x", "POST")
    assert answer.status == 503
    assert get_header(answer, b"retry-after") is not None
    assert len(rig.get_runs()) == runs


@pytest.mark.anyio
async def test_success_without_signature_is_a_failure(rig):
    for target in rig.targets:
        target.fault.unsigned = True
    assert (await rig.ask("/write/x", "POST")).status == 502


@pytest.mark.anyio
async def test_client_that_left_cancels_its_target(rig):
    for target in rig.targets:
        target.work = 5.0
    before = sum(target.cancelled for target in rig.targets)
    with anyio.move_on_after(0.3):
        await rig.ask()

    async def is_cancelled():
        return sum(target.cancelled for target in rig.targets) == before + 1

    await wait_for(is_cancelled, CANCEL_LIMIT)


@pytest.mark.anyio
async def test_final_answer_comes_at_the_route_timeout(rig):
    for target in rig.targets:
        target.work = 5.0
    began = anyio.current_time()
    answer = await rig.ask("/slow/x")
    assert answer.status == 504
    assert 0.25 < anyio.current_time() - began < 0.55


@pytest.mark.anyio
async def test_limits_on_what_clients_send(rig):
    large = [("X-Large", "x" * 3000)]
    assert (await rig.ask(headers=large)).status == 431
    too_long = b"x" * 1_000_001
    assert (await rig.ask("/write/x", "POST", content=too_long)).status == 413
    assert (
        await rig.ask(headers=[("X-Deadline-Ms", "soon")], deadline_ms=1)
    ).status == 400
    assert rig.get_runs() == []


def send_raw(port, data):
    with socket.create_connection((HOST, port), 3) as connection:
        connection.sendall(data)
        connection.settimeout(3)
        received = b""
        while chunk := connection.recv(4096):
            received += chunk
    return received


@pytest.mark.anyio
async def test_slow_and_malformed_heads(rig):
    port = rig.get_port(1)
    slow = await anyio.to_thread.run_sync(send_raw, port, b"GET /read/x HTTP/1.1\r\n")
    assert slow.startswith(b"HTTP/1.1 408 ")
    bad = await anyio.to_thread.run_sync(send_raw, port, b"\x00\x01\x02\r\n\r\n")
    assert bad.startswith(b"HTTP/1.1 400 ")
    endless = b"GET /read/x HTTP/1.1\r\nX-A: " + b"a" * 3000
    large = await anyio.to_thread.run_sync(send_raw, port, endless)
    assert large.startswith(b"HTTP/1.1 431 ")


@pytest.mark.anyio
async def test_smuggled_request_is_refused(rig):
    both = (
        b"POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n"
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /read/x HTTP/1.1\r\n\r\n"
    )
    received = await anyio.to_thread.run_sync(send_raw, rig.get_port(1), both)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert rig.get_runs() == []


@pytest.mark.anyio
async def test_draining_target_gets_nothing_new(rig):
    port = rig.get_target_port(0)
    await rig.put({"servers/t0": make_registration(port, state="draining", seq=2)})
    await anyio.sleep(DRAIN_LIMIT / 5)
    rig.targets[0].runs.clear()
    for _ in range(10):
        assert (await rig.ask()).status == 200
    assert rig.targets[0].runs == []
    await rig.put({"servers/t0": make_registration(port, seq=3)})


@pytest.mark.anyio
async def test_malformed_entry_names_no_target_and_spoils_nothing(rig):
    await rig.put({"servers/bad": {"service": 7}, "servers/worse": "?"})
    await anyio.sleep(0.3)
    assert (await rig.ask()).status == 200
    await rig.put({"servers/bad": None, "servers/worse": None})


@pytest.mark.anyio
async def test_evacuated_domain_gets_nothing(rig):
    await rig.put({"op/evacuate/a1": {}})
    await anyio.sleep(0.3)
    assert (await rig.ask()).status == 503
    assert rig.get_runs() == []
    await rig.put({"op/evacuate/a1": None})

    async def is_back():
        return (await rig.ask()).status == 200

    await wait_for(is_back, APPLY_LIMIT)
    # Until then its targets count as cold and take few requests a second.
    await anyio.sleep(COLD_START)


@pytest.mark.anyio
async def test_configuration_never_goes_back(rig):
    routes = [
        make_route(),
        make_route("r2", "/write/", "non_idempotent"),
        make_route("r3", "/slow/", timeout_ms=300),
        make_route("r9", "/new/"),
    ]
    key = names.CONFIGURATION_KEY
    await rig.put({key: make_configuration(12, routes)})

    async def is_new():
        return (await rig.ask("/new/x")).status == 200

    await wait_for(is_new, APPLY_LIMIT)
    await rig.put({key: make_configuration(9, routes[:3])})
    await anyio.sleep(0.3)
    assert await is_new()


@pytest.mark.anyio
async def test_store_outage_and_lost_history_stop_nothing(rig):
    await rig.set_fault(outage=True)
    for _ in range(10):
        assert (await rig.ask()).status == 200
        await anyio.sleep(0.05)
    await rig.set_fault(forget=True)
    await anyio.sleep(0.7)
    await rig.set_fault()
    await rig.put({"servers/t9": make_registration(9)})
    assert (await rig.ask()).status == 200
    await rig.put({"servers/t9": None})


@pytest.mark.anyio
async def test_directory_names_the_instance_and_metrics_count(rig):
    answer = await rig.get(3, names.CALL_RESOLVE + "?name=h.example&region=a&zone=a1")
    assert answer.status == 200
    assert f"{HOST}:{rig.get_port(1)}".encode() in answer.content
    metrics = await rig.get(5, "/metrics")
    assert b"turmericrudder_requests" in metrics.content


@pytest.mark.anyio
async def test_stop_answers_what_is_running_and_what_still_comes(tmp_path):
    async with Rig(21200, tmp_path, work=1.0) as rig:
        answers = []

        async def ask(delay):
            await anyio.sleep(delay)
            answers.append(await rig.ask())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, 0.0)
            await anyio.sleep(0.3)
            rig.stop()
            await anyio.sleep(0.1)
            tasks.start_soon(ask, 0.0)
            assert not await rig.is_ready()
        assert [answer.status for answer in answers] == [200, 200]
        assert get_header(answers[1], b"connection") == b"close"
        with anyio.fail_after(4.0):
            while rig.process.poll() is None:
                await anyio.sleep(0.05)
        assert rig.process.returncode == 0
        with pytest.raises(httpcore.ConnectError):
            await rig.ask()


@pytest.mark.anyio
async def test_request_that_ran_is_never_called_not_run(rig):
    """The second target turns away what the first has failed."""
    rig.targets[0].fault.status = 500
    rig.targets[1].fault.shed = True
    statuses = {(await rig.ask()).status for _ in range(8)}
    assert 500 in statuses
    ran = set(rig.get_runs())
    rig.targets[0].fault.lose_answers = 8
    for number in range(8):
        answer = await rig.ask(attempt_id=f"lost{number}")
        if answer.status == 503:
            assert f"lost{number}" not in rig.get_runs()
    assert ran and any(run.startswith("lost") for run in rig.get_runs())


@pytest.mark.anyio
@pytest.mark.parametrize("method_path", [("POST", "/write/x"), ("GET", "/write/x")])
async def test_failure_of_a_request_that_must_not_repeat_is_final(rig, method_path):
    for target in rig.targets:
        target.fault.status = 500
    method, path = method_path
    answer = await rig.ask(path, method, attempt_id="only")
    assert answer.status == 500
    assert get_header(answer, names.SIGNATURE) == b"signed"
    assert rig.get_runs() == ["only"]


@pytest.mark.anyio
async def test_instance_without_store_learns_from_its_peers(rig):
    """Its store's port is closed: configuration and changes come from a peer."""
    seeds = f"seeds = {HOST}:{rig.get_port(4)}"
    process = rig.start_instance(first=60, store=79, seeds=seeds)
    port = rig.get_target_port(0)
    try:

        async def is_ready():
            return await rig.is_ready(first=60)

        async def is_evacuated():
            return (await rig.ask(first=60)).status == 503

        await wait_for(is_ready, 5.0)
        assert (await rig.ask(first=60)).status == 200
        await rig.put({"servers/t0": make_registration(port, state="draining", seq=90)})
        await anyio.sleep(DRAIN_LIMIT)
        rig.targets[0].runs.clear()
        for _ in range(6):
            assert (await rig.ask(first=60)).status == 200
        assert rig.targets[0].runs == []
        await rig.put({"op/evacuate/a1": {}})
        await wait_for(is_evacuated, APPLY_LIMIT)
        await rig.put({"op/evacuate/a1": None})
        await rig.put({"servers/t0": make_registration(port, seq=91)})
    finally:
        process.kill()
        process.wait()


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=40), st.data())
def test_change_log_against_a_naive_copy(steps, data):
    """An instance that asks at any moments ends with what the store holds."""
    log, copy, asked, naive = ChangeLog(), {}, 0, {}
    log.restart({}, 0)
    for revision, (key, is_deletion) in enumerate(steps, 1):
        name = f"k{key}"
        if is_deletion:
            naive.pop(name, None)
            log.note(Deletion(name, revision))
        else:
            naive[name] = revision
            log.note(Item(name, b"", revision))
        if data.draw(st.booleans()):
            asked = _catch_up(log, copy, asked)
    asked = _catch_up(log, copy, asked)
    assert copy == naive
    assert log.get_since(asked) == []
    held = Deletion("k0", log.revision + 1)
    log.note(held)
    log.hold(held)
    log.note(Item("k9", b"", log.revision + 1))
    assert log.get_since(asked) == [] and log.get_items() is None
    log.release(held)
    assert len(log.get_since(asked)) == 2


def _catch_up(log, copy, asked):
    for event in log.get_since(asked):
        if isinstance(event, Deletion):
            copy.pop(event.key, None)
        else:
            copy[event.key] = event.revision
    return log.get_told_revision()


@pytest.mark.anyio
async def test_followers_take_over_when_their_reader_stalls(tmp_path):
    """One of two instances watches the store; it is paused, then a target leaves."""
    async with Rig(21400, tmp_path) as rig:
        other = rig.start_instance(first=60)
        names_by_first = {0: "g21400", 60: "g21460"}
        try:

            async def both_are_members():
                return (await rig.get_metric(60, "members")) == 2

            await wait_for(both_are_members, 8.0)
            await anyio.sleep(2.0)
            reader = max(
                names_by_first,
                key=lambda first: get_score(READER_DUTY, names_by_first[first]),
            )
            follower = 60 - reader
            watches = await rig.count_calls("kv-watch")
            await anyio.sleep(1.5)
            assert await rig.count_calls("kv-watch") == watches
            process = rig.process if reader == 0 else other
            process.send_signal(signal.SIGSTOP)
            try:
                port = rig.get_target_port(0)
                leaving = make_registration(port, state="draining", seq=2)
                await rig.put({"servers/t0": leaving})
                await anyio.sleep(DRAIN_LIMIT)
                rig.targets[0].runs.clear()
                for _ in range(8):
                    assert (await rig.ask(first=follower)).status == 200
                assert rig.targets[0].runs == []
            finally:
                process.send_signal(signal.SIGCONT)
        finally:
            other.kill()
            other.wait()


@pytest.mark.anyio
async def test_entry_that_was_taken_away_is_written_again(rig):
    """The key is gone while its lease lives, which no call of ours shows."""
    name = f"members/g{rig.base}"
    assert await rig.has_key(name)
    await rig.put({name: None})
    assert not await rig.has_key(name)

    async def is_back():
        return await rig.has_key(name)

    await wait_for(is_back, 3.0)


@pytest.mark.anyio
async def test_request_without_id_is_bad_input(rig):
    assert (await rig.ask(attempt_id="")).status == 400
    assert rig.get_runs() == []


@pytest.mark.anyio
async def test_lost_and_regained_store_have_lines(rig):
    await rig.set_fault(outage=True)
    await anyio.sleep(2.0)
    await rig.set_fault()
    await anyio.sleep(2.0)
    names_written = [
        line.name for line in read_log([rig.log]) if line.instance == f"g{rig.base}"
    ]
    for lost, regained in (
        ("store_unreachable", "store_reachable"),
        ("entry_unkept", "entry_kept"),
    ):
        assert lost in names_written
        assert regained in names_written[names_written.index(lost) :]

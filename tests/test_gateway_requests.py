"""Requests through a gateway process, from what clients and targets see."""

import anyio
import pytest

from turmericrudder.headers import get_header
from turmericrudder.platform import protocol

from .platform_rig import wait_for

BASE = 21000  # first port of this file's rig


CANCEL_LIMIT = 0.5  # seconds until a target notices that its client has left


@pytest.mark.anyio
async def test_answer_is_passed_on_unchanged(rig):
    answer = await rig.ask("/read/a%20b", attempt_id="abc")
    assert answer.status == 200
    assert answer.content == b"/read/a%20b abc 0"
    assert get_header(answer.headers, protocol.RESPONSE_SIGNATURE_HEADER) == b"signed"
    assert get_header(answer.headers, protocol.ATTEMPT_ID_HEADER) == b"abc"


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
    assert get_header(answer.headers, b"retry-after") is not None
    assert len(rig.get_runs()) == runs


@pytest.mark.anyio
async def test_success_without_signature_is_a_failure(rig):
    for target in rig.targets:
        target.fault.unsigned = True
    assert (await rig.ask("/write/x", "POST")).status == 502


@pytest.mark.anyio
async def test_client_that_left_cancels_its_target(rig):
    for target in rig.targets:
        target.service_time = 5.0
    before = sum(target.cancelled for target in rig.targets)
    with anyio.move_on_after(0.3):
        await rig.ask()

    async def is_cancelled():
        runs = rig.get_runs()
        cancelled = sum(target.cancelled for target in rig.targets) - before
        return 1 <= len(runs) == cancelled

    await wait_for(is_cancelled, CANCEL_LIMIT)


@pytest.mark.anyio
async def test_final_answer_comes_at_the_route_timeout(rig):
    for target in rig.targets:
        target.service_time = 5.0
    began = anyio.current_time()
    answer = await rig.ask("/slow/x")
    assert answer.status == 504
    assert 0.25 < anyio.current_time() - began < 0.55


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
    assert get_header(answer.headers, protocol.RESPONSE_SIGNATURE_HEADER) == b"signed"
    assert rig.get_runs() == ["only"]

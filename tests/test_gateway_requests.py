"""Requests through a gateway process, as seen by clients and targets."""

import signal

import anyio
import pytest

from turmericrudder.headers import get_header
from turmericrudder.platform import protocol

from .platform_documents import HOST
from .platform_rig import wait_for

BASE = 21000  # first port of this module's rig


CANCEL_TIMEOUT = 0.5  # seconds until a client's disconnect reaches the target


@pytest.mark.anyio
async def test_response_is_passed_on_unchanged(rig):
    response = await rig.send_request("/read/a%20b", attempt_id="abc")
    assert response.status == 200
    assert response.content == b"/read/a%20b abc 0"
    assert get_header(response.headers, protocol.RESPONSE_SIGNATURE_HEADER) == b"signed"
    assert get_header(response.headers, protocol.ATTEMPT_ID_HEADER) == b"abc"


@pytest.mark.anyio
async def test_target_gets_the_remaining_time(rig):
    await rig.send_request(deadline_ms=700)
    (deadline,) = [d for target in rig.targets for d in target.deadlines]
    assert 0 < deadline <= 700


@pytest.mark.anyio
async def test_uploads_with_content_length_and_in_chunks_are_complete(rig):
    content = b"x" * 700_000
    response = await rig.send_request("/write/u", "POST", content=content)
    assert response.content.endswith(b" 700000")

    async def chunks():
        for _ in range(7):
            yield b"y" * 100_000

    response = await rig.send_request("/write/u", "POST", content=chunks())
    assert response.content.endswith(b" 700000")


@pytest.mark.anyio
async def test_unknown_host_or_path_is_404(rig):
    assert (await rig.send_request("/other/")).status == 404
    headers = {"Host": "other.example"}
    assert (await rig.send_request(headers=headers.items())).status == 404
    assert rig.get_runs() == []


@pytest.mark.anyio
async def test_idempotent_request_is_retried_after_a_lost_response(rig):
    for target in rig.targets:
        target.fault.lose_answers = 1
    rig.targets[1].fault.lose_answers = 0
    statuses = {(await rig.send_request()).status for _ in range(6)}
    assert statuses == {200}


@pytest.mark.anyio
async def test_non_idempotent_request_with_a_lost_response_is_not_retried(rig):
    for target in rig.targets:
        target.fault.lose_answers = 1
    response = await rig.send_request("/write/x", "POST", attempt_id="once")
    assert response.status == 502
    assert rig.get_runs() == ["once"]


@pytest.mark.anyio
async def test_shed_request_is_retried_and_gets_503_if_all_targets_shed(rig):
    rig.targets[0].fault.shed = True
    for _ in range(4):
        assert (await rig.send_request("/write/x", "POST")).status == 200
    rig.targets[1].fault.shed = True
    runs = len(rig.get_runs())
    response = await rig.send_request("/write/x", "POST")
    assert response.status == 503
    assert get_header(response.headers, b"retry-after") is not None
    assert len(rig.get_runs()) == runs


@pytest.mark.anyio
async def test_2xx_response_without_signature_is_a_failure(rig):
    for target in rig.targets:
        target.fault.unsigned = True
    assert (await rig.send_request("/write/x", "POST")).status == 502


@pytest.mark.anyio
async def test_client_disconnect_cancels_the_request_at_the_target(rig):
    for target in rig.targets:
        target.service_time = 5.0
    cancelled_before = sum(target.cancelled for target in rig.targets)
    with anyio.move_on_after(0.3):
        await rig.send_request()

    async def is_cancelled():
        runs = rig.get_runs()
        cancelled = sum(target.cancelled for target in rig.targets) - cancelled_before
        return 1 <= len(runs) == cancelled

    await wait_for(is_cancelled, CANCEL_TIMEOUT)


@pytest.mark.anyio
async def test_final_response_is_sent_at_the_route_timeout(rig):
    for target in rig.targets:
        target.service_time = 5.0
    began = anyio.current_time()
    response = await rig.send_request("/slow/x")
    assert response.status == 504
    assert 0.25 < anyio.current_time() - began < 0.55


@pytest.mark.anyio
async def test_status_is_not_503_if_an_attempt_executed(rig):
    """One target fails requests or loses responses; the other sheds the retries."""
    rig.targets[0].fault.status = 500
    rig.targets[1].fault.shed = True
    statuses = {(await rig.send_request()).status for _ in range(8)}
    assert 500 in statuses
    ran = set(rig.get_runs())
    rig.targets[0].fault.lose_answers = 8
    for number in range(8):
        response = await rig.send_request(attempt_id=f"lost{number}")
        if response.status == 503:
            assert f"lost{number}" not in rig.get_runs()
    assert ran and any(run.startswith("lost") for run in rig.get_runs())


@pytest.mark.anyio
@pytest.mark.parametrize("method_path", [("POST", "/write/x"), ("GET", "/write/x")])
async def test_failed_non_idempotent_request_is_not_retried(rig, method_path):
    for target in rig.targets:
        target.fault.status = 500
    method, path = method_path
    response = await rig.send_request(path, method, attempt_id="only")
    assert response.status == 500
    assert get_header(response.headers, protocol.RESPONSE_SIGNATURE_HEADER) == b"signed"
    assert rig.get_runs() == ["only"]


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/read/x", "/write/x"])
async def test_request_whose_client_has_left_already_is_not_sent(rig, path):
    """The process is busy, so that it finds the request and the disconnect together."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: left\r\n"
        "X-Deadline-Ms: 100\r\nContent-Length: 0\r\n\r\n"
    )
    for _ in range(4):  # leaves idle connections to the targets
        assert (await rig.send_request(path, "POST")).status == 200
    for target in rig.targets:
        target.runs.clear()
    rig.process.send_signal(signal.SIGSTOP)
    try:
        for _ in range(5):
            stream = await anyio.connect_tcp(HOST, rig.get_port(1))
            await stream.send(head.encode())
            await stream.aclose()
    finally:
        rig.process.send_signal(signal.SIGCONT)
    assert (await rig.send_request(attempt_id="stays")).status == 200
    await anyio.sleep(0.1)
    assert rig.get_runs() == ["stays"]

"""Verdicts of rejections by an instance that cannot serve a request."""

import contextlib
from types import SimpleNamespace

import msgspec
import pytest

from turmericrudder.daemon.caller_application import CallerApplication
from turmericrudder.daemon.peer_application import PeerApplication
from turmericrudder.events import EventLog
from turmericrudder.metrics import Metrics
from turmericrudder.settings import LimitSettings

OPERATION_KEY = (b"idempotency-key", b"h~1~1~w~1.abcdefgh")
PEER_KEY = (b"turmericrudder-peer-key", b"secret")


def make_instance(is_shutting_down):
    """Return an entry instance without configuration.

    :param is_shutting_down: whether it is in a graceful shutdown.
    """
    return SimpleNamespace(
        settings=SimpleNamespace(
            name="i", region="r", peer_key="secret", limits=LimitSettings()
        ),
        membership=SimpleNamespace(view={}),
        configurator=SimpleNamespace(configuration=None),
        operation_coordinator=SimpleNamespace(prefix=""),
        bandwidth_limiter=None,
        log=EventLog(),
        metrics=Metrics(),
        is_rejecting_requests=lambda: is_shutting_down,
        is_shutting_down=lambda: is_shutting_down,
        track_in_flight=contextlib.nullcontext,
    )


async def get_verdict(application, path, *headers):
    """Send a request and return the verdict of its rejection."""
    messages = []

    async def send(message):
        messages.append(message)

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    scope = {
        "method": "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": list(headers),
        "client": ("127.0.0.1", 1),
    }
    await application(scope, receive, send)
    return msgspec.json.decode(messages[1]["body"])["verdict"]


@pytest.mark.anyio
@pytest.mark.parametrize("is_shutting_down", [True, False])
async def test_instance_that_cannot_serve_does_not_report_a_key_as_not_run(
    is_shutting_down,
):
    """The key may have run at another instance before."""
    application = CallerApplication(make_instance(is_shutting_down))
    assert await get_verdict(application, "/orders/1") == "not_run"
    assert await get_verdict(application, "/orders/1", OPERATION_KEY) == "may_have_run"


@pytest.mark.anyio
async def test_restarted_home_does_not_report_a_key_as_not_run():
    """The incarnation before the restart may have run the key."""
    application = PeerApplication(make_instance(is_shutting_down=False))
    home = (b"turmericrudder-role", b"home")
    owner = (b"turmericrudder-role", b"owner")
    assert (
        await get_verdict(application, "/orders/1", PEER_KEY, OPERATION_KEY, home)
        == "may_have_run"
    )
    assert (
        await get_verdict(application, "/orders/1", PEER_KEY, OPERATION_KEY, owner)
        == "not_run"
    )


@pytest.mark.anyio
async def test_peer_without_valid_peer_key_is_rejected():
    application = PeerApplication(make_instance(is_shutting_down=False))
    assert await get_verdict(application, "/orders/1", OPERATION_KEY) == "not_run"
    wrong = (b"turmericrudder-peer-key", b"guess")
    assert await get_verdict(application, "/status", wrong) == "not_run"


@pytest.mark.anyio
async def test_look_up_is_rejected_during_graceful_shutdown():
    """Callers would use the cached response and its key prefix after the stop."""
    instance = make_instance(is_shutting_down=True)
    instance.resolver = SimpleNamespace(
        get_encoded_response=lambda service, client: b"{}"
    )
    application = CallerApplication(instance)
    assert await get_verdict(application, "/lookup") == "not_run"

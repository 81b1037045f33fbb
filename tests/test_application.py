"""Refusals of an instance that cannot serve, with and without operation key."""

import contextlib
from types import SimpleNamespace

import msgspec
import pytest

from turmericrudder.daemon.caller_application import CallerApplication
from turmericrudder.daemon.peer_application import PeerApplication
from turmericrudder.events import EventLog
from turmericrudder.metrics import Metrics
from turmericrudder.settings import LimitSettings

KEY = (b"idempotency-key", b"h~1~1~w~1.abcdefgh")
PEER = (b"turmericrudder-peer-key", b"secret")


def make_instance(closed):
    """Return an instance that is leaving, or one without configuration."""
    return SimpleNamespace(
        settings=SimpleNamespace(
            name="i", region="r", peer_key="secret", limits=LimitSettings()
        ),
        membership=SimpleNamespace(view={}),
        configurator=SimpleNamespace(configuration=None),
        operations=SimpleNamespace(prefix=""),
        bandwidth_limiter=None,
        log=EventLog(),
        metrics=Metrics(),
        is_rejecting_requests=lambda: closed,
        is_shutting_down=lambda: closed,
        track_in_flight=contextlib.nullcontext,
    )


async def ask(application, path, *headers):
    """Return the verdict of a refusal."""
    sent = []

    async def send(message):
        sent.append(message)

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
    return msgspec.json.decode(sent[1]["body"])["verdict"]


@pytest.mark.anyio
@pytest.mark.parametrize("closed", [True, False])
async def test_instance_that_cannot_serve_knows_nothing_of_a_key(closed):
    application = CallerApplication(make_instance(closed))
    assert await ask(application, "/orders/1") == "not_run"
    assert await ask(application, "/orders/1", KEY) == "may_have_run"


@pytest.mark.anyio
async def test_restarted_home_knows_nothing_of_a_key():
    application = PeerApplication(make_instance(closed=False))
    home = (b"turmericrudder-role", b"home")
    owner = (b"turmericrudder-role", b"owner")
    assert await ask(application, "/orders/1", PEER, KEY, home) == "may_have_run"
    assert await ask(application, "/orders/1", PEER, KEY, owner) == "not_run"


@pytest.mark.anyio
async def test_peer_without_key_is_refused():
    application = PeerApplication(make_instance(closed=False))
    assert await ask(application, "/orders/1", KEY) == "not_run"
    wrong = (b"turmericrudder-peer-key", b"guess")
    assert await ask(application, "/status", wrong) == "not_run"


@pytest.mark.anyio
async def test_leaving_instance_answers_no_look_up():
    """Its answer would be kept, and its prefix used, after its end."""
    instance = make_instance(closed=True)
    instance.resolver = SimpleNamespace(
        get_encoded_response=lambda service, client: b"{}"
    )
    application = CallerApplication(instance)
    assert await ask(application, "/lookup") == "not_run"

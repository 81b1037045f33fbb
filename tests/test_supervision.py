"""Tasks of an entry instance that end with an unexpected error."""

import anyio
import pytest

from turmericrudder.events import EventLog, catalogue
from turmericrudder.supervision import run_supervised


@pytest.mark.anyio
async def test_unexpected_error_of_a_task_is_logged_and_the_task_restarted(caplog):
    """An unexpected error of one task ended the process with all its requests."""
    calls = []

    async def run():
        calls.append(None)
        if len(calls) < 2:
            async with anyio.create_task_group():
                raise OverflowError("int too large")

    with anyio.fail_after(5):
        await run_supervised(run, EventLog())
    assert len(calls) == 2
    (record,) = caplog.records
    assert record.event is catalogue.TASK_FAILED
    assert "OverflowError" in record.fields["error"]
    assert record.fields["task"].endswith("run")

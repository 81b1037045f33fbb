"""A planned stop of a gateway."""

import anyio
import httpcore
import pytest

from .platform_documents import get_header
from .platform_rig import Rig


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

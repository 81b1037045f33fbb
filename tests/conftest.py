"""Fixtures that several test modules use."""

import pytest

from .platform_rig import Rig


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def module_rig(request, anyio_backend, tmp_path_factory):
    """One gateway for all tests of a module, on ports from the module's ``BASE`` on."""
    directory = tmp_path_factory.mktemp("gateway")
    async with Rig(request.module.BASE, directory) as rig:
        yield rig


@pytest.fixture
def rig(module_rig):
    """The module's gateway, its targets reset: no faults, no recorded runs."""
    for target in module_rig.targets:
        target.runs.clear()
        target.deadlines.clear()
        target.fault = type(target.fault)()
        target.service_time = 0.01
    return module_rig

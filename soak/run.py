"""One seeded run: requests under overlapping faults, recovery, and the checks."""

import itertools
import random
import signal
import tempfile
from dataclasses import dataclass, field

import anyio

from standins.body import BodyFault, BodyFaultKind

from .client import Client
from .environment import Environment
from .history import History
from .proxy import ProxyFault

__all__ = ["SoakResult", "run_seed"]

# Consecutive seeds use different ports: those of the run before may not be free yet.
FIRST_PORT = 22000
PORTS_PER_SEED = 180
PORT_RANGE_COUNT = 50
CLIENT_COUNT = 12
FAULT_INTERVAL = (0.2, 1.2)  # seconds between the starts of faults
FAULT_DURATION = (0.4, 2.5)  # seconds
START_TIMEOUT = 10.0  # seconds
RECOVERY_TIME = 6.0  # seconds after the last fault; the platform allows 15
MIN_SUCCESS_RATE = 0.9  # fraction of the requests after recovery that get a 200
CONFIGURATION_INTERVAL = (0.3, 2.0)  # seconds between changes of the configuration
# Seconds from a change until the store falls silent; the next watches are lost then.
SILENCE_DELAY = 0.05
CONFIGURATION_TIME = 2.5  # seconds until a change is in force
RESTORE_INTERVAL = (0.5, 3.0)  # seconds from a restore of the store to the next copy
COPY_AGE = (0.1, 3.0)  # seconds from a copy of the store to its restoration
BODY_FAULT_INTERVAL = (0.1, 0.4)  # seconds between the starts of faults in bodies
BODY_FAULTS = (*BodyFaultKind, BodyFaultKind.STALL, BodyFaultKind.STALL)
# Bytes of the shortest body with a fault. A target with faults in all bodies soon gets
# few requests.
BODY_FAULT_SIZES = (0, 50_000, 300_000, 300_000)
BODY_FAULT_SHARES = (0.3, 1.0)  # of a target's responses
BODY_FAULT_COUNTS = (None, None, 3)  # of a target's responses
BODY_FAULT_PAUSE = (0.01, 0.6)  # seconds
DRAIN_TIME = 2.5  # seconds until a draining target gets no new requests
DRAIN_CHECK_TIME = 1.0  # seconds after DRAIN_TIME in which no request may arrive


@dataclass(slots=True)
class SoakResult:
    """Result of one run.

    :param success_rate: fraction of the requests after recovery that got a 200.
    :param faults: names of the injected faults, in order.
    :param violations: a line for each violation of a guarantee.
    """

    seed: int
    request_count: int = 0
    success_rate: float = 0.0
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


async def run_seed(seed, seconds, directory=None):
    """Run one seed and return its :class:`SoakResult`.

    :param seconds: time during which faults are injected.
    :param directory: directory for settings and logs; a new one by default.
    """
    directory = directory or tempfile.mkdtemp(prefix="soak-")
    first_port = FIRST_PORT + PORTS_PER_SEED * (seed % PORT_RANGE_COUNT)
    environment = Environment(first_port, directory, seed=seed)
    run = _SoakRun(environment, seed)
    async with anyio.create_task_group() as tasks:
        try:
            await environment.start(tasks)
            await run.execute(seconds)
        finally:
            environment.close()
            tasks.cancel_scope.cancel()
    return run.result


class _SoakRun:
    """Clients, faults and checks of one run."""

    def __init__(self, environment, seed):
        self.result = SoakResult(seed)
        self._environment = environment
        self._random = random.Random(seed)
        self._history = History()
        numbers = itertools.count(1)
        self._clients = [
            Client(number, seed, environment, self._history, numbers)
            for number in range(CLIENT_COUNT)
        ]

    async def execute(self, seconds):
        """Send requests under faults, let the gateways recover, check the results."""
        await self._wait_until_serving()
        async with anyio.create_task_group() as clients:
            for client in self._clients:
                clients.start_soon(client.run)
            async with anyio.create_task_group() as faults:
                end = anyio.current_time() + seconds
                faults.start_soon(self._change_configuration, end)
                faults.start_soon(self._restore_store, end)
                faults.start_soon(self._fail_bodies, end)
                while anyio.current_time() < end:
                    faults.start_soon(self._inject_fault, *self._draw_fault())
                    await anyio.sleep(self._random.uniform(*FAULT_INTERVAL))
            await anyio.sleep(RECOVERY_TIME)
            recovery_end = anyio.current_time()
            await self._check_configuration()
            await self._check_drain()
            for client in self._clients:
                client.stop()
        result = self.result
        result.request_count = len(self._history.results)
        result.success_rate = self._history.get_success_rate(recovery_end)
        result.violations += self._history.find_violations(self._environment.get_runs())
        for gateway in self._environment.gateways:
            result.violations += gateway.failed_shutdowns
        if result.success_rate < MIN_SUCCESS_RATE:
            result.violations.append(
                f"success rate {result.success_rate:.2f} after recovery"
            )

    async def _check_configuration(self):
        environment = self._environment
        for number in range(len(environment.gateways)):
            # The first call loads a library.
            await environment.get_configuration_version(number)
        version = environment.put_configuration()
        await anyio.sleep(CONFIGURATION_TIME)
        for number in range(len(environment.gateways)):
            known = await environment.get_configuration_version(number)
            if known != version:
                self.result.violations.append(
                    f"g{number} uses version {known} of the configuration "
                    f"{CONFIGURATION_TIME} s after version {version}"
                )

    async def _check_drain(self):
        environment = self._environment
        environment.register_target(0, "draining")
        await anyio.sleep(DRAIN_TIME)
        earlier_runs = len(environment.targets[0].runs)
        await anyio.sleep(DRAIN_CHECK_TIME)
        late_runs = len(environment.targets[0].runs) - earlier_runs
        if late_runs:
            self.result.violations.append(f"a draining target got {late_runs} requests")

    def _draw_fault(self):
        """Return (name, coroutine function, argument) of a fault chosen at random."""
        rng = self._random
        gateway = rng.randrange(len(self._environment.gateways))
        target = rng.randrange(len(self._environment.targets))
        fault = rng.choice([f for f in ProxyFault if f is not ProxyFault.NONE])
        target_proxy = self._environment.target_proxies[target]
        store_proxy = self._environment.store_proxies[gateway]
        return rng.choice(
            [
                (f"kill g{gateway}", self._kill, gateway),
                (f"stop g{gateway}", self._stop, gateway),
                (f"pause g{gateway}", self._pause, gateway),
                (f"hup g{gateway}", self._send_sighup, gateway),
                (f"{fault.value} t{target}", self._fail_proxy, (target_proxy, fault)),
                (f"reset t{target}", self._reset_connections, target_proxy),
                (
                    f"{fault.value} store g{gateway}",
                    self._fail_proxy,
                    (store_proxy, fault),
                ),
                ("store outage", self._fail_store, {"outage": True}),
                ("store history lost", self._fail_store, {"forget": True}),
                ("store slow", self._fail_store, {"delay": 0.3}),
                (f"shed t{target}", self._fail_target, (target, {"shed": True})),
                (
                    f"lost responses t{target}",
                    self._fail_target,
                    (target, {"lose_answers": 5}),
                ),
                (
                    f"unsigned t{target}",
                    self._fail_target,
                    (target, {"unsigned": True}),
                ),
                (f"status 500 t{target}", self._fail_target, (target, {"status": 500})),
                (f"drain t{target}", self._drain, target),
            ]
        )

    async def _inject_fault(self, name, action, argument):
        """Call a coroutine function with its argument and a random duration."""
        self.result.faults.append(name)
        await action(argument, self._random.uniform(*FAULT_DURATION))

    async def _kill(self, number, seconds):
        gateway = self._environment.gateways[number]
        gateway.kill()
        await anyio.sleep(seconds / 2)
        if gateway.process.poll() is not None:
            gateway.start()

    async def _stop(self, number, seconds):
        await self._environment.gateways[number].stop()

    async def _pause(self, number, seconds):
        self._environment.gateways[number].send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        self._environment.gateways[number].send_signal(signal.SIGCONT)

    async def _send_sighup(self, number, seconds):
        self._environment.gateways[number].send_signal(signal.SIGHUP)

    async def _fail_proxy(self, proxy_and_fault, seconds):
        proxy, fault = proxy_and_fault
        proxy.fault = fault
        await anyio.sleep(seconds)
        proxy.fault = ProxyFault.NONE

    async def _reset_connections(self, proxy, seconds):
        proxy.reset_connections()

    async def _fail_store(self, fault, seconds):
        self._environment.set_store_fault(**fault)
        await anyio.sleep(seconds)
        self._environment.set_store_fault()

    async def _change_configuration(self, end):
        """Write versions of the configuration until a time, some before a silence."""
        # Of its own, so that the other faults of a seed do not depend on it.
        rng = random.Random(f"{self.result.seed} configuration")
        while anyio.current_time() < end:
            await anyio.sleep(rng.uniform(*CONFIGURATION_INTERVAL))
            self._environment.put_configuration()
            if rng.random() < 0.5:
                self.result.faults.append("store silent")
                await anyio.sleep(SILENCE_DELAY)
                await self._fail_store({"silent": True}, rng.uniform(*FAULT_DURATION))

    async def _restore_store(self, end):
        """Restore the store from copies until a time."""
        rng = random.Random(f"{self.result.seed} restore")
        while True:
            await anyio.sleep(rng.uniform(*RESTORE_INTERVAL))
            copy = self._environment.store.take_copy()
            await anyio.sleep(rng.uniform(*COPY_AGE))
            if anyio.current_time() >= end:
                return
            self.result.faults.append("store restored")
            self._environment.restore_store(copy)

    async def _fail_bodies(self, end):
        """Start faults in the bodies of targets' responses until a time."""
        rng = random.Random(f"{self.result.seed} bodies")
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end:
                await anyio.sleep(rng.uniform(*BODY_FAULT_INTERVAL))
                number = rng.randrange(len(self._environment.targets))
                fault = BodyFault(
                    kind=rng.choice(BODY_FAULTS),
                    min_size=rng.choice(BODY_FAULT_SIZES),
                    share=rng.choice(BODY_FAULT_SHARES),
                    count=rng.choice(BODY_FAULT_COUNTS),
                    pause=rng.uniform(*BODY_FAULT_PAUSE),
                )
                self.result.faults.append(f"body {fault.kind.value} t{number}")
                seconds = rng.uniform(*FAULT_DURATION)
                tasks.start_soon(self._fail_body, number, fault, seconds)

    async def _fail_body(self, number, fault, seconds):
        target = self._environment.targets[number]
        target.body_fault = fault
        await anyio.sleep(seconds)
        if target.body_fault is fault:
            target.body_fault = BodyFault()

    async def _fail_target(self, number_and_fault, seconds):
        number, fault = number_and_fault
        self._environment.set_target_fault(number, **fault)
        await anyio.sleep(seconds)
        self._environment.set_target_fault(number)

    async def _drain(self, number, seconds):
        self._environment.register_target(number, "draining")
        await anyio.sleep(seconds)
        self._environment.register_target(number)

    async def _wait_until_serving(self):
        with anyio.fail_after(START_TIMEOUT):
            for number in range(len(self._environment.gateways)):
                await self._clients[0].wait_until_serving(number)

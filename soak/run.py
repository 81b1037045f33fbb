"""One seeded run: clients, faults that overlap, recovery, the verdict."""

import random
import signal
import tempfile
from dataclasses import dataclass, field

import anyio
import httpcore

from turmericrudder.http_client import TRANSPORT_ERRORS, make_timeout_extensions

from .ledger import Answer, Ledger
from .proxy import Harm
from .world import HOST, World

__all__ = ["Outcome", "run_seed"]

# Each seed has ports of its own: those of the run before may not be free yet.
FIRST_PORT = 22000
PORTS = 180
PORT_RANGES = 50
CLIENTS = 12
PAUSE = (0.01, 0.08)  # seconds between a client's sends
CLIENT_TIMEOUT = 4.0  # seconds
FAULT_GAP = (0.2, 1.2)  # seconds between the starts of faults
FAULT_TIME = (0.4, 2.5)  # seconds that a fault lasts
START_LIMIT = 10.0  # seconds
RECOVERY = 6.0  # seconds after the last fault; the platform allows 15
SERVED_AFTER = 0.9  # part of the sends served once all has recovered
DRAIN_LIMIT = 2.5  # seconds until a leaving target gets no new request
QUIET = 1.0  # seconds in which the leaving target is watched


@dataclass(slots=True)
class Outcome:
    """What a run found.

    :param broken: a line for each broken promise.
    """

    seed: int
    sends: int = 0
    served: float = 0.0
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


async def run_seed(seed, seconds, directory=None):
    """Return the :class:`Outcome` of a run.

    :param seconds: how long faults are brought about.
    :param directory: for settings and logs; a new one by default.
    """
    directory = directory or tempfile.mkdtemp(prefix="soak-")
    base = FIRST_PORT + PORTS * (seed % PORT_RANGES)
    world = World(base, directory)
    run = _Run(world, seed)
    async with anyio.create_task_group() as tasks:
        try:
            await world.run(tasks)
            await run.play(seconds)
        finally:
            world.close()
            tasks.cancel_scope.cancel()
    return run.outcome


class _Run:
    def __init__(self, world, seed):
        self.outcome = Outcome(seed)
        self._world = world
        self._random = random.Random(seed)
        self._ledger = Ledger()
        self._stopped = False
        self._number = 0

    async def play(self, seconds):
        await self._wait_served()
        async with anyio.create_task_group() as clients:
            for number in range(CLIENTS):
                clients.start_soon(self._run_client, number)
            async with anyio.create_task_group() as faults:
                end = anyio.current_time() + seconds
                while anyio.current_time() < end:
                    faults.start_soon(self._bring_about, *self._draw())
                    await anyio.sleep(self._random.uniform(*FAULT_GAP))
            await anyio.sleep(RECOVERY)
            calm = anyio.current_time()
            await self._check_drain()
            self._stopped = True
        outcome = self.outcome
        outcome.sends = len(self._ledger.answers)
        outcome.served = self._ledger.get_share_served(calm)
        outcome.broken += self._ledger.get_broken(self._world.get_runs())
        for gateway in self._world.gateways:
            outcome.broken += gateway.bad_exits
        if outcome.served < SERVED_AFTER:
            outcome.broken.append(f"served {outcome.served:.2f} after recovery")

    async def _check_drain(self):
        world = self._world
        world.register(0, "draining")
        await anyio.sleep(DRAIN_LIMIT)
        before = len(world.targets[0].runs)
        await anyio.sleep(QUIET)
        late = len(world.targets[0].runs) - before
        if late:
            self.outcome.broken.append(f"a draining target got {late} requests")

    def _draw(self):
        """Return (name, coroutine function, argument) of the next fault."""
        chooser = self._random
        gateway = chooser.randrange(len(self._world.gateways))
        target = chooser.randrange(len(self._world.targets))
        harm = chooser.choice([h for h in Harm if h is not Harm.NONE])
        proxy = self._world.target_proxies[target]
        store = self._world.store_proxies[gateway]
        return chooser.choice(
            [
                (f"kill g{gateway}", self._kill, gateway),
                (f"stop g{gateway}", self._stop, gateway),
                (f"pause g{gateway}", self._pause, gateway),
                (f"hup g{gateway}", self._hup, gateway),
                (f"{harm.value} t{target}", self._harm, (proxy, harm)),
                (f"reset t{target}", self._reset, proxy),
                (f"{harm.value} store g{gateway}", self._harm, (store, harm)),
                ("store outage", self._fail_store, {"outage": True}),
                ("store forgets", self._fail_store, {"forget": True}),
                ("store slow", self._fail_store, {"delay": 0.3}),
                (f"shed t{target}", self._fail_target, (target, {"shed": True})),
                (f"lost t{target}", self._fail_target, (target, {"lose_answers": 5})),
                (
                    f"unsigned t{target}",
                    self._fail_target,
                    (target, {"unsigned": True}),
                ),
                (f"fails t{target}", self._fail_target, (target, {"status": 500})),
                (f"leaves t{target}", self._leave, target),
            ]
        )

    async def _bring_about(self, name, action, argument):
        self.outcome.faults.append(name)
        await action(argument, self._random.uniform(*FAULT_TIME))

    async def _kill(self, number, seconds):
        gateway = self._world.gateways[number]
        gateway.kill()
        await anyio.sleep(seconds / 2)
        if gateway.process.poll() is not None:
            gateway.start()

    async def _stop(self, number, seconds):
        await self._world.gateways[number].stop()

    async def _pause(self, number, seconds):
        self._world.gateways[number].send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        self._world.gateways[number].send_signal(signal.SIGCONT)

    async def _hup(self, number, seconds):
        self._world.gateways[number].send_signal(signal.SIGHUP)

    async def _harm(self, proxy_and_harm, seconds):
        proxy, harm = proxy_and_harm
        proxy.harm = harm
        await anyio.sleep(seconds)
        proxy.harm = Harm.NONE

    async def _reset(self, proxy, seconds):
        await proxy.reset()

    async def _fail_store(self, fault, seconds):
        self._world.set_store_fault(**fault)
        await anyio.sleep(seconds)
        self._world.set_store_fault()

    async def _fail_target(self, number_and_fault, seconds):
        number, fault = number_and_fault
        self._world.set_target_fault(number, **fault)
        await anyio.sleep(seconds)
        self._world.set_target_fault(number)

    async def _leave(self, number, seconds):
        self._world.register(number, "draining")
        await anyio.sleep(seconds)
        self._world.register(number)

    async def _wait_served(self):
        with anyio.fail_after(START_LIMIT):
            for number in range(len(self._world.gateways)):
                async with httpcore.AsyncConnectionPool() as pool:
                    while not await self._ask(pool, number):
                        await anyio.sleep(0.05)

    async def _run_client(self, seat):
        """Send over one kept connection until its process is gone."""
        chooser = random.Random(f"{self.outcome.seed} {seat}")
        gateway = seat % len(self._world.gateways)
        while not self._stopped:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                while not self._stopped and await self._ask(pool, gateway):
                    await anyio.sleep(chooser.uniform(*PAUSE))
            gateway = chooser.randrange(len(self._world.gateways))
            await anyio.sleep(chooser.uniform(*PAUSE))

    async def _ask(self, pool, gateway):
        """Send one request; return whether an answer came."""
        self._number += 1
        number = self._number
        is_idempotent = number % 2 == 0
        attempt_id = f"s{self.outcome.seed}n{number}"
        path = "/read/x" if is_idempotent else "/write/x"
        headers = {
            "Host": "h",
            "X-Attempt-Id": attempt_id,
            "X-Affinity-Key": str(number % 20),
            "X-Deadline-Ms": "3000",
        }
        status, is_own = None, False
        try:
            response = await pool.request(
                "GET" if is_idempotent else "POST",
                f"http://{HOST}:{self._world.get_client_port(gateway)}{path}",
                headers=headers,
                content=b"" if is_idempotent else b"body",
                extensions=make_timeout_extensions(CLIENT_TIMEOUT),
            )
        except TRANSPORT_ERRORS:
            response = None
        if response is not None:
            status = response.status
            length = 0 if is_idempotent else 4
            is_own = response.content == f"{path} {attempt_id} {length}".encode()
        now = anyio.current_time()
        self._ledger.note(Answer(attempt_id, is_idempotent, status, is_own, now))
        return status is not None

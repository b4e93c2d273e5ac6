"""A small site of real hosts over the in-memory fakes, with helpers for the gateway's tests."""

import asyncio
import functools
import inspect

import pytest
from returns.result import Failure, Success

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import Refusal
from pistachiowinch.gateway import session_tokens
from pistachiowinch.links.targets import Failed
from pistachiowinch.measure.deployment import Deployment
from pistachiowinch.measure.site import MeasuredSite
from pistachiowinch.routing.statements import Statement, StatementKind

SERVICE = "service-1"
HOSTS = ("host-1", "host-2", "host-3")
DEPLOYMENT = Deployment("gateway", 3, connections=30, hosts=3, services=1, customers=2)
OWN_KEY_TABLE = "CREATE TABLE hires (name VARCHAR(40) PRIMARY KEY)"
# Long enough for the hosts to notice a crashed peer.
DEAD_PEER_S = 3.0

_KINDS = {
    "SELECT": StatementKind.READ,
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "SET": StatementKind.SESSION_STATE,
    "CREATE": StatementKind.DDL,
}


def insert(name):
    """Return the SQL that inserts a row with a key chosen by the caller."""
    return f"INSERT INTO hires (name) VALUES ('{name}')"


class GatewayWorld:
    """Three hosts, one service of three targets."""

    def __init__(self, seed=1, rate_per_s=1000.0):
        self.site = MeasuredSite(DEPLOYMENT, seed, rate_per_s)
        self.group = self.site.groups[SERVICE]
        self.targets = DEPLOYMENT.target_names(SERVICE)

    async def start(self):
        await self.site.start()
        self.group.load(self.primary, [OWN_KEY_TABLE])
        await sleep_s(0.3)
        return self

    @property
    def primary(self):
        return self.site.primary(SERVICE)

    @property
    def replicas(self):
        return [target for target in self.targets if target != self.primary]

    def gateway(self, host="host-1"):
        return self.site.hosts[host].gateway

    def parts(self, host="host-1"):
        return self.site.hosts[host].services.parts(SERVICE)

    def gate(self, host="host-1"):
        return self.parts(host).group.gate

    async def login(self, host="host-1", name=None):
        session = await self.site.open_session(host, "customer-1", SERVICE)
        session.name = name
        return session

    async def run(self, session, text, request_id=None, host="host-1", is_idempotent=False):
        kind = _KINDS.get(text.split()[0].upper(), StatementKind.WRITE)
        statement = Statement(
            text, kind, request_id, is_idempotent, is_locking_read=text.endswith("FOR UPDATE")
        )
        return await self.gateway(host).execute(session, statement)

    async def run_all(self, session, *texts, host="host-1"):
        return [(await self.run(session, text, host=host)).unwrap() for text in texts]

    def names(self, target=None):
        """Return the names in the callers' table of a target."""
        rows = self.group.rows(target or self.primary, "SELECT name FROM hires")
        return sorted(row[0] for row in rows)

    async def wait_until_replaced(self, target):
        """Wait until every host uses another primary than ``target``."""
        trackers = [self.parts(host).tracker for host in self.site.hosts]
        await self.site.until(lambda: all(t.primary not in (None, target) for t in trackers))

    def sent_to(self, target, since_s):
        """Return the statements that were sent to a target since a time."""
        return [s.text for s in self.site.sent if s.target == target and s.sent_s >= since_s]

    def set_store_down(self, host, is_down):
        self.site.store_clients[host].faults.is_down = is_down

    async def assert_idle(self):
        """Check that no host holds a slot, a gate or a connection and no transaction is open."""
        await sleep_s(DEAD_PEER_S)
        for host in self.site.hosts:
            parts = self.parts(host)
            assert parts.group.gate.running == 0, f"{host} holds the gate"
            assert not parts.scheduler._running, f"{host} holds a slot"
            for name, pool in parts.pools.items():
                assert pool.open_count == pool.idle_count, f"{host} uses a connection to {name}"
        for target in self.group.targets.values():
            assert not any(session.is_transaction_open for session in target.sessions)


def refused_with(result):
    """Return the code of a refusal, or the errno of a target's error."""
    match result:
        case Failure(Refusal(code, _)):
            return code
        case Failure(Failed(errno)):
            return errno
        case Success(answer):
            raise AssertionError(f"not refused: {answer}")
    raise AssertionError(result)


def with_world(test=None, retention_s=session_tokens.NAME_RETENTION_S, **options):
    """Run a test with a started world.

    The clock is paused only inside the test itself, so a fixture would start it in real time.

    :param retention_s: how long hosts keep the tokens of named sessions; simulating the heartbeats
        of the default 10 min takes most of a minute of real time.
    """
    if test is None:
        return functools.partial(with_world, retention_s=retention_s, **options)

    async def run(**arguments):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(session_tokens, "NAME_RETENTION_S", retention_s)
            world = GatewayWorld(**options)
            try:
                await world.start()
                await test(world, **arguments)
            finally:
                await world.site.close()

    # pytest takes the parameters of a parametrized test from the signature.
    signature = inspect.signature(test)
    run.__signature__ = signature.replace(parameters=list(signature.parameters.values())[1:])
    run.__name__, run.__doc__ = test.__name__, test.__doc__
    run.pytestmark = getattr(test, "pytestmark", [])
    return run


async def cancel_after(world, work, steps, extra_s=0.0):
    """Cancel work after it has sent ``steps`` statements; return whether it was cancelled."""
    first = len(world.site.sent)
    task = asyncio.get_running_loop().create_task(work)
    deadline_s = now_s() + 20.0
    while len(world.site.sent) - first < steps and not task.done():
        assert now_s() < deadline_s
        await sleep_s(0.0001)
    await sleep_s(extra_s)
    is_cancelled = task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return is_cancelled

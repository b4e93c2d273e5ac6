"""Guided tour of the demo site with a real driver. Each step prints its result."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import asyncmy
from asyncmy.errors import MySQLError

from pistachiowinch.base.clock import now_s, sleep_s
from pistachiowinch.base.codes import HOST_STOPPING
from pistachiowinch.operations.demo import LOOPBACK, DemoError, DemoHost, DemoSite

__all__ = ["Tour", "run_tour"]

_SERVICE = "counter"
_CUSTOMER = "menghina"
_WRITER_COUNT = 6
_LOAD_BEFORE_S = 1.0
_LOAD_AFTER_S = 2.0
_STEP_TIMEOUT_S = 45.0
_POLL_INTERVAL_S = 0.01
# Withdrawing a key and taking a zone out must take effect within 2 s.
_TAKEN_OUT_LIMIT_S = 2.0


_load_numbers = itertools.count(1)


class _Load:
    """Writers that repeat each insert under one request id until it is acknowledged.

    :param connect: opens a connection to a ready host.
    """

    def __init__(self, connect: Callable[[int], Awaitable[Any]]) -> None:
        """Start without writers."""
        self._connect = connect
        self._is_ending = False
        self._name = f"w{next(_load_numbers)}"
        self._tasks: list[asyncio.Task[None]] = []
        self.acknowledged: dict[str, float] = {}
        self.errors: list[str] = []

    @property
    def gap_s(self) -> float:
        """Longest time between two successive acknowledged writes."""
        times = sorted(self.acknowledged.values())
        return max((after - before for before, after in itertools.pairwise(times)), default=0.0)

    def start(self) -> None:
        """Start the writers."""
        self._tasks = [
            asyncio.ensure_future(self._write(number)) for number in range(_WRITER_COUNT)
        ]

    async def finish(self) -> None:
        """Stop every writer after its current row."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    async def _write(self, number: int) -> None:
        connection = None
        for row in itertools.count():
            if self._is_ending:
                break
            name = f"{self._name}-{number}-{row}"
            while name not in self.acknowledged:
                try:
                    if connection is None:
                        connection = await self._connect(number + len(self.errors))
                    await self._insert(connection, name)
                    self.acknowledged[name] = now_s()
                except (MySQLError, OSError, EOFError) as error:
                    self.errors.append(str(error))
                    await _close(connection)
                    connection = None
                    await sleep_s(_POLL_INTERVAL_S)
        await _close(connection)

    async def _insert(self, connection: Any, name: str) -> None:
        async with connection.cursor() as cursor:
            await cursor.execute(f"SET pistachiowinch_request_id = '{name}'")
            await cursor.execute(f"INSERT INTO hires (name) VALUES ('{name}')")


async def _close(connection: Any) -> None:
    if connection is not None:
        connection.close()


async def _fetch_value(connection: Any, text: str) -> Any:
    async with connection.cursor() as cursor:
        await cursor.execute(text)
        row = await cursor.fetchone()
    return row[0] if row else None


async def _execute(connection: Any, text: str) -> int:
    async with connection.cursor() as cursor:
        return await cursor.execute(text)


class Tour:
    """The steps of the tour.

    :param site: a running demo site.
    :param print_line: receives each step's line.
    """

    def __init__(self, site: DemoSite, print_line: Callable[[str], None]) -> None:
        """Store the site; :meth:`run` starts the steps."""
        self._site = site
        self._print_line = print_line

    async def run(self) -> None:
        """Run all steps in order.

        :raises DemoError: if a step fails.
        """
        steps = (
            self._write_and_read,
            self._repeat_request,
            self._refuse_foreign_service,
            self._withdraw_key,
            self._kill_primary,
            self._take_zone_out,
            self._stop_host,
        )
        for number, step in enumerate(steps, 1):
            try:
                async with asyncio.timeout(_STEP_TIMEOUT_S):
                    line = await step()
            except TimeoutError as error:
                raise DemoError(f"step {number} took more than {_STEP_TIMEOUT_S:g} s") from error
            except (MySQLError, OSError) as error:
                raise DemoError(f"step {number} failed: {error}") from error
            self._print_line(f"{number}. {line}")

    async def _connect(self, demo_host: DemoHost, key_id: str = "", key: str = "") -> Any:
        return await asyncmy.connect(
            host=LOOPBACK,
            port=demo_host.port,
            user=key_id or f"{_CUSTOMER}-1",
            password=key or self._site.keys[_CUSTOMER].key,
            database=_SERVICE,
            autocommit=True,
            connect_timeout=5,
        )

    async def _connect_ready(self, number: int) -> Any:
        """Connect as the load balancer would: to any ready host."""
        ready = [demo_host for demo_host in self._site.hosts if not demo_host.host.unready_reasons]
        hosts = ready or self._site.hosts
        return await self._connect(hosts[number % len(hosts)])

    async def _write_and_read(self) -> str:
        first, second = self._site.hosts[:2]
        writer, reader = await self._connect(first), await self._connect(second)
        await _execute(
            writer,
            "CREATE TABLE hires (id INTEGER PRIMARY KEY AUTO_INCREMENT, name VARCHAR(40) UNIQUE)",
        )
        visible_count = 0
        for row in range(20):
            await _execute(writer, f"INSERT INTO hires (name) VALUES ('tool-{row}')")
            token = await _fetch_value(writer, "SELECT @@pistachiowinch_token")
            await _execute(reader, f"SET pistachiowinch_token = '{token}'")
            text = f"SELECT COUNT(*) FROM hires WHERE name = 'tool-{row}'"
            visible_count += await _fetch_value(reader, text)
        await _close(writer)
        await _close(reader)
        if visible_count != 20:
            raise DemoError(f"{20 - visible_count} of 20 writes were not visible with their token")
        names = f"{first.host.name}, read at {second.host.name}"
        return f"Read your writes: 20 of 20 rows written at {names} with the token."

    async def _repeat_request(self) -> str:
        first, second = self._site.hosts[:2]
        for demo_host in (first, second):
            connection = await self._connect(demo_host)
            await _execute(connection, "SET pistachiowinch_request_id = 'hire-4711'")
            await _execute(connection, "INSERT INTO hires (name) VALUES ('tool-4711')")
            await _close(connection)
        connection = await self._connect(first)
        count = await _fetch_value(
            connection, "SELECT COUNT(*) FROM hires WHERE name = 'tool-4711'"
        )
        await _close(connection)
        if count != 1:
            raise DemoError(f"a request sent twice inserted {count} rows")
        return "At most once: one request id sent through two hosts, 1 row inserted."

    async def _refuse_foreign_service(self) -> str:
        try:
            await self._connect(self._site.hosts[0], "archive-1", self._site.keys["archive"].key)
        except MySQLError as error:
            return f"Foreign service refused: {error.args[1]}"
        raise DemoError("a customer logged in to a service that it may not use")

    async def _withdraw_key(self) -> str:
        entry = {"customer": _CUSTOMER, "password_hash": self._site.keys[_CUSTOMER].stored_hash}
        operation = {"kind": "set", "path": ["keys", "menghina-2"], "value": entry}
        added = await self._site.patch("add-key", [operation])
        connection = await self._connect(self._site.hosts[2], "menghina-2")
        await _fetch_value(connection, "SELECT COUNT(*) FROM hires")
        withdrawing = asyncio.ensure_future(
            self._site.patch("withdraw-key", [{"kind": "remove", "path": ["keys", "menghina-2"]}])
        )
        started_s = now_s()
        try:
            while now_s() - started_s < 2 * _TAKEN_OUT_LIMIT_S:
                await _fetch_value(connection, "SELECT COUNT(*) FROM hires")
                await sleep_s(_POLL_INTERVAL_S)
        except (MySQLError, OSError) as error:
            age_s = now_s() - started_s
            withdrawn = await withdrawing
            await _close(connection)
            if age_s > _TAKEN_OUT_LIMIT_S:
                raise DemoError(f"the key still worked after {age_s:.2f} s") from error
            return (
                f"Patches: version {added['accepted']['version']} added a key, version "
                f"{withdrawn['accepted']['version']} withdrew it; the open connection ended "
                f"after {age_s:.3f} s."
            )
        raise DemoError("a withdrawn key still works")

    def _primary(self) -> str:
        group = self._site.hosts[0].host.services.group(_SERVICE)
        if group is None or group.tracker.primary is None:
            raise DemoError("the service has no primary")
        return group.tracker.primary

    async def _kill_primary(self) -> str:
        service = self._site.services[_SERVICE]
        load = _Load(self._connect_ready)
        load.start()
        await sleep_s(_LOAD_BEFORE_S)
        killed = self._primary()
        service.kill(killed)
        while self._primary_or_none() in (None, killed):
            await sleep_s(_POLL_INTERVAL_S)
        await sleep_s(_LOAD_AFTER_S)
        await load.finish()
        await self._check_rows(load)
        service.restart(killed)
        return (
            f"Failover: {killed} killed under load, {self._primary()} took over; "
            f"gap in acknowledged writes {load.gap_s:.2f} s, {len(load.acknowledged)} writes "
            f"acknowledged, 0 lost, 0 doubled, {len(load.errors)} errors at the callers."
        )

    def _primary_or_none(self) -> str | None:
        group = self._site.hosts[0].host.services.group(_SERVICE)
        return None if group is None else group.tracker.primary

    async def _check_rows(self, load: _Load) -> None:
        """Compare the acknowledged writes with the rows of the new primary.

        :raises DemoError: if a write is missing or duplicated.
        """
        connection = await self._connect_ready(0)
        async with connection.cursor() as cursor:
            await cursor.execute("SELECT name FROM hires FOR UPDATE")
            rows = [row[0] for row in await cursor.fetchall()]
        await _close(connection)
        written = [row for row in rows if row.startswith("w")]
        lost = set(load.acknowledged) - set(written)
        doubled = len(written) - len(set(written))
        if lost or doubled:
            raise DemoError(f"{len(lost)} acknowledged writes lost, {doubled} doubled")

    async def _take_zone_out(self) -> str:
        zone = next(
            demo_host.zone
            for demo_host in self._site.hosts
            if demo_host.zone[-1] == self._primary()[-1]
        )
        leaving = next(demo_host for demo_host in self._site.hosts if demo_host.zone == zone)
        before = self._primary()
        load = _Load(self._connect_ready)
        load.start()
        await sleep_s(_LOAD_BEFORE_S)
        started_s = now_s()
        await self._set_zone(zone, "out")
        while self._primary_or_none() in (None, before) or not leaving.host.unready_reasons:
            await sleep_s(_POLL_INTERVAL_S)
        move_s = now_s() - started_s
        await sleep_s(_LOAD_BEFORE_S)
        await load.finish()
        await self._check_rows(load)
        await self._set_zone(zone, "in")
        await self._site.wait_ready()
        if move_s > _TAKEN_OUT_LIMIT_S:
            raise DemoError(f"the primary left zone {zone} only after {move_s:.2f} s")
        return (
            f"Zone {zone} out: its host unready and the primary moved after {move_s:.2f} s, "
            f"gap {load.gap_s:.2f} s, {len(load.acknowledged)} writes, 0 lost; zone returned."
        )

    async def _set_zone(self, zone: str, state: str) -> None:
        path = ["availability_zones", zone, "state"]
        await self._site.patch(f"{zone}-{state}", [{"kind": "set", "path": path, "value": state}])

    async def _stop_host(self) -> str:
        leaving = self._site.hosts[-1]
        connection = await self._connect(leaving)
        await _execute(connection, "BEGIN")
        await _execute(connection, "INSERT INTO hires (name) VALUES ('during-stop')")
        load = _Load(self._connect_ready)
        load.start()
        await sleep_s(_LOAD_BEFORE_S)
        stopping = asyncio.ensure_future(self._site.stop_host(leaving))
        await sleep_s(leaving.host.settings.stop.unready_s + 0.2)
        await _execute(connection, "INSERT INTO hires (name) VALUES ('during-stop-2')")
        await _execute(connection, "COMMIT")
        await stopping
        await load.finish()
        await _close(connection)
        await self._check_rows(load)
        await self._check_stop(load)
        return (
            f"Graceful stop: {leaving.host.name} let its open transaction commit; under load "
            f"{len(load.acknowledged)} writes, {len(load.errors)} callers told to reconnect, 0 cut."
        )

    async def _check_stop(self, load: _Load) -> None:
        """Check that the stop interrupted no request and let the open transaction commit.

        :raises DemoError: if a request was interrupted or a row is missing.
        """
        interrupted = [error for error in load.errors if HOST_STOPPING.name not in error]
        if interrupted:
            raise DemoError(f"the stop cut {len(interrupted)} requests: {interrupted[0]}")
        other = await self._connect_ready(0)
        text = "SELECT COUNT(*) FROM hires WHERE name LIKE 'during-stop%' FOR UPDATE"
        count = await _fetch_value(other, text)
        await _close(other)
        if count != 2:
            raise DemoError(f"{count} of 2 rows of the open transaction are there")


async def run_tour() -> int:
    """Start a demo site, run the tour and stop the site.

    :returns: 0 if every step passed, else 1.
    """
    site = DemoSite()
    started_s = now_s()
    try:
        await site.start()
        print(f"0. Up: 3 hosts, 3 services of 3 targets after {now_s() - started_s:.1f} s.")
        await Tour(site, print).run()
        print("All steps passed.")
        return 0
    except DemoError as error:
        print(f"FAILED: {error}")
        return 1
    finally:
        await site.stop()

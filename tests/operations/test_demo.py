"""Guards against a demo or a documented example that does not run with a real driver."""

import asyncio
import re
from pathlib import Path

import msgspec
import pymysql
import pytest

from pistachiowinch.operations.demo import DemoSite, _write_ready_file

CALLERS = Path(__file__).parents[2] / "docs" / "callers.md"


@pytest.fixture
async def site():
    site = DemoSite()
    await site.start()
    yield site
    await site.stop()


def _run_example(port, key):
    """Run the page's example with the demo's address and key."""
    (code,) = re.findall(r"```python\n(.*?)```", CALLERS.read_text(encoding="utf-8"), re.S)
    code = code.replace('"127.0.0.1", 3306', f'"127.0.0.1", {port}').replace('"the key"', repr(key))
    names = {}
    exec(compile(code, "callers.md", "exec"), names)
    return names


async def test_the_callers_example_runs(site):
    port, key = site.hosts[0].port, site.keys["menghina"].key
    names = await asyncio.to_thread(_run_example, port, key)
    assert names["token"]
    assert names["state"] == "in"
    assert names["inserted"] == 1


def _login_error(port, user, password, service):
    try:
        pymysql.connect(
            host="127.0.0.1", port=port, user=user, password=password, database=service
        ).close()
    except pymysql.MySQLError as error:
        return str(error)
    return ""


async def test_wrong_keys_and_foreign_services_are_refused_at_login(site):
    port, key = site.hosts[1].port, site.keys["menghina"].key
    cases = [
        ("menghina-1", "wrong", "counter", "1045"),
        ("nobody", key, "counter", "1045"),
        ("menghina-1", "", "counter", "1045"),
        ("menghina-1", key, "plays", "SERVICE_NOT_ALLOWED"),
        ("menghina-1", key, "nothing", "UNKNOWN_SERVICE"),
        ("menghina-1", key, "counter", ""),
    ]
    for user, password, service, expected in cases:
        error = await asyncio.to_thread(_login_error, port, user, password, service)
        assert expected in error, (user, service, error)
        assert bool(error) == bool(expected)
    for service in site.services.values():
        for target in service.targets:
            assert key not in " ".join(service.server.received_statements(target))


async def test_ready_file_describes_the_site_for_its_owner_only(site, tmp_path):
    path = tmp_path / "ready.json"
    _write_ready_file(path, site.description())
    assert path.stat().st_mode & 0o077 == 0
    found = msgspec.json.decode(path.read_bytes())
    assert len(found["proxies"]) == 3
    assert len({proxy["availability_zone"] for proxy in found["proxies"]}) == 3
    assert len(found["services"]) == 3
    assert len(found["customers"]) >= 2
    assert all(customer["key"] for customer in found["customers"])

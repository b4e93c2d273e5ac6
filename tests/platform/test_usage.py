"""Guards against misread answers to usage reports, and against settings that end a host."""

import json

import pytest
from aiohttp import web

from pistachiowinch.base.decisions import DecisionLog
from pistachiowinch.entry.bounds import CallBounds
from pistachiowinch.fleet.usage_reports import ReportAnswer, UsageTerms
from pistachiowinch.platform.settings import SettingsError, read_settings
from pistachiowinch.platform.usage import PlatformUsageReports

BOUNDS = CallBounds(timeout_s=0.5, connect_timeout_s=0.5, poll_slack_s=0.0)


@pytest.mark.parametrize(
    ("status", "answer"),
    [
        (200, ReportAnswer.ACCEPTED),
        (400, ReportAnswer.REFUSED),
        (429, ReportAnswer.UNAVAILABLE),
        (503, ReportAnswer.UNAVAILABLE),
    ],
)
async def test_a_report_names_its_holder_and_token_and_is_repeated_with_the_same_bytes(
    status, answer
):
    """ONE: a repeat may differ in nothing, also if the counts are in another order."""
    received = []

    async def usage(request):
        headers = (request.headers["Duty-Holder"], request.headers["Fence-Token"])
        received.append((*headers, await request.read()))
        return web.Response(status=status)

    app = web.Application()
    app.router.add_post("/usage", usage)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    reports = PlatformUsageReports(address, BOUNDS, DecisionLog("test"))
    for counts in ({"carp": 2, "dace": 1}, {"dace": 1, "carp": 2}):
        assert await reports.report_usage(7, counts, "host-a", 3) is answer
    reports.close()
    await runner.cleanup()
    assert received[0] == received[1]
    assert received[0][:2] == ("host-a", "3")
    assert json.loads(received[0][2]) == {"windowId": 7, "counts": {"carp": 2, "dace": 1}}


async def test_a_report_without_an_answer_may_be_repeated():
    """cloud_down: nobody answers, so the report has to be sent again."""
    reports = PlatformUsageReports("127.0.0.1:1", BOUNDS, DecisionLog("test"))
    assert await reports.report_usage(7, {}, "host-a", 3) is ReportAnswer.UNAVAILABLE


def settings_file(folder, duties, **bounds):
    """Write a settings file."""
    settings = {
        "node": "h1",
        "ip": "127.0.0.1",
        "zone": "z1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "portRange": [3, 4],
        "platform": {"address": "127.0.0.1:5"},
        "cloudApi": {"address": "127.0.0.1:6", "duties": duties},
        "bounds": bounds,
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    return path


@pytest.mark.parametrize("duties", [["promotion"], [], ["juggling", "promotion"], [7, None, {}]])
def test_settings_without_the_duty_report_no_usage(tmp_path, duties):
    """Bad input: an unknown duty, or one that is no name, must not end the host."""
    assert read_settings(settings_file(tmp_path, duties, reportWindowS=5)).usage is None


def test_settings_with_the_duty_name_its_windows(tmp_path):
    """Duty: windows of another length would be reported under wrong numbers."""
    duties = ["juggling", "usage_report"]
    path = settings_file(tmp_path, duties, reportWindowS=60, usageLateS=20)
    assert read_settings(path).usage == UsageTerms(60, 20)
    path = settings_file(tmp_path, duties, reportWindowS=0)
    with pytest.raises(SettingsError, match="reportWindowS"):
        read_settings(path)

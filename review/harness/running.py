"""Runs a scenario and turns its result into the exit status that the review asks for."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.deployment import TROUBLE, CannotRun, Deployment, Layout

__all__ = ["run_case"]

TIME_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(
    case: Path, layout: Layout, scenario: Callable[[Deployment], Awaitable[list[str]]]
) -> None:
    """Run a scenario and exit: 0 if the rule held, 1 if it was broken, 2 if it could not run.

    :param case: folder of the case.
    :param scenario: runs the case and returns what broke the rule.
    """
    sys.exit(asyncio.run(_run(case, layout, scenario)))


async def _run(
    case: Path, layout: Layout, scenario: Callable[[Deployment], Awaitable[list[str]]]
) -> int:
    deployment = Deployment(layout, case)
    status, verdict = NOT_RUN, ""
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await deployment.start()
            broken = await scenario(deployment)
            status = BROKEN if broken else HELD
            verdict = "\n".join(broken) or "the rule held"
    except (CannotRun, TimeoutError) as error:
        verdict = f"not run: {error!r}"
    except Exception:
        verdict = f"not run: {traceback.format_exc()}"
    finally:
        await deployment.stop()
    verdict = f"TROUBLE={int(TROUBLE)}, exit status {status}\n{verdict}"
    deployment.write_record(verdict)
    lines = verdict.splitlines()
    print("\n".join(lines[:12]))
    return status

"""Command ``pistachiowinch soak``."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from pistachiowinch.soak.cluster import RESTING_CUSTOMERS, ClusterSize
from pistachiowinch.soak.run import Report, SoakSettings, run_soak

__all__ = ["app"]

_S_PER_MIN = 60.0
# Each host has a forwarder for each other host and target; more hosts need too many listeners.
MAX_HOSTS_WITH_FORWARDERS = 15

app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of the faults and of the callers.")],
    minutes: Annotated[float, typer.Option(min=0.05, help="How long faults come.")] = 1.0,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds, one after the other.")] = 1,
    hosts: Annotated[int, typer.Option(min=1, max=200, help="Hosts, a process each.")] = 5,
    logs: Annotated[
        Path | None, typer.Option(help="Folder for the hosts' logs; a temporary one by default.")
    ] = None,
    restores: Annotated[
        bool, typer.Option(help="Also bring the store back from copies some seconds old.")
    ] = False,
    pool_hosts: Annotated[
        bool, typer.Option(help="Add resting customers, so that pool hosts are in effect.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")] = False,
) -> None:
    """Run hosts as processes on loopback under random faults and check the promises to callers.

    Exits with 1 if a promise was broken; the logs of a run with findings are kept.
    """
    folder = logs or Path(tempfile.mkdtemp(prefix="pistachiowinch-soak-"))
    has_findings = False
    for number in range(seed, seed + seeds):
        run_folder = folder / f"seed-{number}"
        run_folder.mkdir(parents=True, exist_ok=True)
        resting = RESTING_CUSTOMERS if pool_hosts else 0
        size = ClusterSize(hosts, hosts <= MAX_HOSTS_WITH_FORWARDERS, resting)
        settings = SoakSettings(
            number, minutes * _S_PER_MIN, size, run_folder, has_restorations=restores
        )
        report = asyncio.run(run_soak(settings))
        has_findings |= bool(report.findings)
        typer.echo(json.dumps(_as_data(report)) if as_json else _as_text(report, run_folder))
    raise typer.Exit(int(has_findings))


def _as_data(report: Report) -> dict:
    return report._asdict() | {"findings": [finding._asdict() for finding in report.findings]}


def _as_text(report: Report, run_folder: Path) -> str:
    lines = [
        f"Seed {report.seed}: {report.faults} faults, {report.served} operations served, "
        f"{report.failed} failed, {report.runs} statements run, {len(report.findings)} findings."
    ]
    lines += [
        f"  {finding.at_s:.3f} {finding.rule}: {finding.detail}" for finding in report.findings
    ]
    if report.findings:
        lines.append(f"  Logs: {run_folder}")
    return "\n".join(lines)

"""Command line of the measurements, reached by ``pistachiowinch measure``."""

import asyncio
from collections.abc import Sequence
from typing import Annotated

import msgspec
import typer

from pistachiowinch.measure.capacity import format_slope, measure_slopes
from pistachiowinch.measure.speed import measure_speed, start_pass_through
from pistachiowinch.measure.speed_gateway import start_whole_gateway
from pistachiowinch.measure.table import GROUPS, Row, RunSizes, format_rows, measure_rows

__all__ = ["app"]

_QUICK_SIZES = RunSizes(failovers=10, rates_s=30.0, fairness_s=5.0, promises_s=10.0)

app = typer.Typer(add_completion=False, help="Measure the mechanisms against their baselines.")


def _as_json(rows: Sequence[Row]) -> str:
    fields = [{**row._asdict(), "is_met": row.is_met} for row in rows]
    return msgspec.json.format(msgspec.json.encode(fields)).decode()


@app.command()
def table(
    group: Annotated[
        list[str] | None, typer.Option(help=f"Rows to measure: {', '.join(GROUPS)}; default all.")
    ] = None,
    seed: Annotated[int, typer.Option(help="First seed of every row.")] = 1,
    quick: Annotated[bool, typer.Option(help="Run less of everything.")] = False,
    json: Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")] = False,
) -> None:
    """Print the table of measures; exit code 1 if a row misses its target."""
    groups = group or list(GROUPS)
    for name in groups:
        if name not in GROUPS:
            raise typer.BadParameter(f"{name!r} is not one of {', '.join(GROUPS)}")
    rows = list(measure_rows(groups, seed, _QUICK_SIZES if quick else RunSizes()))
    typer.echo(_as_json(rows) if json else format_rows(rows))
    if not all(row.is_met for row in rows):
        raise typer.Exit(1)


@app.command()
def speed() -> None:
    """Compare statements/s through one process with a direct connection, in one run."""
    for name, factory in (("pass-through", start_pass_through), ("whole", start_whole_gateway)):
        figures = asyncio.run(measure_speed(factory))
        typer.echo(
            f"{name} gateway: direct {figures.direct_per_s:.0f}/s, proxied "
            f"{figures.proxied_per_s:.0f}/s, ratio {figures.ratio:.3f}, "
            f"{figures.idle_connection_kb:.1f} KB for each idle caller"
        )


@app.command()
def capacity() -> None:
    """Print the slopes that docs/CAPACITY.md uses, each with its points."""
    for slope in asyncio.run(measure_slopes()):
        typer.echo(format_slope(slope))

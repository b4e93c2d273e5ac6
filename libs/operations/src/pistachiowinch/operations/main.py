"""Command line ``pistachiowinch``."""

import asyncio
import importlib
import json
import os
import sys
from collections.abc import Coroutine
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from returns.result import Failure, Result, Success

from pistachiowinch.base.tokens import decode_token
from pistachiowinch.operations import patch_text
from pistachiowinch.operations.keys import create_key
from pistachiowinch.operations.operators_client import OperatorsClient, OperatorsError
from pistachiowinch.operations.settings import Settings, read_settings

__all__ = ["ExitCode", "app", "main"]

KEY_VARIABLE = "PISTACHIOWINCH_OPERATOR_KEY"
_DEFAULT_URL = "http://127.0.0.1:8600"
_MAX_PATCH_BYTES = 16_777_216


class ExitCode(IntEnum):
    """Exit codes of every command; 2 is typer's own code for wrong usage."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


_EPILOG = (
    "Exit codes: 0 done; 1 refused, or faults found; 2 wrong usage; 3 no complete answer from "
    "the host (a submitted patch may have been accepted: submit it again with the same id); "
    "4 accepted, but not yet in force on every host."
)

app = typer.Typer(
    name="pistachiowinch",
    help="Database proxy with session consistency for MySQL clients.",
    epilog=_EPILOG,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
patch_app = typer.Typer(help="Read and change the configuration.", no_args_is_help=True)
roster_app = typer.Typer(help="Change the list of hosts by hand.", no_args_is_help=True)
key_app = typer.Typer(help="Create keys.", no_args_is_help=True)
app.add_typer(patch_app, name="patch")
app.add_typer(roster_app, name="roster")
app.add_typer(key_app, name="key")

SettingsPath = Annotated[Path, typer.Argument(metavar="SETTINGS.ini", help="Settings file.")]
PatchPath = Annotated[
    Path, typer.Argument(metavar="PATCH.json", help="Patch file; - reads standard input.")
]
UrlOption = Annotated[str, typer.Option("--url", help="Operators' interface of any host.")]
KeyFileOption = Annotated[
    Path | None,
    typer.Option(
        "--key-file", help=f"File with the operator's key; otherwise ${KEY_VARIABLE} is used."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


def _fail(text: str, code: ExitCode = ExitCode.REFUSED) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(int(code))


def _print_json(data: Any) -> None:
    typer.echo(json.dumps(data, indent=2, sort_keys=True, ensure_ascii=False))


def _client(url: str, key_file: Path | None) -> OperatorsClient:
    """Build a client. The key is not an option, since other users can see command lines."""
    if key_file is None:
        return OperatorsClient(url, os.environ.get(KEY_VARIABLE, "").strip())
    try:
        return OperatorsClient(url, key_file.read_text(encoding="utf-8").strip())
    except (OSError, UnicodeDecodeError) as error:
        _fail(f"The key file is unreadable: {error}", ExitCode.USAGE)


def _call(request: Coroutine[Any, Any, Result[Any, OperatorsError]]) -> Any:
    """Run one request and exit with the matching code if it failed."""
    match asyncio.run(request):
        case Success(data):
            return data
        case Failure(error):
            code = ExitCode.UNREACHABLE if error.is_unreachable else ExitCode.REFUSED
            number = f"PW{error.number} " if error.number else ""
            _fail(f"{number}{error.detail}", code)


def _read_input(path: Path) -> bytes:
    try:
        if str(path) == "-":
            return sys.stdin.buffer.read(_MAX_PATCH_BYTES)
        return path.read_bytes()
    except OSError as error:
        _fail(f"{path} is unreadable: {error.strerror}", ExitCode.USAGE)


def _settings(path: Path) -> Settings:
    match read_settings(path):
        case Success(settings):
            return settings
        case Failure(faults):
            for fault in faults:
                typer.echo(str(fault), err=True)
            _fail(f"{path}: {len(faults)} faults.")


@app.command()
def serve(path: SettingsPath) -> None:
    """Run one host until SIGTERM or SIGINT, then stop it gracefully."""
    settings = _settings(path)
    from pistachiowinch.operations.daemon import run_daemon

    raise typer.Exit(run_daemon(settings))


@app.command()
def check(path: SettingsPath, as_json: JsonOption = False) -> None:
    """Check a settings file and print every fault."""
    match read_settings(path):
        case Success(_):
            faults = []
        case Failure(found):
            faults = found
    if as_json:
        _print_json({"faults": [fault._asdict() for fault in faults]})
    else:
        for fault in faults:
            typer.echo(str(fault))
        typer.echo(f"{path}: {len(faults)} faults." if faults else f"{path}: no faults.")
    raise typer.Exit(int(ExitCode.REFUSED if faults else ExitCode.DONE))


@app.command()
def status(
    url: UrlOption = _DEFAULT_URL, key_file: KeyFileOption = None, as_json: JsonOption = False
) -> None:
    """Show the state of one host: standing, roster, versions, services."""
    data = _call(_client(url, key_file).get("/status"))
    if as_json:
        _print_json(data)
        return
    for line in patch_text.status_lines(data):
        typer.echo(line)


@patch_app.command("submit")
def submit(
    path: PatchPath,
    url: UrlOption = _DEFAULT_URL,
    key_file: KeyFileOption = None,
    wait_s: Annotated[
        float, typer.Option("--wait", min=0, max=60, help="Seconds to wait until in force.")
    ] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Submit a patch; it is accepted only against the newest version."""
    data = _call(_client(url, key_file).submit_patch(_read_input(path), wait_s))
    accepted, lagging = data["accepted"], data["lagging_hosts"]
    if as_json:
        _print_json(data)
    else:
        typer.echo(f"Patch {accepted['patch_id']} is accepted as version {accepted['version']}.")
        where = f"not yet on {', '.join(lagging)}" if lagging else "on every host"
        typer.echo(f"In force {where}.")
    if lagging:
        raise typer.Exit(int(ExitCode.NOT_IN_FORCE))


@patch_app.command("history")
def history(
    url: UrlOption = _DEFAULT_URL,
    key_file: KeyFileOption = None,
    count: Annotated[int, typer.Option(min=1, max=1000, help="Number of patches.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """List the newest accepted patches, the newest first."""
    data = _call(_client(url, key_file).get(f"/patches?count={count}"))
    if as_json:
        _print_json(data)
        return
    for record in data["patches"]:
        typer.echo(patch_text.record_line(record))


@patch_app.command("show")
def show(
    patch_id: Annotated[str, typer.Argument(help="Id of an accepted patch.")],
    url: UrlOption = _DEFAULT_URL,
    key_file: KeyFileOption = None,
) -> None:
    """Print one of the newest 1000 accepted patches as JSON."""
    data = _call(_client(url, key_file).get("/patches?count=1000"))
    for record in data["patches"]:
        if patch_text.record_id(record) == patch_id:
            _print_json(record)
            return
    _fail(f"No accepted patch has the id {patch_id}.")


@patch_app.command("diff")
def diff(
    path: PatchPath,
    url: UrlOption = _DEFAULT_URL,
    key_file: KeyFileOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show what a patch would change in the configuration in force, without submitting it."""
    current = _call(_client(url, key_file).get("/configuration"))
    match patch_text.diff(current, _read_input(path)):
        case Success(changes):
            if as_json:
                _print_json({"base_version": current["version"], "changes": changes})
                return
            for line in patch_text.change_lines(changes):
                typer.echo(line)
        case Failure(refusal):
            _fail(refusal.message)


@roster_app.command("remove")
def remove(
    hosts: Annotated[list[str], typer.Argument(help="Hosts that have ended for certain.")],
    url: UrlOption = _DEFAULT_URL,
    key_file: KeyFileOption = None,
) -> None:
    """Remove ended hosts when too few are left for a majority.

    Hosts that end one by one are removed without this. If a removed host still runs, customers may
    get more than their rates.
    """
    data = _call(_client(url, key_file).remove_hosts(hosts))
    typer.echo(f"The roster has epoch {data['roster_epoch']}.")


@app.command()
def token(
    text: Annotated[str, typer.Argument(metavar="TOKEN", help="Session token; - reads it.")],
    service: Annotated[str, typer.Option(help="Fail unless it belongs to this service.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Show and check a session token."""
    match decode_token(sys.stdin.readline().strip() if text == "-" else text):
        case Success(decoded):
            fields = decoded._asdict()
        case Failure(refusal):
            _fail(f"PW{refusal.code.number} {refusal.code.name}: {refusal.detail}")
    if as_json:
        _print_json(fields)
    else:
        typer.echo(f"Service {decoded.service}, term {decoded.term}, position {decoded.position}.")
    if service and decoded.service != service:
        _fail(f"The token does not belong to service {service}.")


@key_app.command("create")
def create(
    customer: Annotated[str, typer.Option(help="Customer that the key belongs to.")] = "",
    key_id: Annotated[str, typer.Option("--id", help="Id of the key.")] = "KEY-ID",
    is_operator: Annotated[bool, typer.Option("--operator", help="An operator's key.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Print a new random key once, and the operation that a patch needs for it."""
    if not is_operator and not customer:
        _fail("State --customer or --operator.", ExitCode.USAGE)
    created = create_key(is_operator)
    operation = patch_text.key_operation(key_id, customer, is_operator, created.stored_hash)
    if as_json:
        _print_json({"key_id": key_id, "key": created.key, "operation": operation})
        return
    typer.echo(f"Key (shown only now): {created.key}")
    typer.echo("Operation for a patch:")
    _print_json(operation)


@app.command()
def demo(
    is_check: Annotated[
        bool, typer.Option("--check", help="Run the guided tour and exit 0 or 1.")
    ] = False,
    ready_file: Annotated[
        Path | None,
        typer.Option(help="Write addresses and keys as JSON here once everything is up."),
    ] = None,
) -> None:
    """Run three hosts with stand-ins for store and targets in one process, on loopback."""
    from pistachiowinch.operations.demo import run_demo

    raise typer.Exit(run_demo(is_check, ready_file))


@app.command(
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
    add_help_option=False,
)
def measure(context: typer.Context) -> None:
    """Print the table of measures against the baselines; see `measure --help`."""
    _run_optional_command("measure", context)


@app.command(
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
    add_help_option=False,
)
def soak(context: typer.Context) -> None:
    """Run hosts as processes under random faults; see `soak --help`."""
    _run_optional_command("soak", context)


def _run_optional_command(name: str, context: typer.Context) -> NoReturn:
    """Run a command of a library that may not be installed."""
    try:
        module = importlib.import_module(f"pistachiowinch.{name}.main")
    except ModuleNotFoundError as error:
        _fail(f"This installation has no `{name}`: {error}.")
    command = typer.main.get_command(module.app)
    command.main(args=list(context.args), prog_name=f"pistachiowinch {name}")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

"""Settings of one host, read from an INI file.

All faults of a file are reported at once, so that an operator can correct them in one pass. The
table :data:`SETTINGS` defines every setting; a test compares the reference in
``docs/OPERATIONS.md`` with it.
"""

import configparser
import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

__all__ = [
    "SETTINGS",
    "CallerSettings",
    "HostSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "Setting",
    "Settings",
    "SettingsFault",
    "StopSettings",
    "StoreSettings",
    "TargetSettings",
    "parse_settings",
    "read_settings",
]

# Names become parts of store keys, log prefixes and metric labels.
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
_FORMATS = ("text", "json")
_FLAGS = {"yes": True, "no": False}
_MAX_PORT = 65535
# A settings file has a few kilobytes; the limit rejects wrong files such as logs and dumps.
_MAX_FILE_BYTES = 262_144
_SECRET_TEXT = "(hidden)"


class HostSettings(NamedTuple):
    """Name and location of this host."""

    name: str
    availability_zone: str
    site: str
    memory_mb: int = 256


class CallerSettings(NamedTuple):
    """Listener for callers."""

    address: str
    port: int
    connections: int
    statement_bytes: int
    deadline_s: float
    login_timeout_s: float


class PeerSettings(NamedTuple):
    """Listener for the other hosts of the site, and where to find them."""

    address: str
    port: int
    known: tuple[tuple[str, str], ...]


class StoreSettings(NamedTuple):
    """The platform's key-value store."""

    endpoints: tuple[str, ...]
    timeout_s: float


class TargetSettings(NamedTuple):
    """Credentials and time limits for connections to targets."""

    user: str
    password: str
    connect_timeout_s: float


class OperatorSettings(NamedTuple):
    """Operators' HTTP interface."""

    address: str
    port: int
    allow_remote: bool
    metrics_open: bool
    health_open: bool
    body_bytes: int
    bootstrap_key_hash: str


class LogSettings(NamedTuple):
    """Log output."""

    level: str
    format: str


class StopSettings(NamedTuple):
    """Time limits of a graceful stop."""

    unready_s: float
    grace_s: float


class Settings(NamedTuple):
    """All settings of one host."""

    host: HostSettings
    callers: CallerSettings
    peers: PeerSettings
    store: StoreSettings
    targets: TargetSettings
    operators: OperatorSettings
    log: LogSettings
    stop: StopSettings


class SettingsFault(NamedTuple):
    """One fault of a settings file.

    :param section: section of the fault; empty for a fault of the file.
    :param key: key of the fault; empty for a fault of the section.
    :param value: text in the file; hidden for secrets.
    :param allowed: description of the allowed values.
    """

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{place} = {self.value!r}: {self.allowed}"


class Setting(NamedTuple):
    """One setting of the table.

    :param default: text used when the key is missing; None if the key is required.
    :param allowed: description of the allowed values, as shown with a fault.
    :param meaning: one line for the reference.
    :param is_secret: whether the value must not be shown.
    """

    section: str
    key: str
    parse: Callable[[str], Any]
    default: str | None
    allowed: str
    meaning: str
    is_secret: bool = False


def _name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _user(text: str) -> str:
    if not text or not text.isprintable() or len(text) > 32:
        raise ValueError("bad user name")
    return text


def _any_text(text: str) -> str:
    return text


def _address(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _port(text: str) -> int:
    port = int(text)
    if not 0 <= port <= _MAX_PORT:
        raise ValueError(text)
    return port


def _count(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def _duration(low_s: float, high_s: float) -> Callable[[str], float]:
    def parse(text: str) -> float:
        number = float(text)
        if not low_s <= number <= high_s:
            raise ValueError(text)
        return number

    return parse


def _one_of(*words: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return parse


def _flag(text: str) -> bool:
    if text not in _FLAGS:
        raise ValueError(text)
    return _FLAGS[text]


def _url(text: str, schemes: tuple[str, ...]) -> str:
    parts = urlsplit(text)
    if parts.scheme not in schemes or not parts.hostname or parts.port is None:
        raise ValueError(text)
    if parts.path not in ("", "/") or parts.query or parts.username:
        raise ValueError(text)
    return text.rstrip("/")


def _endpoints(text: str) -> tuple[str, ...]:
    endpoints = tuple(_url(part.strip(), ("http",)) for part in text.split(","))
    if len(set(endpoints)) != len(endpoints):
        raise ValueError(text)
    return endpoints


def _known_hosts(text: str) -> tuple[tuple[str, str], ...]:
    known: dict[str, str] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        host, separator, url = part.partition("=")
        if not separator or host in known:
            raise ValueError(text)
        known[_name(host.strip())] = _url(url.strip(), ("tcp",))
    return tuple(known.items())


def _key_hash(text: str) -> str:
    if text and not _SHA256_HEX.fullmatch(text):
        raise ValueError("bad hash")
    return text


_NAME_TEXT = "1 to 63 of a-z, 0-9, '.' and '-', not at the ends"
_ADDRESS_TEXT = "an IP address"
_PORT_TEXT = f"0 to {_MAX_PORT}; 0 takes a free port"
_FLAG_TEXT = "yes or no"

SETTINGS: tuple[Setting, ...] = (
    Setting("host", "name", _name, None, _NAME_TEXT, "Name of this host, unique in its site."),
    Setting(
        "host", "availability_zone", _name, None, _NAME_TEXT, "Availability zone of this host."
    ),
    Setting("host", "site", _name, None, _NAME_TEXT, "Site that the host belongs to."),
    Setting(
        "host",
        "memory_mb",
        _count(64, 1_048_576),
        "256",
        "64 to 1048576",
        "Memory of the machine for this process, in MiB; callers may use half of it.",
    ),
    Setting("callers", "address", _address, "127.0.0.1", _ADDRESS_TEXT, "Where callers connect."),
    Setting("callers", "port", _port, "3306", _PORT_TEXT, "Port for callers."),
    Setting(
        "callers",
        "connections",
        _count(1, 100_000),
        "2000",
        "1 to 100000",
        "Open caller connections at most; more are refused with `TOO_MANY_CONNECTIONS`.",
    ),
    Setting(
        "callers",
        "statement_bytes",
        _count(1024, 67_108_864),
        "1048576",
        "1024 to 67108864",
        "Longest accepted statement, in bytes.",
    ),
    Setting(
        "callers",
        "deadline_s",
        _duration(0.1, 600.0),
        "10",
        "0.1 to 600",
        "Time for one statement, waiting included, in seconds.",
    ),
    Setting(
        "callers",
        "login_timeout_s",
        _duration(0.1, 60.0),
        "5",
        "0.1 to 60",
        "Time for a caller's login, in seconds.",
    ),
    Setting("peers", "address", _address, None, _ADDRESS_TEXT, "Where the site's hosts connect."),
    Setting("peers", "port", _port, "4600", _PORT_TEXT, "Port for the site's hosts."),
    Setting(
        "peers",
        "known",
        _known_hosts,
        "",
        "NAME=tcp://IP:PORT, separated by commas",
        "Hosts to try first, used when the store is down at the start.",
    ),
    Setting(
        "store",
        "endpoints",
        _endpoints,
        None,
        "http://IP:PORT, separated by commas, none twice",
        "Addresses of the platform's store.",
    ),
    Setting(
        "store",
        "timeout_s",
        _duration(0.05, 30.0),
        "1",
        "0.05 to 30",
        "Time for one call to the store, in seconds.",
    ),
    Setting(
        "targets",
        "user",
        _user,
        None,
        "1 to 32 printable characters",
        "The product's own user at the targets.",
    ),
    Setting(
        "targets",
        "password",
        _any_text,
        "",
        "any text",
        "Password of that user.",
        is_secret=True,
    ),
    Setting(
        "targets",
        "connect_timeout_s",
        _duration(0.01, 30.0),
        "0.5",
        "0.01 to 30",
        "Time to open a connection to a target, in seconds.",
    ),
    Setting(
        "operators", "address", _address, "127.0.0.1", _ADDRESS_TEXT, "Where operators connect."
    ),
    Setting("operators", "port", _port, "8600", _PORT_TEXT, "Port for operators."),
    Setting(
        "operators",
        "allow_remote",
        _flag,
        "no",
        _FLAG_TEXT,
        "Accept an address that is not loopback. The interface has no TLS.",
    ),
    Setting(
        "operators",
        "metrics_open",
        _flag,
        "no",
        _FLAG_TEXT,
        "Serve `/metrics` without an operator's key.",
    ),
    Setting(
        "operators",
        "health_open",
        _flag,
        "yes",
        _FLAG_TEXT,
        "Serve `/healthz` and `/readyz` without an operator's key.",
    ),
    Setting(
        "operators",
        "body_bytes",
        _count(1024, 16_777_216),
        "1048576",
        "1024 to 16777216",
        "Largest accepted request body, in bytes.",
    ),
    Setting(
        "operators",
        "bootstrap_key_hash",
        _key_hash,
        "",
        "64 hex digits (SHA-256 of the key), or empty",
        "Key that is accepted only while the configuration names no operator.",
        is_secret=True,
    ),
    Setting(
        "log",
        "level",
        _one_of(*_LEVELS),
        "INFO",
        "one of " + ", ".join(_LEVELS),
        "Lowest level that is written.",
    ),
    Setting(
        "log",
        "format",
        _one_of(*_FORMATS),
        "text",
        "text or json",
        "Text lines, or one JSON object on each line.",
    ),
    Setting(
        "stop",
        "unready_s",
        _duration(0.0, 60.0),
        "2",
        "0 to 60",
        "Time between failing `/readyz` and refusing connections, in seconds.",
    ),
    Setting(
        "stop",
        "grace_s",
        _duration(0.0, 600.0),
        "30",
        "0 to 600",
        "Time for running transactions to end, in seconds.",
    ),
)

_SECTION_TYPES: dict[str, Callable[..., Any]] = {
    "host": HostSettings,
    "callers": CallerSettings,
    "peers": PeerSettings,
    "store": StoreSettings,
    "targets": TargetSettings,
    "operators": OperatorSettings,
    "log": LogSettings,
    "stop": StopSettings,
}


def _load(text: str) -> tuple[configparser.ConfigParser, list[SettingsFault]]:
    """Parse the file's syntax, continuing after a fault so that values are checked too."""
    faults: list[SettingsFault] = []
    try:
        parser = configparser.ConfigParser(interpolation=None, strict=True)
        parser.read_string(text)
        return parser, faults
    except configparser.DuplicateOptionError as error:
        faults.append(SettingsFault(error.section, error.option, "(twice)", "a key only once"))
    except configparser.DuplicateSectionError as error:
        faults.append(SettingsFault(error.section, "", "(twice)", "a section only once"))
    except configparser.Error:
        pass  # The lenient parser below finds the same fault and reports it.
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        faults.append(SettingsFault("", "", f"line {error.lineno}", "a [section] before any key"))
    except configparser.ParsingError as error:
        # The line itself is not shown: it may contain a password.
        faults += [
            SettingsFault("", "", f"line {number}", "key = value") for number, _ in error.errors
        ]
    return parser, faults


def _unknown_names(parser: configparser.ConfigParser) -> list[SettingsFault]:
    known: dict[str, list[str]] = {section: [] for section in _SECTION_TYPES}
    for setting in SETTINGS:
        known[setting.section].append(setting.key)
    faults = []
    if parser.defaults():
        faults.append(SettingsFault("DEFAULT", "", "", "no default section"))
    for section in parser.sections():
        if section not in known:
            faults.append(SettingsFault(section, "", "", "one of " + ", ".join(known)))
            continue
        # Values of unknown keys are not shown: that of a misspelled key may be a password.
        faults += [
            SettingsFault(section, key, _SECRET_TEXT, "one of " + ", ".join(known[section]))
            for key in parser[section]
            if key not in known[section] and key not in parser.defaults()
        ]
    return faults


def _check_value(parser: configparser.ConfigParser, setting: Setting) -> Result[Any, SettingsFault]:
    text = parser.get(setting.section, setting.key, fallback=setting.default)
    if text is None:
        missing = SettingsFault(setting.section, setting.key, "", f"required: {setting.allowed}")
        return Failure(missing)
    try:
        return Success(setting.parse(text.strip()))
    except ValueError:
        shown = _SECRET_TEXT if setting.is_secret else text
        return Failure(SettingsFault(setting.section, setting.key, shown, setting.allowed))


def _conflicts(values: dict[str, dict[str, Any]]) -> list[SettingsFault]:
    """Check the rules that involve more than one setting."""
    faults = []
    operators, callers, peers = values["operators"], values["callers"], values["peers"]
    address = operators.get("address")
    is_remote = address is not None and not ipaddress.ip_address(address).is_loopback
    if is_remote and operators.get("allow_remote") is False:
        allowed = "a loopback address, or allow_remote = yes"
        faults.append(SettingsFault("operators", "address", address, allowed))
    peer_address = peers.get("address")
    if peer_address is not None and ipaddress.ip_address(peer_address).is_unspecified:
        allowed = "an address that peers can reach, not the unspecified one"
        faults.append(SettingsFault("peers", "address", peer_address, allowed))
    seen: dict[tuple[Any, int], str] = {}
    sections = (("callers", callers), ("peers", peers), ("operators", operators))
    for section, entries in sections:
        port = entries.get("port")
        place = (entries.get("address"), port)
        if not port or None in place:
            continue
        if place in seen:
            allowed = f"another port than [{seen[place]}] port"
            faults.append(SettingsFault(section, "port", str(port), allowed))
        seen.setdefault(place, section)
    return faults


def parse_settings(text: str) -> Result[Settings, list[SettingsFault]]:
    """Read settings from INI text.

    :param text: the file's content.
    :returns: the settings, or every fault.
    """
    parser, faults = _load(text)
    faults += _unknown_names(parser)
    values: dict[str, dict[str, Any]] = {section: {} for section in _SECTION_TYPES}
    for setting in SETTINGS:
        match _check_value(parser, setting):
            case Success(value):
                values[setting.section][setting.key] = value
            case Failure(fault):
                faults.append(fault)
    faults += _conflicts(values)
    if faults:
        return Failure(faults)
    sections = {section: build(**values[section]) for section, build in _SECTION_TYPES.items()}
    return Success(Settings(**sections))


def read_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Read settings from a file.

    :param path: an INI file in UTF-8.
    :returns: the settings, or every fault.
    """
    try:
        if path.stat().st_size > _MAX_FILE_BYTES:
            allowed = f"at most {_MAX_FILE_BYTES} bytes"
            return Failure([SettingsFault("", "", str(path), allowed)])
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or "unreadable"
        return Failure([SettingsFault("", "", str(path), f"a readable file ({reason})")])
    except UnicodeDecodeError:
        return Failure([SettingsFault("", "", str(path), "UTF-8 text")])
    return parse_settings(text)

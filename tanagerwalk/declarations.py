"""Parser for the operators' declaration: classes, client accounts and versions.

The declaration is INI text that states targets. It contains no routing weights and
no addresses.
"""

import configparser
import hashlib
import math
import re
from dataclasses import dataclass, field

from expression import Error, Ok

from .ids import ClassName, ClientAccountId, ServiceName, VersionName
from .outcomes import Interface, VersionState

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
DURATION_PATTERN = re.compile(r"^(\d+(?:\.\d+)?)\s*(ms|s|m|h)$")
DEFAULT_PATIENCE_FACTOR = 3.0
DEFAULT_TOKENS = 512
BOOLEANS = {"yes": True, "no": False}


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its targets.

    Parameters
    ----------
    name : ClassName
        Unique name. Callers send it in the `model` field or in the path.
    interface : Interface
        Chat completions from an engine, or a call to a plain service.
    quality : float
        Target for the mean rating of answers, 0 to 1.
    lateness : float
        Latency target for the complete answer, in seconds.
    patience : float
        Seconds after which the router abandons a request.
    cost : float
        Target cost of one request; plans that exceed it are reported, not refused.
    idempotent : bool
        Whether a request may safely run more than once.
    service : ServiceName or None
        The plain service that serves the class; None for chat classes.
    tokens : int
        Prior estimate of the tokens generated per answer, used until enough answers
        have been counted.
    hedge : bool
        Whether a slow idempotent request may be sent to a second server.
    """

    name: ClassName
    interface: Interface
    quality: float
    lateness: float
    patience: float
    cost: float
    idempotent: bool
    service: ServiceName | None = None
    tokens: int = DEFAULT_TOKENS
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its permissions.

    Parameters
    ----------
    name : ClientAccountId
        Unique name.
    key_sha256 : str
        Hexadecimal SHA-256 of the account's bearer key.
    classes : frozenset of ClassName
        Classes of work that the account may request.
    versions : frozenset of VersionName
        Versions that may answer the account's requests.
    """

    name: ClientAccountId
    key_sha256: str
    classes: frozenset[ClassName]
    versions: frozenset[VersionName]


@dataclass(frozen=True, slots=True)
class Version:
    """A version of a model.

    Parameters
    ----------
    name : VersionName
        Model and version, in the form that the engines use.
    state : VersionState
        State of the version's roll-out.
    cost : float
        Cost per 1000 generated tokens.
    evaluated : dict of ClassName to float
        Mean rating from the operators' offline evaluation, by class served.
    exposure : int
        Fleet-wide limit of unrated answers that a candidate may give.
    replaces : VersionName or None
        The baseline version that a candidate is compared with.
    """

    name: VersionName
    state: VersionState
    cost: float
    evaluated: dict[ClassName, float] = field(default_factory=dict)
    exposure: int = 0
    replaces: VersionName | None = None


@dataclass(frozen=True, slots=True)
class Declaration:
    """A parsed and validated declaration."""

    classes: dict[ClassName, WorkClass]
    client_accounts: dict[ClientAccountId, ClientAccount]
    versions: dict[VersionName, Version]
    accounts_by_key: dict[str, ClientAccount] = field(default_factory=dict)

    def find_account(self, credential):
        """Return the client account with this bearer key, or None."""
        return self.accounts_by_key.get(hash_key(credential))


EMPTY_DECLARATION = Declaration({}, {}, {})


def hash_key(credential):
    """Return the hexadecimal SHA-256 of a bearer key."""
    return hashlib.sha256(credential.encode()).hexdigest()


def parse_duration(raw):
    """Convert a duration such as `300 ms` to seconds; None if malformed or infinite."""
    match = DURATION_PATTERN.match(raw.strip())
    if match is None:
        return None
    seconds = float(match[1]) * DURATION_UNITS_S[match[2]]
    return seconds if math.isfinite(seconds) else None


def parse_declaration(text):
    """Parse and validate a declaration.

    Parameters
    ----------
    text : str
        INI text with `[class NAME]`, `[account NAME]` and `[version NAME]` sections.

    Returns
    -------
    Result of Declaration, or of a tuple of str
        The declaration, or one message per problem.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Error((f"declaration is not INI: {error.message}",))
    problems = []
    sections = _sort_sections(parser, problems)
    classes = {n: _read_class(n, s) for n, s in sections["class"].items()}
    versions = {n: _read_version(n, s) for n, s in sections["version"].items()}
    accounts = {n: _read_account(n, s) for n, s in sections["account"].items()}
    readers = [r for kind in sections.values() for r in kind.values()]
    for reader in readers:
        reader.report_unknown_keys()
        problems.extend(reader.problems)
    _check_references(classes, accounts, versions, problems)
    if problems:
        return Error(tuple(problems))
    by_key = {account.key_sha256: account for account in accounts.values()}
    return Ok(Declaration(classes, accounts, versions, by_key))


def _sort_sections(parser, problems):
    sections = {"class": {}, "account": {}, "version": {}}
    for title in parser.sections():
        kind, _, name = title.partition(" ")
        if kind not in sections or not name.strip():
            problems.append(f"unknown section [{title}]")
            continue
        name = name.strip()
        if name in sections[kind]:
            problems.append(f"section [{title}] repeats [{kind} {name}]")
            continue
        sections[kind][name] = _SectionReader(title, parser[title])
    return sections


class _SectionReader:
    """Reads typed values from one INI section and collects problems."""

    def __init__(self, title, section):
        self.title = title
        self.section = section
        self.problems = []
        self.known_keys = set()

    def report(self, text):
        self.problems.append(f"[{self.title}] {text}")

    def report_unknown_keys(self):
        for key in self.section:
            if key not in self.known_keys:
                self.report(f'has unknown key "{key}"')

    def read(self, key, default=None):
        self.known_keys.add(key)
        raw = self.section.get(key)
        if raw is None and default is None:
            self.report(f'lacks key "{key}"')
        return default if raw is None else raw.strip()

    def read_number(self, key, default=None, minimum=0.0, maximum=float("inf")):
        raw = self.read(key, default)
        try:
            number = float(raw) if raw is not None else 0.0
        except ValueError:
            self.report(f'{key} = "{raw}" is not a number')
            return 0.0
        if not math.isfinite(number):
            self.report(f"{key} = {raw} is not finite")
            return 0.0
        if not minimum <= number <= maximum:
            self.report(f"{key} = {raw} is not between {minimum:g} and {maximum:g}")
        return number

    def read_duration(self, key, default=None):
        raw = self.read(key, default)
        if raw is None:
            return 0.0
        seconds = parse_duration(raw)
        if seconds is None:
            self.report(f'{key} = "{raw}" is not a duration such as "300 ms"')
            return 0.0
        return seconds

    def read_choice(self, key, choices, default=None):
        raw = self.read(key, default)
        if raw in choices:
            return choices[raw]
        if raw is not None:
            known = ", ".join(choices)
            self.report(f'{key} = "{raw}" is not one of {known}')
        return next(iter(choices.values()))

    def read_words(self, key, default=None):
        raw = self.read(key, default)
        return [] if raw is None else raw.split()


def _read_class(name, reader):
    interfaces = {kind.value: kind for kind in Interface}
    interface = reader.read_choice("interface", interfaces, Interface.CHAT.value)
    lateness = reader.read_duration("lateness")
    patience = f"{lateness * DEFAULT_PATIENCE_FACTOR:f} s"
    service = None
    if interface is Interface.SERVICE:
        service = ServiceName(reader.read("service"))
    return WorkClass(
        name=ClassName(name),
        interface=interface,
        quality=reader.read_number("quality", "0", maximum=1.0),
        lateness=lateness,
        patience=reader.read_duration("patience", patience),
        cost=reader.read_number("cost", "0"),
        idempotent=reader.read_choice("idempotent", BOOLEANS, "yes"),
        service=service,
        tokens=int(reader.read_number("tokens", str(DEFAULT_TOKENS), minimum=1)),
        hedge=reader.read_choice("hedge", BOOLEANS, "no"),
    )


def _read_version(name, reader):
    states = {state.value: state for state in VersionState}
    replaces = reader.read("replaces", "")
    return Version(
        name=VersionName(name),
        state=reader.read_choice("state", states),
        cost=reader.read_number("cost"),
        evaluated=_read_evaluated(reader),
        exposure=int(reader.read_number("exposure", "0")),
        replaces=VersionName(replaces) if replaces else None,
    )


def _read_evaluated(reader):
    evaluated = {}
    for word in reader.read_words("evaluated", ""):
        name, _, raw = word.partition(":")
        try:
            rating = float(raw)
        except ValueError:
            reader.report(f'evaluated = "{word}" is not CLASS:RATING')
            continue
        if not 0 <= rating <= 1:
            reader.report(f"evaluated rating {raw} is not between 0 and 1")
        evaluated[ClassName(name)] = rating
    return evaluated


def _read_account(name, reader):
    return ClientAccount(
        name=ClientAccountId(name),
        key_sha256=reader.read("key_sha256") or "",
        classes=frozenset(map(ClassName, reader.read_words("classes"))),
        versions=frozenset(map(VersionName, reader.read_words("versions", ""))),
    )


def _check_references(classes, accounts, versions, problems):
    for account in accounts.values():
        for name in sorted(account.classes - classes.keys()):
            problems.append(f'account "{account.name}" names unknown class "{name}"')
        for name in sorted(account.versions - versions.keys()):
            problems.append(f'account "{account.name}" names unknown version "{name}"')
    for version in versions.values():
        for name in sorted(version.evaluated.keys() - classes.keys()):
            problems.append(f'version "{version.name}" names unknown class "{name}"')
        if version.replaces and version.replaces not in versions:
            problems.append(
                f'version "{version.name}" replaces unknown version'
                f' "{version.replaces}"'
            )
    _check_keys(accounts, problems)
    _check_idempotence(classes, problems)


def _check_keys(accounts, problems):
    seen = {}
    for account in accounts.values():
        other = seen.setdefault(account.key_sha256, account.name)
        if other != account.name:
            problems.append(
                f'accounts "{other}" and "{account.name}" have the same key'
            )


def _check_idempotence(classes, problems):
    for work_class in classes.values():
        if work_class.hedge and not work_class.idempotent:
            problems.append(
                f'class "{work_class.name}" may not hedge: it is not idempotent'
            )

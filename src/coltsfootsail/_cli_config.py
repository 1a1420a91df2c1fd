"""Commands that check, show and change the configuration."""

import dataclasses
import json
import typing

import cappa
import trio

from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _options
from coltsfootsail import _schema
from coltsfootsail import exceptions
from coltsfootsail.platform import config_changes
from coltsfootsail.platform import config_check
from coltsfootsail import sessions


@cappa.command(
    name="check",
    help="Check a configuration file.",
    description=(
        "Example: coltsfootsail config check new.json --against now.json. "
        "A JSON file is checked as the configuration of gateways: exit code "
        "0 without findings, 1 with warnings, 2 with errors."
    ),
)
@dataclasses.dataclass
class ConfigCheck:
    """Check a configuration document."""

    file: typing.Annotated[
        str, cappa.Arg(help="TOML file, or JSON file of gateways.")
    ]
    against: typing.Annotated[
        str,
        cappa.Arg(
            long="--against", help="JSON file with the version in force."
        ),
    ] = ""
    json: _options.Json = False

    def __call__(self):
        data = _read_bytes(self.file)
        if self.against or _is_of_gateways(self.file, data):
            return _check_gateways(data, self.against, self.json)
        document = read_document(self.file)
        count = len(document.adapters)
        value = {"ok": True, "adapters": count}
        _options.show(value, self.json, [f"{self.file}: ok, {count} adapters"])
        return _options.EXIT_OK


def _is_of_gateways(path, data):
    return path.endswith(".json") or data.lstrip().startswith(b"{")


def _read_bytes(path):
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        problem = _schema.Problem(path, str(exc), "a readable file")
        raise exceptions.DocumentError([problem]) from exc


def _check_gateways(data, against, as_json):
    """Check a configuration of gateways, and print what differs.

    :param data: bytes of the new configuration.
    :param against: name of the file with the one in force, empty for none.
    :returns: the exit code.
    """
    in_force, findings = None, []
    if against:
        old_data = _read_bytes(against)
        in_force, _ = config_check.load(old_data)
        # The version in force may have warnings that the new one removes.
        findings = [
            dataclasses.replace(each, place=f"{against}: {each.place}")
            for each in config_check.check(old_data)
            if each.level == "error"
        ]
    findings += config_check.check(data, in_force)
    levels = {each.level for each in findings}
    changes = []
    if against and "error" not in levels:
        new, _ = config_check.load(data)
        changes = list(config_changes.list_changes(in_force, new))
    value = {
        "findings": [dataclasses.asdict(each) for each in findings],
        "changes": [dataclasses.asdict(each) for each in changes],
    }
    _options.show(value, as_json, _check_lines(findings, changes))
    if "error" in levels:
        return _options.EXIT_USAGE
    return _options.EXIT_FAILED if levels else _options.EXIT_OK


def _check_lines(findings, changes):
    for each in findings:
        yield f"{each.level}: {each.place or 'document'}: {each.text}"
    for each in changes:
        values = f": {each.old or '-'} -> {each.new or '-'}"
        shown = values if each.kind == "changed" else ""
        yield f"{each.kind}: {each.place}{shown}"
    if not findings:
        yield "ok"


def read_document(path):
    """Read a configuration document from a TOML file.

    :raises DocumentError: with all problems, if it is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return _document.loads(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        problem = _schema.Problem(path, str(exc), "a readable file")
        raise exceptions.DocumentError([problem]) from exc


def _plain_operations(operations):
    from coltsfootsail import _admin

    return [_admin.operation_to_plain(operation) for operation in operations]


def _session(command):
    return sessions.Session(admin_address=command.admin, token=command.token)


@cappa.command(
    name="apply",
    help="Replace the configuration by that of a file.",
    description="Example: coltsfootsail config apply shop.toml --dry-run",
)
@dataclasses.dataclass
class ConfigApply:
    """Replace the configuration by a document."""

    file: typing.Annotated[str, cappa.Arg(help="TOML file.")]
    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    operator: _options.Operator = ""
    team: _options.Team = ""
    dry_run: _options.DryRun = False
    json: _options.Json = False

    def __call__(self):
        new = read_document(self.file)
        return trio.run(self._run, new)

    async def _run(self, new):
        session = _session(self)
        _, old = await session.config()
        operations = _config.difference(old, new)
        return await _send_edit(session, self, operations)


async def _send_edit(session, command, operations):
    if not operations:
        _options.show({"changed": 0}, command.json, ["nothing to change"])
        return _options.EXIT_OK
    revision = await session.edit(
        _plain_operations(operations),
        command.operator,
        command.team,
        command.dry_run,
    )
    value = {"revision": revision, "changed": len(operations)}
    text = "would change" if command.dry_run else "changed"
    line = f"{text} {len(operations)} entries, revision {revision}"
    _options.show(value, command.json, [line])
    return _options.EXIT_OK


@cappa.command(name="show", help="Show the configuration in force.")
@dataclasses.dataclass
class ConfigShow:
    """Show the configuration in force."""

    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    json: _options.Json = False

    def __call__(self):
        revision, document = trio.run(_session(self).config)
        value = {
            "revision": revision,
            "document": _schema.unstructure(document),
        }
        text = f"# revision {revision}\n{_document.dumps(document)}"
        _options.show(value, self.json, [text])
        return _options.EXIT_OK


@cappa.command(name="history", help="Show the history of accepted changes.")
@dataclasses.dataclass
class ConfigHistory:
    """Show the history of accepted changes."""

    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    json: _options.Json = False

    def __call__(self):
        value = trio.run(_session(self).admin, "GET", "/config/history")
        lines = [
            f"{change['revision']} {change['when']} "
            f"{change['operator'] or '-'}/{change['team'] or '-'} "
            f"{len(change['operations'])} entries"
            for change in value["changes"]
        ]
        _options.show(value, self.json, lines)
        return _options.EXIT_OK


@cappa.command(
    name="set",
    help="Change fields of one entry.",
    description=(
        "Example: coltsfootsail config set adapters/gift-note-0001 pin=v1. "
        "It creates the entry if there is none; --delete removes it."
    ),
)
@dataclasses.dataclass
class ConfigSet:
    """Change, create or delete one entry."""

    entry: typing.Annotated[str, cappa.Arg(help="Entry as section/key.")]
    fields: typing.Annotated[
        list[str],
        cappa.Arg(help="Fields as name=value, the value as JSON or text."),
    ] = dataclasses.field(default_factory=list)
    delete: typing.Annotated[
        bool, cappa.Arg(long="--delete", help="Remove the entry.")
    ] = False
    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    operator: _options.Operator = ""
    team: _options.Team = ""
    dry_run: _options.DryRun = False
    json: _options.Json = False

    def __call__(self):
        return trio.run(self._run)

    async def _run(self):
        session = _session(self)
        section, _, key = self.entry.partition("/")
        if section not in _document.SECTIONS or not key:
            expected = "section/key, sections " + ", ".join(_document.SECTIONS)
            problem = _schema.Problem("entry", repr(self.entry), expected)
            raise exceptions.DocumentError([problem])
        _, document = await session.config()
        old = getattr(document, section).get(key)
        new = None if self.delete else self._changed_entry(section, key, old)
        operation = _config.make_operation(section, key, old, new)
        return await _send_edit(session, self, [operation])

    def _changed_entry(self, section, key, old):
        value = _schema.unstructure(old) if old is not None else {}
        for field in self.fields:
            name, _, text = field.partition("=")
            value[name] = _parse_value(text)
        entry, problems = _schema.structure(value, _document.SECTIONS[section])
        if problems:
            raise exceptions.DocumentError(problems)
        return entry


def _parse_value(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


@cappa.command(
    name="wait", help="Wait until a revision is in force on all live nodes."
)
@dataclasses.dataclass
class ConfigWait:
    """Wait until a revision is in force on all live nodes."""

    revision: typing.Annotated[int, cappa.Arg(help="Revision to wait for.")]
    timeout_s: typing.Annotated[
        float, cappa.Arg(long="--timeout-s", help="Most seconds to wait.")
    ] = 9.0
    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    json: _options.Json = False

    def __call__(self):
        session = _session(self)
        revisions = trio.run(session.wait, self.revision, self.timeout_s)
        line = f"revision {self.revision} in force on {len(revisions)} nodes"
        _options.show(revisions, self.json, [line])
        return _options.EXIT_OK


@cappa.command(name="config", help="Check, show and change the configuration.")
@dataclasses.dataclass
class ConfigCommand:
    """Commands that check, show and change the configuration."""

    command: cappa.Subcommands[
        ConfigCheck
        | ConfigApply
        | ConfigShow
        | ConfigHistory
        | ConfigSet
        | ConfigWait
    ]

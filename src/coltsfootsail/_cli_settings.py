"""Commands on the settings of one process."""

import dataclasses
import typing

import cappa

from coltsfootsail import _options
from coltsfootsail import _settings
from coltsfootsail import exceptions

File = typing.Annotated[str, cappa.Arg(help="TOML file of settings.")]


@cappa.command(name="check", help="Check a settings file.")
@dataclasses.dataclass
class SettingsCheck:
    """Check settings; each mistake is printed with its key."""

    file: File

    def __call__(self):
        _settings.load(self.file)
        print(f"{self.file}: ok")
        return _options.EXIT_OK


@cappa.command(
    name="show",
    help="Show all settings in force under a file.",
    description="Example: coltsfootsail settings show entry-0.toml",
)
@dataclasses.dataclass
class SettingsShow:
    """Show values, those of the file and the defaults."""

    file: File
    json: _options.Json = False

    def __call__(self):
        rows = _settings.describe(_settings.load(self.file))
        value = {row.key: row.value for row in rows}
        _options.show(value, self.json, map(_value_line, rows))
        return _options.EXIT_OK


def _value_line(row):
    changed = "" if row.value == row.default else "  # not the default"
    return f"{row.key} = {row.value!r}{changed}"


@cappa.command(
    name="explain",
    help="Say what settings mean.",
    description="Example: coltsfootsail settings explain lease",
)
@dataclasses.dataclass
class SettingsExplain:
    """Explain one setting, a section or all."""

    key: typing.Annotated[
        str, cappa.Arg(help="A key, or the beginning of keys.")
    ] = ""
    json: _options.Json = False

    def __call__(self):
        rows = [
            row for row in _settings.describe() if row.key.startswith(self.key)
        ]
        if not rows:
            raise exceptions.BadField(f"no setting begins with {self.key!r}")
        value = [dataclasses.asdict(row) for row in rows]
        _options.show(value, self.json, map(_meaning_line, rows))
        return _options.EXIT_OK


def _meaning_line(row):
    default = "required" if row.default is None else f"{row.default!r}"
    return f"{row.key} ({row.type}, {default}): {row.text}"


@cappa.command(name="settings", help="Check, show and explain settings.")
@dataclasses.dataclass
class SettingsCommand:
    """Commands on settings."""

    command: cappa.Subcommands[SettingsCheck | SettingsShow | SettingsExplain]

"""Commands that check, show and explain the settings of a node."""

import dataclasses
import typing

import cappa

from coltsfootsail import _options
from coltsfootsail import _settings
from coltsfootsail import exceptions

File = typing.Annotated[str, cappa.Arg(help="TOML file with the settings.")]


@cappa.command(name="check", help="Check a settings file.")
@dataclasses.dataclass
class SettingsCheck:
    """Check settings and print each problem with its key."""

    file: File

    def __call__(self):
        _settings.load(self.file)
        print(f"{self.file}: ok")
        return _options.EXIT_OK


@cappa.command(
    name="show",
    help="Show all settings with the values that a file gives them.",
    description="Example: coltsfootsail settings show entry-0.toml",
)
@dataclasses.dataclass
class SettingsShow:
    """Show the values of the file, and defaults for all other settings."""

    file: File
    json: _options.Json = False

    def __call__(self):
        rows = _settings.describe(_settings.load(self.file))
        value = {row.key: row.value for row in rows}
        _options.show(value, self.json, map(_value_line, rows))
        return _options.EXIT_OK


def _value_line(row):
    marker = "" if row.value == row.default else "  # not the default"
    return f"{row.key} = {row.value!r}{marker}"


@cappa.command(
    name="explain",
    help="Explain what settings mean.",
    description="Example: coltsfootsail settings explain lease",
)
@dataclasses.dataclass
class SettingsExplain:
    """Explain a setting, a section or all settings."""

    key: typing.Annotated[str, cappa.Arg(help="Key, or prefix of keys.")] = ""
    json: _options.Json = False

    def __call__(self):
        rows = [
            row for row in _settings.describe() if row.key.startswith(self.key)
        ]
        if not rows:
            raise exceptions.BadField(
                f"no setting's key begins with {self.key!r}"
            )
        value = [dataclasses.asdict(row) for row in rows]
        _options.show(value, self.json, map(_meaning_line, rows))
        return _options.EXIT_OK


def _meaning_line(row):
    default = "required" if row.default is None else f"{row.default!r}"
    return f"{row.key} ({row.type}, {default}): {row.text}"


@cappa.command(name="settings", help="Check, show and explain settings.")
@dataclasses.dataclass
class SettingsCommand:
    """Commands that check, show and explain settings."""

    command: cappa.Subcommands[SettingsCheck | SettingsShow | SettingsExplain]

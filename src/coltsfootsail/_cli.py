"""The command line: the daemon, the demo and the clients."""

import contextlib
import dataclasses
import json
import sys
import typing

import cappa
import trio

from coltsfootsail import _config
from coltsfootsail import _daemon
from coltsfootsail import _document
from coltsfootsail import _schema
from coltsfootsail import _settings
from coltsfootsail import exceptions
from coltsfootsail import sessions

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
EXIT_CONFLICT = 6
DEFAULT_ADDRESS = "127.0.0.1:8080"
DEFAULT_ADMIN = "127.0.0.1:8081"

Json = typing.Annotated[
    bool, cappa.Arg(long="--json", help="Print JSON for programs.")
]
Address = typing.Annotated[
    str, cappa.Arg(long="--address", help="A node's caller address.")
]
AdminAddress = typing.Annotated[
    str, cappa.Arg(long="--admin", help="A node's admin address.")
]
Token = typing.Annotated[
    str, cappa.Arg(long="--token", help="Operator's token.")
]
Operator = typing.Annotated[
    str, cappa.Arg(long="--operator", help="Who makes the change.")
]
Team = typing.Annotated[str, cappa.Arg(long="--team", help="For which team.")]
DryRun = typing.Annotated[
    bool, cappa.Arg(long="--dry-run", help="Check, but change nothing.")
]


def _print(value, as_json, lines):
    """Print a value as JSON, or the lines made for people."""
    if as_json:
        print(json.dumps(value, ensure_ascii=False, sort_keys=True))
        return
    for line in lines:
        print(line)


def _exit_code(exc):
    for kind, code in _EXIT_CODES:
        if isinstance(exc, kind):
            return code
    by_outcome = {
        exceptions.Outcome.NOT_RUN: EXIT_NOT_RUN,
        exceptions.Outcome.UNKNOWN: EXIT_UNKNOWN,
    }
    return by_outcome.get(exc.outcome, EXIT_FAILED)


_EXIT_CODES = (
    (exceptions.SettingsError, EXIT_USAGE),
    (exceptions.EditConflict, EXIT_CONFLICT),
    (exceptions.EndpointUnreachable, EXIT_UNREACHABLE),
)


@cappa.command(
    name="node",
    help="Run a node of the system.",
    description="Example: coltsfootsail node --settings entry-0.toml",
)
@dataclasses.dataclass
class NodeCommand:
    """Run a node."""

    settings: typing.Annotated[
        str, cappa.Arg(long="--settings", help="TOML file of settings.")
    ]
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="Only check the settings.")
    ] = False

    def __call__(self):
        if self.check:
            _settings.load(self.settings)
            print(f"{self.settings}: ok")
            return EXIT_OK
        return _daemon.run(self.settings)


@cappa.command(
    name="demo",
    help="Run a whole deployment on loopback, in one process.",
    description="Example: coltsfootsail demo --deployment registry --once",
)
@dataclasses.dataclass
class DemoCommand:
    """Run the demo."""

    deployment: typing.Annotated[
        str, cappa.Arg(long="--deployment", help="museum or registry.")
    ] = "museum"
    once: typing.Annotated[
        bool, cappa.Arg(long="--once", help="Send a sample and stop.")
    ] = False
    json: Json = False

    def __call__(self):
        from coltsfootsail import _demo

        if not self.once:
            with contextlib.suppress(KeyboardInterrupt):
                trio.run(_demo.run_forever, self.deployment, self._announce)
            return EXIT_OK
        report = trio.run(_demo.run_once, self.deployment)
        print(json.dumps(report, ensure_ascii=False, sort_keys=True))
        return EXIT_OK if report["ok"] else EXIT_FAILED

    def _announce(self, value):
        lines = [
            f"deployment {value['deployment']} is ready",
            f"sample: {value['sample']['right']}",
            f"callers: {' '.join(value['callers'])}",
            f"admin: {value['admin']}",
            "stop with Ctrl-C",
        ]
        _print(value, self.json, lines)
        sys.stdout.flush()


@cappa.command(
    name="route",
    help="Ask which addresses to use.",
    description="Example: coltsfootsail route gift-note-0001@v2",
)
@dataclasses.dataclass
class RouteCommand:
    """Ask for addresses."""

    model: typing.Annotated[str, cappa.Arg(help="A model name.")] = ""
    address: Address = DEFAULT_ADDRESS
    json: Json = False

    def __call__(self):
        session = sessions.Session(self.address)
        route = trio.run(session.route, self.model)
        value = dataclasses.asdict(route)
        _print(value, self.json, route.addresses)
        return EXIT_OK


@cappa.command(
    name="complete",
    help="Stream a completion to the terminal.",
    description='Example: coltsfootsail complete gift-note-0001 "For Aki."',
)
@dataclasses.dataclass
class CompleteCommand:
    """Stream a completion."""

    model: typing.Annotated[str, cappa.Arg(help="adapter@version.")]
    prompt: typing.Annotated[str, cappa.Arg(help="The prompt.")]
    max_tokens: typing.Annotated[
        int, cappa.Arg(long="--max-tokens", help="Longest answer.")
    ] = 64
    address: Address = DEFAULT_ADDRESS
    json: Json = False

    def __call__(self):
        return trio.run(self._run)

    async def _run(self):
        session = sessions.Session(self.address)
        events = session.complete(self.model, self.prompt, self.max_tokens)
        parts, model = [], ""
        async with contextlib.aclosing(events):
            async for event in events:
                model = event.model
                parts.append(event.text)
                if not self.json:
                    print(event.text, end="", flush=True)
        value = {
            "model": model,
            "text": "".join(parts),
            "events": len(parts),
        }
        _print(value, self.json, ["", f"[{model}, {len(parts)} events]"])
        return EXIT_OK


@cappa.command(
    name="status",
    help="Show what a node does and sees.",
    description="Example: coltsfootsail status --admin 127.0.0.1:8081",
)
@dataclasses.dataclass
class StatusCommand:
    """Show a node's status."""

    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    json: Json = False

    def __call__(self):
        session = sessions.Session(admin_address=self.admin, token=self.token)
        value = trio.run(session.status)
        _print(value, self.json, _status_lines(value))
        return EXIT_OK


def _status_lines(value):
    yield (
        f"{value['node']} in {value['data_centre']}: {value['state']}, "
        f"revision {value['revision']}, {value['requests']} requests, "
        f"KV {'up' if value['kv_ok'] else 'down'}"
    )
    yield f"members: {', '.join(value['members'])}"
    for name, endpoint in value["endpoints"].items():
        yield (
            f"owns {name}: {endpoint['running']} running, "
            f"{endpoint['waiting']} waiting, "
            f"{len(endpoint['resident'])} adapters"
        )
    for counter, counts in value["counters"].items():
        for reason, count in counts.items():
            yield f"{counter}{{{reason}}} {count}"


@cappa.command(name="check", help="Check a document file.")
@dataclasses.dataclass
class ConfigCheck:
    """Check a document."""

    file: typing.Annotated[str, cappa.Arg(help="TOML file.")]
    json: Json = False

    def __call__(self):
        document = read_document(self.file)
        count = len(document.adapters)
        value = {"ok": True, "adapters": count}
        _print(value, self.json, [f"{self.file}: ok, {count} adapters"])
        return EXIT_OK


def read_document(path):
    """Read a document from a TOML file.

    :raises DocumentError: with every problem found.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return _document.loads(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        problem = _schema.Problem(path, str(exc), "a readable file")
        raise exceptions.DocumentError([problem]) from exc


def _plain_operations(operations):
    from coltsfootsail import _admin

    return [_admin.operation_to_plain(item) for item in operations]


def _session(command):
    return sessions.Session(admin_address=command.admin, token=command.token)


@cappa.command(
    name="apply",
    help="Make a document file the configuration.",
    description="Example: coltsfootsail config apply shop.toml --wait 9",
)
@dataclasses.dataclass
class ConfigApply:
    """Apply a document."""

    file: typing.Annotated[str, cappa.Arg(help="TOML file.")]
    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    operator: Operator = ""
    team: Team = ""
    dry_run: DryRun = False
    json: Json = False

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
        _print({"changed": 0}, command.json, ["nothing to change"])
        return EXIT_OK
    revision = await session.edit(
        _plain_operations(operations),
        command.operator,
        command.team,
        command.dry_run,
    )
    value = {"revision": revision, "changed": len(operations)}
    text = "would change" if command.dry_run else "changed"
    line = f"{text} {len(operations)} entries, revision {revision}"
    _print(value, command.json, [line])
    return EXIT_OK


@cappa.command(name="show", help="Show the configuration in force.")
@dataclasses.dataclass
class ConfigShow:
    """Show the document."""

    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    json: Json = False

    def __call__(self):
        revision, document = trio.run(_session(self).config)
        value = {
            "revision": revision,
            "document": _schema.unstructure(document),
        }
        text = f"# revision {revision}\n{_document.dumps(document)}"
        _print(value, self.json, [text])
        return EXIT_OK


@cappa.command(name="history", help="Show the accepted changes.")
@dataclasses.dataclass
class ConfigHistory:
    """Show the history."""

    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    json: Json = False

    def __call__(self):
        value = trio.run(_session(self).admin, "GET", "/config/history")
        lines = [
            f"{change['revision']} {change['when']} "
            f"{change['operator'] or '-'}/{change['team'] or '-'} "
            f"{len(change['operations'])} entries"
            for change in value["changes"]
        ]
        _print(value, self.json, lines)
        return EXIT_OK


@cappa.command(
    name="set",
    help="Change fields of one entry.",
    description=(
        "Example: coltsfootsail config set adapters/gift-note-0001 pin=v1. "
        "A new entry is made if there is none; --delete removes it."
    ),
)
@dataclasses.dataclass
class ConfigSet:
    """Change one entry."""

    entry: typing.Annotated[str, cappa.Arg(help="section/key.")]
    fields: typing.Annotated[
        list[str], cappa.Arg(help="name=value, value as JSON or text.")
    ] = dataclasses.field(default_factory=list)
    delete: typing.Annotated[
        bool, cappa.Arg(long="--delete", help="Remove the entry.")
    ] = False
    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    operator: Operator = ""
    team: Team = ""
    dry_run: DryRun = False
    json: Json = False

    def __call__(self):
        return trio.run(self._run)

    async def _run(self):
        session = _session(self)
        section, _, key = self.entry.partition("/")
        if section not in _document.SECTIONS or not key:
            known = "section/key, sections " + ", ".join(_document.SECTIONS)
            problem = _schema.Problem("entry", repr(self.entry), known)
            raise exceptions.DocumentError([problem])
        _, document = await session.config()
        old = getattr(document, section).get(key)
        new = None if self.delete else self._changed(section, key, old)
        operation = _config.make_operation(section, key, old, new)
        return await _send_edit(session, self, [operation])

    def _changed(self, section, key, old):
        value = _schema.unstructure(old) if old is not None else {}
        for field in self.fields:
            name, _, text = field.partition("=")
            value[name] = _value(text)
        entry, problems = _schema.structure(value, _document.SECTIONS[section])
        if problems:
            raise exceptions.DocumentError(problems)
        return entry


def _value(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


@cappa.command(
    name="wait", help="Wait until a revision is in force on all live nodes."
)
@dataclasses.dataclass
class ConfigWait:
    """Wait for a revision."""

    revision: typing.Annotated[int, cappa.Arg(help="The revision.")]
    timeout_s: typing.Annotated[
        float, cappa.Arg(long="--timeout-s", help="Longest wait.")
    ] = 9.0
    admin: AdminAddress = DEFAULT_ADMIN
    token: Token = ""
    json: Json = False

    def __call__(self):
        session = _session(self)
        found = trio.run(session.wait, self.revision, self.timeout_s)
        line = f"revision {self.revision} in force on {len(found)} nodes"
        _print(found, self.json, [line])
        return EXIT_OK


@cappa.command(name="config", help="Check, show and change configuration.")
@dataclasses.dataclass
class ConfigCommand:
    """Commands on the configuration."""

    command: cappa.Subcommands[
        ConfigCheck
        | ConfigApply
        | ConfigShow
        | ConfigHistory
        | ConfigSet
        | ConfigWait
    ]


@cappa.command(
    name="policy",
    help="Replay a trace under the policy, its baselines and bounds.",
    description=(
        "Example: coltsfootsail bench policy --deployment museum "
        "--scenario night --policy all --seed 1 --json"
    ),
)
@dataclasses.dataclass
class BenchPolicy:
    """Replay a scenario."""

    deployment: typing.Annotated[
        str, cappa.Arg(long="--deployment", help="museum or registry.")
    ] = "museum"
    policy: typing.Annotated[
        str, cappa.Arg(long="--policy", help="A policy's name, or all.")
    ] = "all"
    scenario: typing.Annotated[
        str, cappa.Arg(long="--scenario", help="A scenario's name.")
    ] = "day"
    seed: typing.Annotated[
        int, cappa.Arg(long="--seed", help="Seed of the trace.")
    ] = 1
    plot: typing.Annotated[
        str, cappa.Arg(long="--plot", help="PNG file to draw.")
    ] = ""
    json: Json = False

    def __call__(self):
        from coltsfootsail import _bench

        result = _bench.run(
            self.deployment, self.policy, self.seed, self.scenario
        )
        if self.plot:
            _bench.plot(result, self.plot)
        if self.json:
            print(_bench.to_json(result))
        else:
            print("\n".join(_bench.lines(result)))
        return EXIT_OK


@cappa.command(
    name="relay", help="Measure what a node adds to a stream of tokens."
)
@dataclasses.dataclass
class BenchRelay:
    """Measure the relay."""

    json: Json = False

    def __call__(self):
        from coltsfootsail import _bench_relay

        result = _bench_relay.run()
        _print(result, self.json, _bench_relay.lines(result))
        return EXIT_OK


@cappa.command(
    name="capacity", help="Measure slopes of memory, CPU and bytes."
)
@dataclasses.dataclass
class BenchCapacity:
    """Measure slopes."""

    json: Json = False

    def __call__(self):
        from coltsfootsail import _bench_capacity

        result = _bench_capacity.run()
        _print(result, self.json, _bench_capacity.lines(result))
        return EXIT_OK


@cappa.command(name="bench", help="Measure the policy, size and relay.")
@dataclasses.dataclass
class BenchCommand:
    """Measurements."""

    command: cappa.Subcommands[BenchPolicy | BenchRelay | BenchCapacity]


@cappa.command(
    name="explain",
    help="Follow a request through the logs of any number of nodes.",
    description=(
        "Example: coltsfootsail explain 9c41d07be2a35f68 n1.log n2.log; "
        "coltsfootsail explain --why refused n1.log"
    ),
)
@dataclasses.dataclass
class ExplainCommand:
    """Explain a request or a set of requests."""

    words: typing.Annotated[
        list[str],
        cappa.Arg(help="A request id, then files; standard input by default."),
    ] = dataclasses.field(default_factory=list)
    why: typing.Annotated[
        str, cappa.Arg(long="--why", help="refused, late or failed.")
    ] = ""
    json: Json = False

    def __call__(self):
        from coltsfootsail import _explain

        paths = self.words if self.why else self.words[1:]
        with contextlib.ExitStack() as stack:
            files = [
                stack.enter_context(open(path, encoding="utf-8"))
                for path in paths
            ]
            lines = _explain.read(files or [sys.stdin])
        if self.why:
            return self._summarise(_explain, lines)
        return self._follow(_explain, lines)

    def _summarise(self, explain, lines):
        if self.why not in explain.SETS:
            raise exceptions.BadField(
                f"--why: one of {', '.join(explain.SETS)}"
            )
        found = explain.summary(lines, self.why)
        _print(found, self.json, _summary_lines(found))
        return EXIT_OK

    def _follow(self, explain, lines):
        request_id = self.words[0] if self.words else ""
        try:
            found = list(explain.way(lines, request_id))
        except KeyError:
            raise exceptions.BadField(
                f"no line names request {request_id!r}"
            ) from None
        _print({"id": request_id, "way": found}, self.json, found)
        return EXIT_OK


def _summary_lines(found):
    for aspect, counts in found.items():
        yield f"{aspect}:"
        for value, count in counts:
            yield f"  {count:6} {value}"


@cappa.command(
    name="coltsfootsail",
    help="A serving layer for very many LoRA adapters.",
)
@dataclasses.dataclass
class Main:
    """The program."""

    command: cappa.Subcommands[
        NodeCommand
        | DemoCommand
        | RouteCommand
        | CompleteCommand
        | StatusCommand
        | ConfigCommand
        | ExplainCommand
        | BenchCommand
    ]


def run(argv=None):
    """Run the command line.

    :param argv: arguments; those of the process by default.
    :returns: the exit code.
    """
    command = cappa.parse(Main, argv=argv).command
    while not callable(command):
        command = command.command
    try:
        return command()
    except exceptions.ColtsfootsailError as exc:
        _daemon.report(exc)
        return _exit_code(exc)

"""The command line: runs nodes, the demo and the client commands."""

import contextlib
import dataclasses
import functools
import json
import os
import sys
import time
import typing

import cappa
import trio

from coltsfootsail import _cli_bench
from coltsfootsail import _cli_config
from coltsfootsail import _cli_logs
from coltsfootsail import _cli_settings
from coltsfootsail import _daemon
from coltsfootsail import _options
from coltsfootsail import _settings
from coltsfootsail import exceptions
from coltsfootsail import sessions


def _exit_code(exc):
    for exception_class, code in _EXIT_CODES:
        if isinstance(exc, exception_class):
            return code
    by_outcome = {
        exceptions.Outcome.NOT_RUN: _options.EXIT_NOT_RUN,
        exceptions.Outcome.UNKNOWN: _options.EXIT_UNKNOWN,
    }
    return by_outcome.get(exc.outcome, _options.EXIT_FAILED)


_EXIT_CODES = (
    (exceptions.SettingsError, _options.EXIT_USAGE),
    (exceptions.EditConflict, _options.EXIT_CONFLICT),
    (exceptions.EndpointUnreachable, _options.EXIT_UNREACHABLE),
)


@cappa.command(
    name="node",
    help="Run a node until it is stopped.",
    description="Example: coltsfootsail node --settings entry-0.toml",
)
@dataclasses.dataclass
class NodeCommand:
    """Run a node."""

    settings: typing.Annotated[
        str, cappa.Arg(long="--settings", help="TOML file with the settings.")
    ]
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False

    def __call__(self):
        if self.check:
            _settings.load(self.settings)
            print(f"{self.settings}: ok")
            return _options.EXIT_OK
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
        str,
        cappa.Arg(long="--deployment", help="museum, registry or platform."),
    ] = "museum"
    once: typing.Annotated[
        bool, cappa.Arg(long="--once", help="Send sample requests and exit.")
    ] = False
    json: _options.Json = False

    def __call__(self):
        run_once, run_forever = self._run_functions()
        if not self.once:
            self._print([f"starting deployment {self.deployment}"])
            with contextlib.suppress(KeyboardInterrupt):
                trio.run(run_forever, self._announce)
            return _options.EXIT_OK
        report = trio.run(run_once)
        print(json.dumps(report, ensure_ascii=False, sort_keys=True))
        ok = report["ok"]
        return _options.EXIT_OK if ok else _options.EXIT_FAILED

    def _run_functions(self):
        """Choose the functions that run the deployment.

        :returns: tuple of the function that runs it once and the one that
            runs it until interrupted.
        """
        from coltsfootsail import _demo
        from coltsfootsail import _demo_gateways

        if self.deployment == _demo_gateways.NAME:
            return _demo_gateways.run_once, _demo_gateways.run_forever
        return (
            functools.partial(_demo.run_once, self.deployment),
            functools.partial(_demo.run_forever, self.deployment),
        )

    def _print(self, lines):
        """Print lines for people at once."""
        if not self.json:
            print(*lines, sep="\n", flush=True)

    def _announce(self, value):
        """Print the addresses, and the sample's result once it is there."""
        if "sample" not in value:
            self._print(
                [
                    f"callers: {' '.join(value['callers'])}",
                    f"admin: {value['admin']}",
                ]
            )
            return
        lines = [
            f"deployment {value['deployment']} is ready",
            f"sample: {value['sample']['right']}",
            "stop with Ctrl-C",
        ]
        _options.show(value, self.json, lines)
        sys.stdout.flush()


@cappa.command(
    name="route",
    help="Show the node addresses to use for a model.",
    description="Example: coltsfootsail route gift-note-0001@v2",
)
@dataclasses.dataclass
class RouteCommand:
    """Show the node addresses to use for a model."""

    model: typing.Annotated[str, cappa.Arg(help="Model name.")] = ""
    address: _options.Address = _options.DEFAULT_ADDRESS
    json: _options.Json = False

    def __call__(self):
        session = sessions.Session(self.address)
        route = trio.run(session.route, self.model)
        value = dataclasses.asdict(route)
        _options.show(value, self.json, route.addresses)
        return _options.EXIT_OK


@cappa.command(
    name="complete",
    help="Stream a completion to the terminal.",
    description='Example: coltsfootsail complete gift-note-0001 "For Aki."',
)
@dataclasses.dataclass
class CompleteCommand:
    """Stream a completion to the terminal."""

    model: typing.Annotated[str, cappa.Arg(help="Model as adapter@version.")]
    prompt: typing.Annotated[str, cappa.Arg(help="The prompt.")]
    max_tokens: typing.Annotated[
        int, cappa.Arg(long="--max-tokens", help="Most tokens to generate.")
    ] = 64
    address: _options.Address = _options.DEFAULT_ADDRESS
    json: _options.Json = False

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
        _options.show(
            value, self.json, ["", f"[{model}, {len(parts)} events]"]
        )
        return _options.EXIT_OK


@cappa.command(
    name="status",
    help="Show the status of a node.",
    description=(
        "Example: coltsfootsail status --admin 127.0.0.1:8081 --watch 2. "
        "For a gateway, --admin is its ready address."
    ),
)
@dataclasses.dataclass
class StatusCommand:
    """Show the status of a node once or repeatedly."""

    admin: _options.AdminAddress = _options.DEFAULT_ADMIN
    token: _options.Token = ""
    watch: typing.Annotated[
        float,
        cappa.Arg(
            long="--watch", help="Seconds between updates; 0 shows one."
        ),
    ] = 0.0
    json: _options.Json = False

    def __call__(self):
        self._show()
        with contextlib.suppress(KeyboardInterrupt):
            while self.watch > 0:
                time.sleep(self.watch)
                self._show()
        return _options.EXIT_OK

    def _show(self):
        session = sessions.Session(admin_address=self.admin, token=self.token)
        value = trio.run(session.status)
        _options.show(value, self.json, _status_lines(value))
        sys.stdout.flush()


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
    for gauge, levels in value.get("gauges", {}).items():
        for label, level in levels.items():
            yield f"{gauge}{{{label}}} {level:g}"
    for name, bound_s in value.get("quantiles", {}).items():
        yield f"{name} 95 in 100 within {bound_s:g}"


@cappa.command(
    name="coltsfootsail",
    help="A serving layer for very many LoRA adapters.",
)
@dataclasses.dataclass
class Main:
    """The command line of the program."""

    command: cappa.Subcommands[
        NodeCommand
        | DemoCommand
        | RouteCommand
        | CompleteCommand
        | StatusCommand
        | _cli_config.ConfigCommand
        | _cli_settings.SettingsCommand
        | _cli_logs.ExplainCommand
        | _cli_logs.ReportCommand
        | _cli_bench.BenchCommand
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
        code = command()
        sys.stdout.flush()
        return code
    except BrokenPipeError:
        # The reader closed the pipe.  Python flushes standard output again
        # at exit, which would fail and print a traceback.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _options.EXIT_FAILED
    except exceptions.ColtsfootsailError as exc:
        _daemon.print_error(exc)
        return _exit_code(exc)

"""Runs one node as a daemon: settings, signals and exit code."""

import signal
import sys

import trio

from coltsfootsail import _logs
from coltsfootsail import _settings
from coltsfootsail import exceptions

EXIT_OK = 0
EXIT_SETTINGS = 2
GATEWAY_CONNECT_TIMEOUT_S = 0.4  # all hosts are in one region
GATEWAY_UNACKED_TIMEOUT_MS = 2000


def print_error(exc):
    """Print an error to standard error, one line for each problem."""
    if isinstance(exc, exceptions.SettingsError):
        for problem in exc.problems:
            print(f"{exc.code}: {problem}", file=sys.stderr)
        return
    text = f"{exc.code} ({exc.outcome}): {exc.detail}"
    print(text, file=sys.stderr)


def run(path, hangups=()):
    """Run a node until SIGTERM or SIGINT has drained it.

    :param path: the settings file.
    :param hangups: list that has an item for each SIGHUP before.
    :returns: the exit code.
    """
    try:
        settings = _settings.load(path)
    except exceptions.SettingsError as exc:
        print_error(exc)
        return EXIT_SETTINGS
    if settings.gateway.ready_address:
        _logs.configure_pipe(sys.stdout.fileno())
        node = _make_gateway(settings)
        trio.run(_run_until_signal, node, path, hangups)
        return EXIT_OK
    _logs.configure()
    trio.run(_run_until_signal, _make_node(settings), path, hangups)
    return EXIT_OK


def _make_gateway(settings):
    from coltsfootsail import _gateway
    from coltsfootsail import _net

    network = _net.tcp_network(
        GATEWAY_CONNECT_TIMEOUT_S, GATEWAY_UNACKED_TIMEOUT_MS
    )
    return _gateway.Gateway(settings, network)


def _make_node(settings):
    from coltsfootsail import _net
    from coltsfootsail import _node

    return _node.Node(settings, _net.tcp_network())


async def _run_until_signal(node, path, hangups):
    with trio.open_signal_receiver(*_SIGNALS) as signals:
        if hangups:
            _reload(node, path)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, node, path, nursery)
            await node.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(signals, node, path, nursery):
    """Reload the settings on SIGHUP; drain on the first other signal.

    Signals are read until the end: those left over would end the process.
    """
    is_draining = False
    async for signum in signals:
        if signum == signal.SIGHUP:
            _reload(node, path)
        elif not is_draining:
            is_draining = True
            nursery.start_soon(node.drain)


def _reload(node, path):
    """Apply changed settings; after an error, those before stay in force."""
    try:
        node.reload(_settings.load(path))
    except exceptions.SettingsError as exc:
        problems = [str(problem) for problem in exc.problems]
        _logs.state("settings_refused", path=path, problems=problems)
    except Exception as exc:
        _logs.failure("reload_failed", exc, path=path)


_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

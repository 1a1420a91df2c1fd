"""Tests of the command line, run as real processes on loopback.

``COLTSFOOTSAIL_PROGRAM`` names another build to test, such as
``python3 -I -S dist/coltsfootsail``.
"""

import dataclasses
import json
import os
import pathlib
import shlex
import signal
import subprocess
import sys

import pytest
import tomli_w
import trio

from coltsfootsail import _document
from coltsfootsail import _embedded
from coltsfootsail import _schema

PROGRAM = shlex.split(
    os.environ.get(
        "COLTSFOOTSAIL_PROGRAM", f"{sys.executable} -m coltsfootsail"
    )
)
TIMEOUT_S = 300.0


def _run(*arguments):
    """Run the program.

    :returns: tuple of exit code, standard output and standard error.
    """
    process = subprocess.run(
        [*PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    return process.returncode, process.stdout, process.stderr


async def _run_in_thread(*arguments):
    return await trio.to_thread.run_sync(_run, *arguments)


@pytest.fixture
def run_with_deployment(small_deployment):
    """Return a function that runs a test beside a small deployment."""

    def run(main, hosts=2):
        async def body():
            system = _embedded.on_loopback(
                small_deployment("museum", hosts=hosts, engines=2)
            )
            with trio.fail_after(TIMEOUT_S):
                async with system.running():
                    await main(system)

        trio.run(body)

    return run


def test_help_names_every_command():
    code, text, _ = _run("--help")
    assert code == 0
    for name in ("node", "demo", "route", "complete", "status", "config"):
        assert name in text


@pytest.mark.parametrize("name", ["museum", "registry", "platform"])
def test_demo_answers_sample_requests_and_exits_0(name):
    code, text, errors = _run("demo", "--deployment", name, "--once")
    assert code == 0, errors
    report = json.loads(text)
    assert report["ok"]
    assert report["deployment"] == name


def test_bad_settings_are_all_reported_with_exit_code_2(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('[node]\nname = 3\nrack = "x"\n[lease]\nttl_s = "a"\n')
    for arguments in (("--check",), ()):
        code, _, errors = _run("node", "--settings", str(path), *arguments)
        assert code == 2
        for part in ("node.name", "node.rack", "lease.ttl_s", "found 3"):
            assert part in errors


def test_bad_document_is_reported_by_path(tmp_path):
    path = tmp_path / "shop.toml"
    path.write_text('[adapters.a]\nbase="b"\nversions=["v1"]\npin="v2"\n')
    code, _, errors = _run("config", "check", str(path))
    assert code == 2
    assert "adapters.a.pin" in errors


def test_unreachable_node_has_its_own_exit_code():
    code, _, errors = _run("status", "--admin", "127.0.0.1:1")
    assert code == 5
    assert "endpoint_unreachable" in errors


def test_route_and_complete_work_against_a_node(run_with_deployment):
    async def main(system):
        address = system.caller_address("entry-0")
        code, text, errors = await _run_in_thread(
            "route", "gift-note-0001", "--address", address, "--json"
        )
        assert code == 0, errors
        assert json.loads(text)["addresses"]
        code, text, errors = await _run_in_thread(
            *("complete", "gift-note-0001@v1", "For Aki."),
            *("--max-tokens", "3", "--address", address),
        )
        assert code == 0, errors
        assert "gift-note-0001@v1|For Aki.|2" in text
        code, _, errors = await _run_in_thread(
            "complete", "none", "x", "--address", address
        )
        assert code == 3
        assert "unknown_adapter (not_run)" in errors

    run_with_deployment(main)


def test_config_commands_change_wait_and_show_history(
    run_with_deployment, tmp_path
):
    async def main(system):
        admin = ("--admin", system.admin_address("entry-0"))
        operator = ("--operator", "op", "--team", "storefront")
        entry = "adapters/gift-note-0001"
        code, text, errors = await _run_in_thread(
            "config", "set", entry, "pin=v1", *admin, *operator, "--json"
        )
        assert code == 0, errors
        assert json.loads(text) == {"changed": 1, "revision": 2}
        code, text, errors = await _run_in_thread(
            "config", "wait", "2", *admin, "--json"
        )
        assert code == 0, errors
        assert json.loads(text) == {"entry-0": 2, "entry-1": 2}
        code, text, _ = await _run_in_thread("config", "history", *admin)
        assert "op/storefront 1 entries" in text
        path = tmp_path / "shop.toml"
        document = system.nodes["entry-0"].document()
        adapters = dict(document.adapters)
        del adapters["gift-note-0002"]
        new = dataclasses.replace(document, adapters=adapters)
        path.write_text(_document.dumps(new))
        dry_run = await _run_in_thread(
            "config", "apply", str(path), *admin, "--dry-run"
        )
        assert dry_run[0] == 0
        assert "would change 1" in dry_run[1]
        code, text, errors = await _run_in_thread(
            "config", "apply", str(path), *admin
        )
        assert code == 0, errors
        code, text, _ = await _run_in_thread("config", "show", *admin)
        assert text.startswith("# revision 3")
        assert _document.loads(text) == new
        code, _, errors = await _run_in_thread(
            "config", "set", "adapters/gift-note-0003", "pin=v9", *admin
        )
        assert code == 2
        assert "adapters.gift-note-0003.pin" in errors
        code, text, _ = await _run_in_thread("status", *admin)
        assert (code, "revision 3" in text) == (0, True)

    run_with_deployment(main)


def _write_settings(system, host, path):
    plain = _schema.unstructure(system.settings(host))
    path.write_text(tomli_w.dumps(plain))
    return str(path)


async def _wait_ready(system, host):
    with trio.fail_after(TIMEOUT_S):
        while True:
            try:
                status, _ = await system.client.call_json(
                    system.caller_address(host), "GET", "/readyz"
                )
            except OSError:
                status = 0
            if status == 200:
                return
            await trio.sleep(0.1)


async def _complete(system, host, model, tokens):
    value = {"model": model, "prompt": "x", "max_tokens": tokens}
    with trio.fail_after(TIMEOUT_S):
        while True:
            status, answer = await system.client.call_json(
                system.caller_address(host),
                "POST",
                "/v1/completions",
                value,
                timeout_s=TIMEOUT_S,
                fresh=True,
            )
            if status == 200:
                return answer
            assert answer["error"]["outcome"] == "not_run", answer
            await trio.sleep(0.2)


def _child_pids(pid):
    return [
        entry.name
        for entry in pathlib.Path("/proc").iterdir()
        if entry.name.isdecimal() and f"PPid:\t{pid}\n" in _read_status(entry)
    ]


def _read_status(entry):
    try:
        return (entry / "status").read_text()
    except OSError:
        return ""


def test_nodes_as_processes_serve_after_a_kill_and_drain(
    small_deployment, tmp_path
):
    """Kills one of two node processes, then stops the other with SIGTERM.

    The other must continue to serve after the kill, and must finish a
    running request before it exits.
    """
    system = _embedded.on_loopback(
        small_deployment("museum", hosts=2, engines=1), token_s=0.02
    )

    async def main():
        async with trio.open_nursery() as nursery:
            await system.start_standins(nursery)
            await system.store_document()
            processes = {}
            for host in system.hosts:
                path = tmp_path / f"{host}.toml"
                settings_path = _write_settings(system, host, path)
                command = [*PROGRAM, "node", "--settings", settings_path]
                processes[host] = await nursery.start(
                    _start_process, command, tmp_path / f"{host}.log"
                )
            for host in system.hosts:
                await _wait_ready(system, host)
            model = "gift-note-0001@v1"
            answer = await _complete(system, "entry-0", model, 3)
            assert answer["model"] == model
            for process in processes.values():
                assert _child_pids(process.pid) == []
            processes["entry-1"].kill()
            await trio.sleep(20.0)
            await _complete(system, "entry-0", model, 3)
            answers = []

            async def complete_long_request():
                answers.append(await _complete(system, "entry-0", model, 150))

            async with trio.open_nursery() as request_nursery:
                request_nursery.start_soon(complete_long_request)
                await trio.sleep(0.5)
                processes["entry-0"].send_signal(signal.SIGTERM)
            assert len(answers) == 1
            with trio.fail_after(TIMEOUT_S):
                assert await processes["entry-0"].wait() == 0
            nursery.cancel_scope.cancel()

    trio.run(main)
    lines = (tmp_path / "entry-0.log").read_text().splitlines()
    events = [json.loads(line)["message"] for line in lines]
    assert events[0] == "node_started"
    assert events[-2:] == ["node_draining", "node_stopped"]


async def _start_process(command, log, task_status):
    """Run a program; kill it when the task ends."""
    async with await trio.open_file(log, "wb") as file:
        process = await trio.lowlevel.open_process(
            command, stderr=file.wrapped
        )
        task_status.started(process)
        try:
            await process.wait()
        finally:
            process.kill()


def test_closed_output_pipe_causes_no_traceback():
    reader, writer = os.pipe()
    os.close(reader)
    command = [*PROGRAM, "settings", "explain"]
    process = subprocess.run(
        command,
        stdout=writer,
        stderr=subprocess.PIPE,
        timeout=TIMEOUT_S,
        check=False,
    )
    os.close(writer)
    assert (process.returncode, process.stderr) == (1, b"")

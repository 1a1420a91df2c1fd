"""The program as users run it: real processes on loopback.

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
LIMIT_S = 300.0


def _run(*arguments):
    """Run the program; return exit code, output and errors."""
    done = subprocess.run(
        [*PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


async def _run_beside(*arguments):
    return await trio.to_thread.run_sync(_run, *arguments)


@pytest.fixture
def deployed(small_deployment):
    """Run a function beside a small deployment on loopback."""

    def run(main, hosts=2):
        async def body():
            system = _embedded.on_loopback(
                small_deployment("museum", hosts=hosts, engines=2)
            )
            with trio.fail_after(LIMIT_S):
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
def test_demo_answers_the_mix_and_exits_0(name):
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


def test_a_bad_document_is_reported_by_path(tmp_path):
    path = tmp_path / "shop.toml"
    path.write_text('[adapters.a]\nbase="b"\nversions=["v1"]\npin="v2"\n')
    code, _, errors = _run("config", "check", str(path))
    assert code == 2
    assert "adapters.a.pin" in errors


def test_an_unreachable_node_has_its_own_exit_code():
    code, _, errors = _run("status", "--admin", "127.0.0.1:1")
    assert code == 5
    assert "endpoint_unreachable" in errors


def test_a_newcomer_asks_for_an_address_and_streams(deployed):
    async def main(system):
        address = system.caller_address("entry-0")
        code, text, errors = await _run_beside(
            "route", "gift-note-0001", "--address", address, "--json"
        )
        assert code == 0, errors
        assert json.loads(text)["addresses"]
        code, text, errors = await _run_beside(
            *("complete", "gift-note-0001@v1", "For Aki."),
            *("--max-tokens", "3", "--address", address),
        )
        assert code == 0, errors
        assert "gift-note-0001@v1|For Aki.|2" in text
        code, _, errors = await _run_beside(
            "complete", "none", "x", "--address", address
        )
        assert code == 3
        assert "unknown_adapter (not_run)" in errors

    deployed(main)


def test_an_operator_changes_waits_and_sees_history(deployed, tmp_path):
    async def main(system):
        admin = ("--admin", system.admin_address("entry-0"))
        who = ("--operator", "op", "--team", "storefront")
        entry = "adapters/gift-note-0001"
        code, text, errors = await _run_beside(
            "config", "set", entry, "pin=v1", *admin, *who, "--json"
        )
        assert code == 0, errors
        assert json.loads(text) == {"changed": 1, "revision": 2}
        code, text, errors = await _run_beside(
            "config", "wait", "2", *admin, "--json"
        )
        assert code == 0, errors
        assert json.loads(text) == {"entry-0": 2, "entry-1": 2}
        code, text, _ = await _run_beside("config", "history", *admin)
        assert "op/storefront 1 entries" in text
        path = tmp_path / "shop.toml"
        document = system.nodes["entry-0"].document()
        changed = dict(document.adapters)
        del changed["gift-note-0002"]
        new = dataclasses.replace(document, adapters=changed)
        path.write_text(_document.dumps(new))
        dry = await _run_beside(
            "config", "apply", str(path), *admin, "--dry-run"
        )
        assert dry[0] == 0
        assert "would change 1" in dry[1]
        code, text, errors = await _run_beside(
            "config", "apply", str(path), *admin
        )
        assert code == 0, errors
        code, text, _ = await _run_beside("config", "show", *admin)
        assert text.startswith("# revision 3")
        assert _document.loads(text) == new
        code, _, errors = await _run_beside(
            "config", "set", "adapters/gift-note-0003", "pin=v9", *admin
        )
        assert code == 2
        assert "adapters.gift-note-0003.pin" in errors
        code, text, _ = await _run_beside("status", *admin)
        assert (code, "revision 3" in text) == (0, True)

    deployed(main)


def _write_settings(system, host, path):
    plain = _schema.unstructure(system.settings(host))
    path.write_text(tomli_w.dumps(plain))
    return str(path)


async def _ready(system, host):
    with trio.fail_after(LIMIT_S):
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
    with trio.fail_after(LIMIT_S):
        while True:
            status, answer = await system.client.call_json(
                system.caller_address(host),
                "POST",
                "/v1/completions",
                value,
                timeout_s=LIMIT_S,
                fresh=True,
            )
            if status == 200:
                return answer
            assert answer["error"]["outcome"] == "not_run", answer
            await trio.sleep(0.2)


def _children(pid):
    return [
        entry.name
        for entry in pathlib.Path("/proc").iterdir()
        if entry.name.isdecimal() and f"PPid:\t{pid}\n" in _status_of(entry)
    ]


def _status_of(entry):
    try:
        return (entry / "status").read_text()
    except OSError:
        return ""


def test_nodes_as_processes_serve_survive_a_kill_and_drain(
    small_deployment, tmp_path
):
    """Two processes; one is killed, the other is told to stop."""
    system = _embedded.on_loopback(
        small_deployment("museum", hosts=2, engines=1), token_s=0.02
    )

    async def main():
        async with trio.open_nursery() as nursery:
            await system.start_standins(nursery)
            await system.store_document()
            running = {}
            for host in system.hosts:
                path = tmp_path / f"{host}.toml"
                arguments = _write_settings(system, host, path)
                command = [*PROGRAM, "node", "--settings", arguments]
                running[host] = await nursery.start(
                    _start_process, command, tmp_path / f"{host}.log"
                )
            for host in system.hosts:
                await _ready(system, host)
            model = "gift-note-0001@v1"
            answer = await _complete(system, "entry-0", model, 3)
            assert answer["model"] == model
            for process in running.values():
                assert _children(process.pid) == []
            running["entry-1"].kill()
            await trio.sleep(20.0)
            await _complete(system, "entry-0", model, 3)
            finished = []

            async def long_one():
                finished.append(await _complete(system, "entry-0", model, 150))

            async with trio.open_nursery() as callers:
                callers.start_soon(long_one)
                await trio.sleep(0.5)
                running["entry-0"].send_signal(signal.SIGTERM)
            assert len(finished) == 1
            with trio.fail_after(LIMIT_S):
                assert await running["entry-0"].wait() == 0
            nursery.cancel_scope.cancel()

    trio.run(main)
    lines = (tmp_path / "entry-0.log").read_text().splitlines()
    events = [json.loads(line)["message"] for line in lines]
    assert events[0] == "node_started"
    assert events[-2:] == ["node_draining", "node_stopped"]


async def _start_process(command, log, task_status):
    """Run a program for as long as the task runs."""
    async with await trio.open_file(log, "wb") as file:
        process = await trio.lowlevel.open_process(
            command, stderr=file.wrapped
        )
        task_status.started(process)
        try:
            await process.wait()
        finally:
            process.kill()


def test_reader_that_leaves_gets_no_traceback():
    reader, writer = os.pipe()
    os.close(reader)
    command = [*PROGRAM, "settings", "explain"]
    done = subprocess.run(
        command,
        stdout=writer,
        stderr=subprocess.PIPE,
        timeout=LIMIT_S,
        check=False,
    )
    os.close(writer)
    assert (done.returncode, done.stderr) == (1, b"")

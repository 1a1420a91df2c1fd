"""The demo: a deployment on loopback, and a sample of its traffic."""

import collections
import contextlib
import json
import uuid

import trio

from coltsfootsail import _deployment
from coltsfootsail import _embedded
from coltsfootsail.standins import engine

ADAPTERS_PER_GROUP = 4
REQUESTS_PER_ADAPTER = 3
CALLS_PER_KIND = 6
CALL_TIMEOUT_S = 60.0


class Tally:
    """Counts of checked answers by kind and of what was wrong."""

    def __init__(self):
        self.right = collections.Counter()
        self.wrong = collections.Counter()

    def note(self, kind, problem):
        """Count an answer; ``problem`` is empty if it is right."""
        if problem:
            self.wrong[f"{kind}: {problem}"] += 1
        else:
            self.right[kind] += 1

    def report(self, deployment, nodes):
        """Summarise as plain data."""
        return {
            "deployment": deployment,
            "nodes": nodes,
            "right": dict(sorted(self.right.items())),
            "wrong": dict(sorted(self.wrong.items())),
            "ok": not self.wrong and bool(self.right),
        }


def read_completion(status, body, stream):
    """Read model, text and wholeness of an answer.

    :returns: tuple of model and text, or None if it is not whole.
    """
    if status != 200:
        return None
    if not stream:
        value = json.loads(body)
        return value["model"], value["choices"][0]["text"]
    events = body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        return None
    values = [json.loads(item.removeprefix("data: ")) for item in events[:-2]]
    if any("error" in value for value in values):
        return None
    models = {value["model"] for value in values}
    text = "".join(value["choices"][0]["text"] for value in values)
    return (models.pop(), text) if len(models) == 1 else None


def check_completion(answer, adapter, prompt, tokens):
    """Compare an answer with what the stand-in engine must give.

    :returns: the problem, empty if there is none.
    """
    if answer is None:
        return "not whole"
    model, text = answer
    if model != adapter:
        return "wrong adapter or version"
    if text != engine.expected_text(adapter, prompt, tokens):
        return "text of another request"
    return ""


async def _one_completion(system, group, name, number, tally):
    version = ("v1", "v2")[number % 2]
    adapter = f"{name}@{version}"
    prompt = f"{group.prompt} [{uuid.uuid4().hex}]"
    value = {
        "model": adapter,
        "prompt": prompt,
        "max_tokens": group.tokens,
        "stream": group.stream,
    }
    address = system.caller_address(_host(system, name, number))
    try:
        _, route = await system.client.call_json(
            address, "GET", f"/v1/route?model={adapter}"
        )
        status, _, body = await system.client.call(
            (route["addresses"] or [address])[number % 2],
            "POST",
            "/v1/completions",
            body=json.dumps(value, ensure_ascii=False).encode(),
            timeout_s=CALL_TIMEOUT_S,
        )
        answer = read_completion(status, body, group.stream)
        problem = check_completion(answer, adapter, prompt, group.tokens)
    except OSError as exc:
        problem = f"no answer: {exc}"
    tally.note(group.prefix, problem)


def _host(system, name, number):
    hosts = list(system.hosts)
    return hosts[(sum(name.encode()) + number) % len(hosts)]


async def _one_call(system, call, number, tally):
    host = list(system.hosts)[number % len(system.hosts)]
    key = str(uuid.uuid4())
    body = call.body.encode()
    repeats = 2 if call.method == "POST" else 1
    problem = ""
    try:
        for _ in range(repeats):
            status, _, answer = await system.client.call(
                system.caller_address(host),
                call.method,
                call.path,
                headers=[("idempotency-key", key)],
                body=body,
                timeout_s=CALL_TIMEOUT_S,
            )
            if status != 200 or json.loads(answer)["echo"] != call.body:
                problem = f"status {status}"
        runs = sum(item.runs[key] for item in system.services.values())
        rest = call.path.removeprefix(system.deployment.service_prefix)
        once = rest not in system.deployment.idempotent_paths
        if once and call.method == "POST" and runs != 1:
            problem = f"ran {runs} times"
    except OSError as exc:
        problem = f"no answer: {exc}"
    tally.note(f"{call.method} {call.path}", problem)


async def send_sample(system):
    """Send a sample of a deployment's mix and check every answer.

    :param system: a running ``Embedded``.
    :returns: a ``Tally``.
    """
    tally = Tally()
    async with trio.open_nursery() as nursery:
        for group in system.deployment.groups:
            for name in _deployment.adapter_names(group)[:ADAPTERS_PER_GROUP]:
                for number in range(REQUESTS_PER_ADAPTER):
                    nursery.start_soon(
                        _one_completion, system, group, name, number, tally
                    )
        for call in system.deployment.calls:
            for number in range(CALLS_PER_KIND):
                nursery.start_soon(_one_call, system, call, number, tally)
    return tally


async def run_once(name):
    """Run a deployment, send the sample and stop.

    :param name: the deployment's name.
    :returns: the report as plain data.
    """
    system = _embedded.on_loopback(_deployment.load(name))
    async with system.running():
        tally = await send_sample(system)
    return tally.report(name, len(system.hosts))


async def run_forever(name, announce):
    """Run a deployment until interrupted.

    :param announce: called with a dict of addresses once it is ready.
    """
    system = _embedded.on_loopback(_deployment.load(name))
    async with system.running():
        tally = await send_sample(system)
        first = next(iter(system.hosts))
        announce(
            {
                "deployment": name,
                "callers": [system.caller_address(h) for h in system.hosts],
                "admin": system.admin_address(first),
                "kv": system.addresses["kv"],
                "sample": tally.report(name, len(system.hosts)),
            }
        )
        with contextlib.suppress(KeyboardInterrupt):
            await trio.sleep_forever()

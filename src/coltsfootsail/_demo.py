"""The demo: runs a deployment on loopback and sends sample traffic to it."""

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
REPEATS_PER_CALL = 6
CALL_TIMEOUT_S = 60.0


class Tally:
    """Counts correct answers by request type, and wrong ones by problem."""

    def __init__(self):
        self.right = collections.Counter()
        self.wrong = collections.Counter()

    def add(self, label, problem):
        """Count an answer.

        :param label: the type of request.
        :param problem: what is wrong with the answer; empty if nothing.
        """
        if problem:
            self.wrong[f"{label}: {problem}"] += 1
        else:
            self.right[label] += 1

    def report(self, deployment, nodes):
        """Create the report that ``demo --once`` prints as JSON.

        :param nodes: number of nodes.
        """
        return {
            "deployment": deployment,
            "nodes": nodes,
            "right": dict(sorted(self.right.items())),
            "wrong": dict(sorted(self.wrong.items())),
            "ok": not self.wrong and bool(self.right),
        }


def read_completion(status, body, stream):
    """Parse the answer to a completion request.

    :param stream: whether the body is a stream of server-sent events.
    :returns: tuple of model and text, or None if the answer is an error
        or incomplete.
    """
    if status != 200:
        return None
    if not stream:
        value = json.loads(body)
        return value["model"], value["choices"][0]["text"]
    events = body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        return None
    values = [
        json.loads(event.removeprefix("data: ")) for event in events[:-2]
    ]
    if any("error" in value for value in values):
        return None
    models = {value["model"] for value in values}
    text = "".join(value["choices"][0]["text"] for value in values)
    return (models.pop(), text) if len(models) == 1 else None


def check_completion(answer, adapter, prompt, tokens):
    """Compare an answer with the text that the stand-in engine generates.

    :param answer: result of ``read_completion``.
    :returns: the problem, empty if there is none.
    """
    if answer is None:
        return "error or incomplete answer"
    model, text = answer
    if model != adapter:
        return "wrong adapter or version"
    if text != engine.expected_text(adapter, prompt, tokens):
        return "text of another request"
    return ""


async def _send_completion(system, group, name, number, tally):
    version = ("v1", "v2")[number % 2]
    adapter = f"{name}@{version}"
    prompt = f"{group.prompt} [{uuid.uuid4().hex}]"
    value = {
        "model": adapter,
        "prompt": prompt,
        "max_tokens": group.tokens,
        "stream": group.stream,
    }
    address = system.caller_address(_host_for_request(system, name, number))
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
    tally.add(group.prefix, problem)


def _host_for_request(system, name, number):
    hosts = list(system.hosts)
    return hosts[(sum(name.encode()) + number) % len(hosts)]


async def _send_call(system, call, number, tally):
    """Send a call, and a POST once more with the same idempotency key.

    Two POSTs with one key must run only once.
    """
    host = list(system.hosts)[number % len(system.hosts)]
    idempotency_key = str(uuid.uuid4())
    body = call.body.encode()
    attempts = 2 if call.method == "POST" else 1
    problem = ""
    try:
        for _ in range(attempts):
            status, _, answer = await system.client.call(
                system.caller_address(host),
                call.method,
                call.path,
                headers=[("idempotency-key", idempotency_key)],
                body=body,
                timeout_s=CALL_TIMEOUT_S,
            )
            if status != 200 or json.loads(answer)["echo"] != call.body:
                problem = f"status {status}"
        runs = sum(
            service.runs[idempotency_key]
            for service in system.services.values()
        )
        path = call.path.removeprefix(system.deployment.service_prefix)
        must_run_once = path not in system.deployment.idempotent_paths
        if must_run_once and call.method == "POST" and runs != 1:
            problem = f"ran {runs} times"
    except OSError as exc:
        problem = f"no answer: {exc}"
    tally.add(f"{call.method} {call.path}", problem)


async def send_sample(system):
    """Send a sample of a deployment's traffic and check every answer.

    :param system: a running ``Embedded``.
    :returns: a ``Tally``.
    """
    tally = Tally()
    async with trio.open_nursery() as nursery:
        for group in system.deployment.groups:
            for name in _deployment.adapter_names(group)[:ADAPTERS_PER_GROUP]:
                for number in range(REQUESTS_PER_ADAPTER):
                    nursery.start_soon(
                        _send_completion, system, group, name, number, tally
                    )
        for call in system.deployment.calls:
            for number in range(REPEATS_PER_CALL):
                nursery.start_soon(_send_call, system, call, number, tally)
    return tally


async def run_once(name):
    """Run a deployment, send the sample and stop.

    :param name: the deployment's name.
    :returns: the report, see ``Tally.report``.
    """
    system = _embedded.on_loopback(_deployment.load(name))
    async with system.running():
        tally = await send_sample(system)
    return tally.report(name, len(system.hosts))


async def run_forever(name, announce):
    """Run a deployment until interrupted.

    :param name: the deployment's name.
    :param announce: called with a dict of addresses, and again with the
        report on the sample once it is sent.
    """
    system = _embedded.on_loopback(_deployment.load(name))
    async with system.running():
        first_host = next(iter(system.hosts))
        addresses = {
            "deployment": name,
            "callers": [system.caller_address(host) for host in system.hosts],
            "admin": system.admin_address(first_host),
            "kv": system.addresses["kv"],
        }
        announce(addresses)
        tally = await send_sample(system)
        report = tally.report(name, len(system.hosts))
        announce({**addresses, "sample": report})
        with contextlib.suppress(KeyboardInterrupt):
            await trio.sleep_forever()

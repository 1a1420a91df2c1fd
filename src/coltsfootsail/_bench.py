"""The policy bench: replays a trace under policies and compares them."""

import json
import statistics

from coltsfootsail import _deployment
from coltsfootsail import _policies
from coltsfootsail import _replay
from coltsfootsail import _schema
from coltsfootsail import _trace
from coltsfootsail import exceptions

PEERS_PER_NODE = 8  # each gets a message for every load and eviction


def percentile(values, share):
    """Compute a percentile by nearest rank.

    :param values: sorted list.
    :param share: 0 to 1.
    """
    if not values:
        return 0.0
    position = min(len(values) - 1, int(share * len(values)))
    return values[position]


def _summarise_class(replay, requests):
    """Summarise the waits of one priority class.

    A request that was not served counts with its wait until the end.
    """
    end_s = replay.now_s
    load_stalls, first_token_waits, oldest_s, unserved = [], [], 0.0, 0
    for req in requests:
        at_s = req.arrival.at_s
        adapter_ready_s = (
            end_s if req.adapter_ready_s is None else req.adapter_ready_s
        )
        start_s = end_s if req.start_s is None else req.start_s
        load_stalls.append(adapter_ready_s - at_s)
        first_token_waits.append(start_s - at_s)
        unserved += req.start_s is None
        oldest_s = max(oldest_s, start_s - at_s)
    load_stalls.sort()
    first_token_waits.sort()
    return {
        "requests": len(requests),
        "unserved": unserved,
        "load_stall_mean_s": round(statistics.fmean(load_stalls), 4),
        "load_stall_p50_s": round(percentile(load_stalls, 0.50), 4),
        "load_stall_p95_s": round(percentile(load_stalls, 0.95), 4),
        "load_stall_p99_s": round(percentile(load_stalls, 0.99), 4),
        "first_token_p95_s": round(percentile(first_token_waits, 0.95), 4),
        "oldest_wait_s": round(oldest_s, 3),
    }


def _fairness(replay):
    """Jain's index of the teams' served shares; 1 is even.

    Source: Jain, Chiu and Hawe, DEC-TR-301, 1984.
    """
    requested, served = {}, {}
    for req in replay.measured_requests():
        team = req.arrival.team
        requested[team] = requested.get(team, 0) + 1
        served[team] = served.get(team, 0) + (req.start_s is not None)
    shares = [served[team] / requested[team] for team in sorted(requested)]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def summarise(replay, deployment):
    """Summarise a replay.

    Without fencing, each eviction needs a read and a write of a record in
    the KV store before the order goes to the engine.

    :returns: plain data.
    """
    by_class = {}
    for req in replay.measured_requests():
        by_class.setdefault(req.arrival.priority_class, []).append(req)
    fenced = deployment.engine_fencing
    changes = replay.loads + replay.evictions
    return {
        "classes": {
            class_name: _summarise_class(replay, by_class[class_name])
            for class_name in sorted(by_class)
        },
        "batch_efficiency": round(replay.batch_efficiency, 4),
        "batch_occupancy": round(replay.batch_occupancy, 4),
        "loads": replay.loads,
        "evictions": replay.evictions,
        "refused": dict(replay.refused),
        "fairness": round(_fairness(replay), 4),
        "kv_calls_per_s": round(
            0 if fenced else 2 * replay.evictions / replay.now_s, 3
        ),
        "peer_messages_per_s": round(
            changes * PEERS_PER_NODE / replay.now_s, 3
        ),
        "decision_steps_per_request": round(
            sum(item.scheduler.steps for item in replay.engines)
            / max(1, len(replay.requests)),
            2,
        ),
    }


def _check_name(key, name, known):
    if name not in known:
        problem = _schema.Problem(key, repr(name), ", ".join(known))
        raise exceptions.SettingsError([problem])


def run(deployment_name, policy_name, seed, scenario_name="day"):
    """Replay a scenario under one policy or all.

    :param policy_name: a key of ``POLICY_FACTORIES``, or ``all``.
    :returns: the result as plain data.
    :raises SettingsError: if a name is not known.
    """
    deployment = _deployment.load(deployment_name)
    scenarios = _trace.scenarios(deployment)
    _check_name("scenario", scenario_name, scenarios)
    _check_name("policy", policy_name, [*_policies.POLICY_FACTORIES, "all"])
    scenario = scenarios[scenario_name]
    trace = _trace.make_trace(deployment, scenario, seed)
    policy_names = (
        list(_policies.POLICY_FACTORIES)
        if policy_name == "all"
        else [policy_name]
    )
    results = {}
    for name in policy_names:
        policy = _policies.POLICY_FACTORIES[name](deployment, trace, seed)
        replay = _replay.Replay(deployment, scenario, trace, policy, seed)
        results[name] = summarise(replay.run(), deployment)
    return {
        "deployment": deployment_name,
        "scenario": scenario_name,
        "seed": seed,
        "policies": results,
    }


def to_json(result):
    """Render a result as JSON; the same result gives the same text."""
    return json.dumps(result, sort_keys=True, indent=1)


def protected_class(deployment_name):
    """Return the name of a deployment's first protected class."""
    classes = _deployment.load(deployment_name).classes
    return next(name for name, kind in classes.items() if kind.protected)


def lines(result):
    """Render a result as text, with one line per policy."""
    class_name = protected_class(result["deployment"])
    yield (
        f"{result['deployment']}, {result['scenario']}, seed "
        f"{result['seed']}; load stall of class {class_name}, seconds"
    )
    for name, row in result["policies"].items():
        class_row = row["classes"][class_name]
        yield (
            f"{name:18} mean {class_row['load_stall_mean_s']:8.3f}"
            f"  p95 {class_row['load_stall_p95_s']:8.2f}"
            f"  batch efficiency {row['batch_efficiency']:.3f}"
            f"  loads {row['loads']}"
        )


def plot(result, path):
    """Draw a result; needs the optional extra ``plot``.

    :param path: image file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    class_name = protected_class(result["deployment"])
    names = list(result["policies"])
    rows = list(result["policies"].values())
    stalls = [row["classes"][class_name]["load_stall_p95_s"] for row in rows]
    shares = [row["batch_efficiency"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    left.barh(names, [max(stall, 0.01) for stall in stalls])
    left.set_xscale("log")
    left.set_xlabel(f"load stall p95 of {class_name}, seconds")
    right.barh(names, shares)
    right.set_xlim(0, 1)
    right.set_yticklabels([])
    right.set_xlabel("batch efficiency")
    figure.suptitle(
        f"{result['deployment']}, {result['scenario']}, seed {result['seed']}"
    )
    figure.tight_layout()
    figure.savefig(path)

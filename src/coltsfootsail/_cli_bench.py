"""Commands that run benchmarks."""

import dataclasses
import typing

import cappa

from coltsfootsail import _options


@cappa.command(
    name="policy",
    help="Replay a trace under the policy, its baselines and its bounds.",
    description=(
        "Example: coltsfootsail bench policy --deployment museum "
        "--scenario night --policy all --seed 1 --json"
    ),
)
@dataclasses.dataclass
class BenchPolicy:
    """Replay a scenario under one policy or all."""

    deployment: typing.Annotated[
        str, cappa.Arg(long="--deployment", help="museum or registry.")
    ] = "museum"
    policy: typing.Annotated[
        str, cappa.Arg(long="--policy", help="Name of a policy, or all.")
    ] = "all"
    scenario: typing.Annotated[
        str, cappa.Arg(long="--scenario", help="Name of a scenario.")
    ] = "day"
    seed: typing.Annotated[
        int, cappa.Arg(long="--seed", help="Random seed of the trace.")
    ] = 1
    plot: typing.Annotated[
        str, cappa.Arg(long="--plot", help="PNG file to draw.")
    ] = ""
    json: _options.Json = False

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
        return _options.EXIT_OK


@cappa.command(
    name="relay", help="Measure the overhead that a node adds to a stream."
)
@dataclasses.dataclass
class BenchRelay:
    """Measure the overhead of relaying streams."""

    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _bench_relay

        result = _bench_relay.run()
        _options.show(result, self.json, _bench_relay.lines(result))
        return _options.EXIT_OK


@cappa.command(
    name="capacity", help="Measure how memory, CPU and traffic grow with load."
)
@dataclasses.dataclass
class BenchCapacity:
    """Measure how resource use grows with load."""

    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _bench_capacity

        result = _bench_capacity.run()
        _options.show(result, self.json, _bench_capacity.lines(result))
        return _options.EXIT_OK


@cappa.command(
    name="admission",
    help="Run a load pattern against real gateways in virtual time.",
    description=(
        "Example: coltsfootsail bench admission --size shop --pattern wave "
        "--seed 1. The engines are simulated; the gateways run as in use."
    ),
)
@dataclasses.dataclass
class BenchAdmission:
    """Run a load pattern against gateways."""

    size: typing.Annotated[
        str,
        cappa.Arg(
            long="--size",
            help="shop, shop-grown, few-slots, fast, even or uneven.",
        ),
    ] = "shop"
    pattern: typing.Annotated[
        str,
        cappa.Arg(
            long="--pattern",
            help="Name of a pattern, such as quiet, wave, burst or rare.",
        ),
    ] = "quiet"
    seed: typing.Annotated[
        int, cappa.Arg(long="--seed", help="Random seed of the arrivals.")
    ] = 1
    length_s: typing.Annotated[
        float, cappa.Arg(long="--length-s", help="Length of the run.")
    ] = 40.0
    plot: typing.Annotated[
        str, cappa.Arg(long="--plot", help="PNG file to draw.")
    ] = ""
    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _bench_admission

        result = _bench_admission.run(
            self.size, self.pattern, self.seed, self.length_s
        )
        if self.plot:
            _bench_admission.plot(result, self.plot)
        lines = _bench_admission.lines(result)
        _options.show(result, self.json, lines)
        return _options.EXIT_OK


@cappa.command(
    name="bench", help="Run benchmarks of scheduling, capacity and relay."
)
@dataclasses.dataclass
class BenchCommand:
    """Benchmarks."""

    command: cappa.Subcommands[
        BenchPolicy | BenchAdmission | BenchRelay | BenchCapacity
    ]

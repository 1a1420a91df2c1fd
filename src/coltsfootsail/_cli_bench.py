"""Commands that measure."""

import dataclasses
import typing

import cappa

from coltsfootsail import _options


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
    name="relay", help="Measure what a node adds to a stream of tokens."
)
@dataclasses.dataclass
class BenchRelay:
    """Measure the relay."""

    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _bench_relay

        result = _bench_relay.run()
        _options.show(result, self.json, _bench_relay.lines(result))
        return _options.EXIT_OK


@cappa.command(
    name="capacity", help="Measure slopes of memory, CPU and bytes."
)
@dataclasses.dataclass
class BenchCapacity:
    """Measure slopes."""

    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _bench_capacity

        result = _bench_capacity.run()
        _options.show(result, self.json, _bench_capacity.lines(result))
        return _options.EXIT_OK


@cappa.command(
    name="admission",
    help="Play a load pattern against real gateways in virtual time.",
    description=(
        "Example: coltsfootsail bench admission --size shop --pattern wave "
        "--seed 1. The engines are modelled, everything else is as it runs."
    ),
)
@dataclasses.dataclass
class BenchAdmission:
    """Play a load pattern."""

    size: typing.Annotated[
        str,
        cappa.Arg(long="--size", help="shop, shop-grown or few-slots."),
    ] = "shop"
    pattern: typing.Annotated[
        str,
        cappa.Arg(
            long="--pattern",
            help="A pattern's name, such as quiet, wave, burst or rare.",
        ),
    ] = "quiet"
    seed: typing.Annotated[
        int, cappa.Arg(long="--seed", help="Seed of the arrivals.")
    ] = 1
    length_s: typing.Annotated[
        float, cappa.Arg(long="--length-s", help="Length of the day.")
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


@cappa.command(name="bench", help="Measure decisions, size and relay.")
@dataclasses.dataclass
class BenchCommand:
    """Measurements."""

    command: cappa.Subcommands[
        BenchPolicy | BenchAdmission | BenchRelay | BenchCapacity
    ]

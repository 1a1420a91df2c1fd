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


@cappa.command(name="bench", help="Measure the policy, size and relay.")
@dataclasses.dataclass
class BenchCommand:
    """Measurements."""

    command: cappa.Subcommands[BenchPolicy | BenchRelay | BenchCapacity]

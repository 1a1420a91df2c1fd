"""Commands that read logs."""

import contextlib
import dataclasses
import sys
import typing

import cappa

from coltsfootsail import _options
from coltsfootsail import exceptions


@cappa.command(
    name="explain",
    help="Follow a request through the logs of any number of nodes.",
    description=(
        "Example: coltsfootsail explain 9c41d07be2a35f68 n1.log n2.log; "
        "coltsfootsail explain --why refused n1.log"
    ),
)
@dataclasses.dataclass
class ExplainCommand:
    """Explain a request or a set of requests."""

    words: typing.Annotated[
        list[str],
        cappa.Arg(help="A request id, then files; standard input by default."),
    ] = dataclasses.field(default_factory=list)
    why: typing.Annotated[
        str, cappa.Arg(long="--why", help="refused, late or failed.")
    ] = ""
    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _explain

        paths = self.words if self.why else self.words[1:]
        with _opened(paths) as files:
            lines = _explain.read(files)
        if self.why:
            return self._summarise(_explain, lines)
        return self._follow(_explain, lines)

    def _summarise(self, explain, lines):
        if self.why not in explain.SETS:
            raise exceptions.BadField(
                f"--why: one of {', '.join(explain.SETS)}"
            )
        found = explain.summary(lines, self.why)
        _options.show(found, self.json, _summary_lines(found))
        return _options.EXIT_OK

    def _follow(self, explain, lines):
        request_id = self.words[0] if self.words else ""
        try:
            found = list(explain.way(lines, request_id))
        except KeyError:
            raise exceptions.BadField(
                f"no line names request {request_id!r}"
            ) from None
        _options.show({"id": request_id, "way": found}, self.json, found)
        return _options.EXIT_OK


def _summary_lines(found):
    for aspect, counts in found.items():
        yield f"{aspect}:"
        for value, count in counts:
            yield f"  {count:6} {value}"


@cappa.command(
    name="report",
    help="Draw a run's timeline from the logs of any number of nodes.",
    description=("Example: coltsfootsail report --plot day.png n1.log n2.log"),
)
@dataclasses.dataclass
class ReportCommand:
    """Count requests and refusals by time, beside changes of state."""

    files: typing.Annotated[
        list[str], cappa.Arg(help="Logs; standard input by default.")
    ] = dataclasses.field(default_factory=list)
    plot: typing.Annotated[
        str, cappa.Arg(long="--plot", help="PNG file to draw.")
    ] = ""
    step_s: typing.Annotated[
        float, cappa.Arg(long="--step-s", help="Length of a step.")
    ] = 1.0
    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _timeline

        if self.step_s <= 0:
            raise exceptions.BadField("--step-s: more than 0")
        try:
            with _opened(self.files) as files:
                found = _timeline.read(files, self.step_s)
        except ValueError as exc:
            raise exceptions.BadField(str(exc)) from None
        if self.plot:
            _timeline.plot(found, self.plot)
        value = dataclasses.asdict(found)
        _options.show(value, self.json, _timeline.describe(found))
        return _options.EXIT_OK


@contextlib.contextmanager
def _opened(paths):
    """Open log files, or standard input where none is named."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(open(path, encoding="utf-8")) for path in paths
        ] or [sys.stdin]

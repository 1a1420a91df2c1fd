"""Commands that analyse logs."""

import contextlib
import dataclasses
import sys
import typing

import cappa

from coltsfootsail import _options
from coltsfootsail import exceptions


@cappa.command(
    name="explain",
    help="Trace a request through the logs of one or more nodes.",
    description=(
        "Example: coltsfootsail explain 9c41d07be2a35f68 n1.log n2.log; "
        "coltsfootsail explain --why refused n1.log"
    ),
)
@dataclasses.dataclass
class ExplainCommand:
    """Trace a request, or summarize the requests with one kind of problem."""

    words: typing.Annotated[
        list[str],
        cappa.Arg(help="Request id and log files; standard input by default."),
    ] = dataclasses.field(default_factory=list)
    why: typing.Annotated[
        str,
        cappa.Arg(
            long="--why",
            help=(
                "Summarize all requests of a kind: refused, failed, late, "
                "unended (without an end in the logs) or error (in the code)."
            ),
        ),
    ] = ""
    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _explain

        paths = self.words if self.why else self.words[1:]
        with _open_logs(paths) as files:
            lines = _explain.read(files)
        if self.why:
            return self._print_summary(_explain, lines)
        return self._print_trace(_explain, lines)

    def _print_summary(self, explain, lines):
        if self.why not in explain.PROBLEM_FILTERS:
            raise exceptions.BadField(
                f"--why must be one of {', '.join(explain.PROBLEM_FILTERS)}"
            )
        summary = explain.summary(lines, self.why)
        _options.show(summary, self.json, _summary_lines(summary))
        return _options.EXIT_OK

    def _print_trace(self, explain, lines):
        request_id = self.words[0] if self.words else ""
        try:
            trace = list(explain.trace(lines, request_id))
        except KeyError:
            raise exceptions.BadField(
                f"no log line has request id {request_id!r}"
            ) from None
        _options.show({"id": request_id, "way": trace}, self.json, trace)
        return _options.EXIT_OK


def _summary_lines(summary):
    for aspect, counts in summary.items():
        yield f"{aspect}:"
        for value, count in counts:
            yield f"  {count:6} {value}"


@cappa.command(
    name="report",
    help="Show a timeline of requests and events from node logs.",
    description=("Example: coltsfootsail report --plot day.png n1.log n2.log"),
)
@dataclasses.dataclass
class ReportCommand:
    """Show requests and refusals over time beside the nodes' events."""

    files: typing.Annotated[
        list[str], cappa.Arg(help="Log files; standard input by default.")
    ] = dataclasses.field(default_factory=list)
    plot: typing.Annotated[
        str, cappa.Arg(long="--plot", help="PNG file to draw.")
    ] = ""
    step_s: typing.Annotated[
        float, cappa.Arg(long="--step-s", help="Seconds in one interval.")
    ] = 1.0
    json: _options.Json = False

    def __call__(self):
        from coltsfootsail import _timeline

        if self.step_s <= 0:
            raise exceptions.BadField("--step-s must be greater than 0")
        try:
            with _open_logs(self.files) as files:
                timeline = _timeline.read(files, self.step_s)
        except ValueError as exc:
            raise exceptions.BadField(str(exc)) from None
        if self.plot:
            _timeline.plot(timeline, self.plot)
        value = dataclasses.asdict(timeline)
        _options.show(value, self.json, _timeline.describe(timeline))
        return _options.EXIT_OK


@contextlib.contextmanager
def _open_logs(paths):
    """Open log files, or use standard input if no path is given."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(open(path, encoding="utf-8")) for path in paths
        ] or [sys.stdin]

"""Helpers for concurrent tasks."""

import contextlib
import functools

import trio

from coltsfootsail import _logs

LOOP_PAUSE_S = 1.0  # before a loop that has failed runs again


def call_contained(serves, count, work, *args, **about):
    """Call a function whose error ends nothing else.

    :param serves: what the call serves, such as ``view``.
    :param count: ``(counter, reason)``.
    :param work: callable with ``args``.
    :param about: fields of the log line of an error.
    :returns: whether it raised no error.
    """
    try:
        work(*args)
    except Exception as exc:
        count("task_errors", serves)
        _logs.failure("call_failed", exc, serves=serves, **about)
        return False
    return True


@contextlib.contextmanager
def contained(count, request_id, server=""):
    """Contain the errors of notes beside an answer; it goes on without them.

    Nothing that decides whether a request may be sent belongs here.

    :param count: ``(counter, reason)``.
    :param request_id: of the request that is answered, for the log.
    :param server: name of the server that the notes are about, if any.
    """
    try:
        yield
    except Exception as exc:
        _logs.failure("note_failed", exc, id=request_id, server=server)
        count("task_errors", "note")


async def run_contained(serves, count, work, *args):
    """Run a task whose error ends nothing else; log and count its error.

    :param serves: what the task serves, such as ``request`` or ``peer``.
    :param count: ``(counter, reason)``.
    :param work: ``async (*args)``.
    """
    try:
        await work(*args)
    except Exception as exc:
        count("task_errors", serves)
        _logs.failure("task_failed", exc, serves=serves)


async def run_again(serves, count, work, *args):
    """Run a loop until cancelled, and run it again after an error.

    :param serves: what the loop serves, such as ``lease``.
    :param count: ``(counter, reason)``.
    :param work: ``async (*args)``, without an end of its own.
    """
    while True:
        await run_contained(serves, count, work, *args)
        await trio.sleep(LOOP_PAUSE_S)


async def listen_contained(nursery, network, listeners, count):
    """Listen on addresses; an error ends its own connection alone.

    :param nursery: runs the listeners.
    :param network: a ``Network``.
    :param listeners: tuples of address, what its connections serve, and
        ``async (stream)``, which serves one.
    :param count: ``(counter, reason)``.
    """
    for address, serves, serve in listeners:
        handle = functools.partial(run_contained, serves, count, serve)
        await nursery.start(network.serve, address, handle)


class TaskGroup:
    """Tasks that each serve one request, one peer or one server.

    An error of a task is logged and counted, and ends no other task.  Tasks
    that are started before the group is open begin when it is opened; those
    that are started after its end are dropped, since nothing needs them.

    :param serves: what each task serves.
    :param count: ``(counter, reason)``.
    """

    def __init__(self, serves, count):
        self._serves = serves
        self._count = count
        self._nursery = None
        self._early = []
        self._has_ended = False

    def start_soon(self, work, *args):
        """Start a task.

        :param work: ``async (*args)``.
        """
        if self._has_ended:
            _logs.detail("task_dropped", serves=self._serves)
        elif self._nursery is None:
            self._early.append((work, *args))
        else:
            self._nursery.start_soon(
                run_contained, self._serves, self._count, work, *args
            )

    @contextlib.asynccontextmanager
    async def opened(self):
        """Run tasks until the end of the block, which cancels them.

        A group that has ended may be opened again.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._has_ended = False
            early, self._early = self._early, []
            for task in early:
                self.start_soon(*task)
            try:
                yield
            finally:
                # The nursery takes tasks for as long as the block runs.
                self._has_ended = True
                nursery.cancel_scope.cancel()


async def _run_logged(background, *args):
    try:
        await background(*args)
    except Exception as exc:
        _logs.failure("background_failed", exc)


async def run_with_background(background, work, *args):
    """Run a background task until other work ends.

    An error of the work is raised as it is, not in an exception group.  One
    of the background task is logged and does not end the work.

    :param background: ``async (*args)``, cancelled when the work ends.
    :param work: ``async ()``.
    :param args: arguments of the background task.
    :returns: the result of the work.
    """
    result = None
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_logged, background, *args)
        try:
            result = await work()
        except Exception as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return result

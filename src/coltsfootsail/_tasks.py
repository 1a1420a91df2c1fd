"""Helpers for concurrent tasks."""

import trio


async def run_with_background(background, work, *args):
    """Run a background task until other work ends.

    An error of the work is raised as it is, not in an exception group.

    :param background: ``async (*args)``, cancelled when the work ends.
    :param work: ``async ()``.
    :param args: arguments of the background task.
    :returns: the result of the work.
    """
    result = None
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(background, *args)
        try:
            result = await work()
        except Exception as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return result

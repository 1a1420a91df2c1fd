"""Small patterns of concurrent tasks."""

import trio


async def run_with_background(background, work, *args):
    """Run a task for as long as other work lasts.

    Errors of the work are raised as they are, not in a group.

    :param background: ``async (*args)``, cancelled when the work ends.
    :param work: ``async ()``.
    :returns: what the work returns.
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

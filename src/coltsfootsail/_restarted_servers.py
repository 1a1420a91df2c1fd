"""Forgets what was learned of a server that has started again.

A server that keeps its name holds nothing from before, and nothing that it
stated holds any more.  Its claim and the times that a new holder waits stay:
they are about the nodes, not about the server.
"""


def forget(gateway, name):
    """Forget all of a server's start before the present one.

    :param gateway: the ``Gateway``.
    :param name: the server's name.
    """
    server = gateway.view.servers[name]
    born_ms = gateway.view.born_ms(name)
    others = gateway.view.servers.keys() - {name}
    for table in (
        gateway.balancer,
        gateway.limited_servers,
        gateway.crash_checks,
        gateway.reach,
    ):
        table.keep(others)
    gateway.limits.forget(name)
    gateway.refusals.forget(name)
    gateway.states.forget(name)
    gateway.speeds.forget(name, born_ms)
    gateway.engine_selector.forget(name)
    gateway.owned_engines.restart(name, born_ms)
    gateway.crashes.note_restarted(name)
    gateway.metrics.count("server_restarts", server.service)

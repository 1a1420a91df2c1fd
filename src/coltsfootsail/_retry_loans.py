"""Retries that nodes lend each other.

A node that has given a run up for another one, and has no retry left for it,
asks another node for one of its own, and sends at once.  The lender holds it
for longer than that takes, and then counts it as sent.
"""

import itertools
import random

import trio

from coltsfootsail import _logs
from coltsfootsail import _wire

ANSWER_S = 0.1  # for which a grant that is held meanwhile is good


class RetryLoans:
    """Lends retries to other nodes, and borrows from them.

    :param budget: the node's ``WindowBudget``.
    :param mesh: a ``Mesh``.
    """

    def __init__(self, budget, mesh):
        self._budget = budget
        self._mesh = mesh
        self._numbers = itertools.count(1)
        self._pending = {}

    def answer(self, node, msg):
        """Make the reply to a ``RetryRequest``."""
        is_lent = self._budget.lend(msg.service)
        _logs.detail(
            "retry_lent", node=node, service=msg.service, allowed=is_lent
        )
        return _wire.RetryReply(msg.number, is_lent)

    def handle_reply(self, node, msg):
        """Handle a ``RetryReply``."""
        answer = self._pending.get((node, msg.number))
        if answer is not None:
            answer.is_lent = msg.is_lent
            answer.event.set()

    async def borrow(self, service, request_id):
        """Ask a node for a retry.

        :param request_id: of the request that is to be sent, for the log.
        :returns: whether it may be sent now.
        """
        nodes = [
            node
            for node in self._mesh.linked_nodes()
            if self._mesh.knows(node, _wire.RetryRequest)
        ]
        if not nodes:
            return False
        node = random.choice(sorted(nodes))
        is_lent = await self._ask(node, service)
        _logs.detail(
            "retry_borrowed",
            id=request_id,
            service=service,
            node=node,
            allowed=is_lent,
        )
        return is_lent

    async def _ask(self, node, service):
        number = next(self._numbers)
        answer = _Answer()
        self._pending[node, number] = answer
        try:
            if self._mesh.send(node, _wire.RetryRequest(number, service)):
                with trio.move_on_after(ANSWER_S):
                    await answer.event.wait()
        finally:
            del self._pending[node, number]
        return answer.is_lent


class _Answer:
    """The answer that is waited for."""

    def __init__(self):
        self.event = trio.Event()
        self.is_lent = False

"""The node's lease in the KV service and its own proof of it.

The lease counts as valid from the moment the last successful renewal was
*sent*, less a margin, on a clock that runs on while the host sleeps.
"""

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions


class NodeLease:
    """One lease of one incarnation of a node.

    :param kv: a ``KvClient``.
    :param now: closure that reads the clock in seconds.
    :param ttl_s: length of the lease.
    :param margin_s: how much earlier the node stops to trust it.
    """

    def __init__(self, kv, now, ttl_s, margin_s):
        self._kv = kv
        self._now = now
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._sent_s = None
        self.number = 0
        self.kv_ok = False

    def valid(self):
        """Say whether the lease is surely held now."""
        return self.left_s() > 0

    def left_s(self):
        """Tell for how long the lease is surely still held."""
        if not self.number or self._sent_s is None:
            return 0.0
        age_s = self._now() - self._sent_s
        return max(0.0, self._ttl_s - self._margin_s - age_s)

    async def grant(self):
        """Get a new lease.

        :raises KvError: if the service did not answer.
        """
        sent_s = self._now()
        self.number = await self._kv.lease_grant(self._ttl_s)
        self._sent_s = sent_s

    async def renew(self):
        """Renew the lease.

        :returns: whether it still existed.
        :raises KvError: if the service did not answer.
        """
        sent_s = self._now()
        if await self._kv.lease_keepalive(self.number) <= 0:
            self.number = 0
            return False
        self._sent_s = sent_s
        return True

    async def revoke(self):
        """End the lease, and with it all claims."""
        number, self.number = self.number, 0
        if number:
            await self._kv.lease_revoke(number)

    async def run(self, renew_s, make_member, on_change):
        """Hold a lease for as long as the task runs.

        :param renew_s: mean time between renewals.
        :param make_member: closure that builds the ``Member`` record.
        :param on_change: called with ``"held"``, ``"lost"``, ``"kv_down"``
            or ``"kv_up"`` on each change.
        """
        backoff = _kv.Backoff(limit_s=renew_s)
        while True:
            try:
                await self._step(make_member, on_change)
            except exceptions.KvError:
                self._note_kv(False, on_change)
                await trio.sleep(0.1 + backoff.next_s())
                continue
            self._note_kv(True, on_change)
            backoff.reset()
            await trio.sleep(_kv.jittered(renew_s))

    def _note_kv(self, up, on_change):
        if up is not self.kv_ok:
            self.kv_ok = up
            on_change("kv_up" if up else "kv_down")

    async def _step(self, make_member, on_change):
        if self.number and await self.renew():
            return
        on_change("lost")
        await self.grant()
        try:
            await self.publish(make_member())
        except exceptions.KvError:
            self.number = 0
            raise
        on_change("held")

    async def publish(self, member):
        """Write the member record on the lease.

        :raises KvError: outcome unknown.
        """
        put = _kv.Put(
            _keys.member(member.node), _records.dumps(member), self.number
        )
        await self._kv.txn([], [put])

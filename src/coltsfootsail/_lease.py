"""The node's lease in the KV service, and whether it is surely still held.

The time to live is counted from the moment at which the last successful
renewal was *sent*, less a safety margin, on a clock that also counts the
time in which the host is suspended.
"""

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions


class NodeLease:
    """The lease of one incarnation of a node.

    :param kv: a ``KvClient``.
    :param now: closure that returns the time in seconds.
    :param ttl_s: time to live of the lease, in seconds.
    :param margin_s: how many seconds before the time to live has passed
        the node treats the lease as expired.
    """

    def __init__(self, kv, now, ttl_s, margin_s):
        self._kv = kv
        self._now = now
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._renewal_sent_s = None
        self._era = None
        self._renew_soon = trio.Event()
        self._renewals = None
        self.number = 0
        self.kv_ok = False

    def valid(self):
        """Tell whether the lease is surely held now."""
        return self.left_s() > 0

    def left_s(self):
        """Tell for how many seconds the lease is surely still held."""
        if not self.number or self._renewal_sent_s is None:
            return 0.0
        if self._era != self._kv.era:
            return 0.0
        age_s = self._now() - self._renewal_sent_s
        return max(0.0, self._ttl_s - self._margin_s - age_s)

    async def grant(self):
        """Obtain a new lease.

        :raises KvError: if the service fails or does not answer.
        """
        sent_s = self._now()
        self.number = await self._kv.lease_grant(self._ttl_s)
        self._era = self._kv.era
        self._renewal_sent_s = sent_s

    async def renew(self):
        """Renew the lease.

        A lease of an earlier era of the store is not renewed: its number
        may have been given to another node.

        :returns: whether the lease still existed.
        :raises KvError: if the service fails or does not answer.
        """
        if self._era != self._kv.era:
            self.number = 0
            return False
        sent_s = self._now()
        if await self._kv.lease_keepalive(self.number) <= 0:
            self.number = 0
            return False
        self._renewal_sent_s = sent_s
        return True

    async def revoke(self):
        """Revoke the lease, which also deletes all claims of the node.

        ``run`` does not replace it.
        """
        if self._renewals is not None:
            self._renewals.cancel()
        number, self.number = self.number, 0
        if number:
            await self._kv.lease_revoke(number)

    async def run(self, renew_s, make_member, on_change):
        """Renew the lease until cancelled; replace it when it is lost.

        Once it is revoked, neither is done.

        :param renew_s: mean seconds between renewals.
        :param make_member: closure that builds the ``Member`` record.
        :param on_change: called with ``"held"``, ``"lost"``, ``"kv_down"``
            or ``"kv_up"`` on each change.
        """
        with trio.CancelScope() as self._renewals:
            await self._keep(renew_s, make_member, on_change)
        await trio.sleep_forever()

    async def _keep(self, renew_s, make_member, on_change):
        backoff = _kv.Backoff(limit_s=renew_s)
        while True:
            try:
                await self._renew_or_replace(make_member, on_change)
            except exceptions.KvError:
                self._set_kv_ok(False, on_change)
                await trio.sleep(0.1 + backoff.next_s())
                continue
            self._set_kv_ok(True, on_change)
            backoff.reset()
            self._renew_soon = trio.Event()
            with trio.move_on_after(_kv.jittered(renew_s)):
                await self._renew_soon.wait()

    def renew_soon(self):
        """Renew or replace the lease without waiting for its turn."""
        self._renew_soon.set()

    def _set_kv_ok(self, kv_ok, on_change):
        if kv_ok is not self.kv_ok:
            self.kv_ok = kv_ok
            on_change("kv_up" if kv_ok else "kv_down")

    async def _renew_or_replace(self, make_member, on_change):
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
        """Write the member record under the lease.

        :raises KvError: if the service fails; whether the record was
            written is then unknown.
        """
        put = _kv.Put(
            _keys.member(member.node), _records.dumps(member), self.number
        )
        await self._kv.txn([], [put])

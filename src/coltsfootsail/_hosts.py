"""The edge to the platform's list of live and leaving hosts."""

import trio

from coltsfootsail import _kv

POLL_S = 1.0
GONE_READS = 3


class HostList:
    """What the host list last said; it lags and may be down.

    :param client: an ``HttpClient``.
    :param address: its address; empty if there is none.
    :param now: closure that reads the clock.
    """

    def __init__(self, client, address, now):
        self._client = client
        self._address = address
        self._now = now
        self._states = {}
        self._absent = {}
        self._absent_since_s = {}

    @property
    def configured(self):
        """Whether there is a list to ask."""
        return bool(self._address)

    def is_leaving(self, host):
        """Say whether a host is leaving or gone."""
        if host in self._absent_since_s:
            return True
        return self._states.get(host) == "leaving"

    def gone_s(self, host):
        """Tell for how long a host has been off the list.

        :returns: seconds; negative while it may be there.
        """
        since_s = self._absent_since_s.get(host)
        return -1.0 if since_s is None else self._now() - since_s

    def apply(self, hosts):
        """Take an answer of the list."""
        states = {row["name"]: row["state"] for row in hosts}
        for name in self._states.keys() | self._absent.keys():
            if name in states:
                self._absent.pop(name, None)
                self._absent_since_s.pop(name, None)
                continue
            self._absent[name] = self._absent.get(name, 0) + 1
            if self._absent[name] >= GONE_READS:
                self._absent_since_s.setdefault(name, self._now())
        self._states = states

    async def run(self, on_change):
        """Ask the list for as long as the task runs."""
        while self._address:
            before = (self._states, dict(self._absent_since_s))
            try:
                status, value = await self._client.call_json(
                    self._address, "GET", "/hosts", timeout_s=2.0
                )
                if status == 200:
                    self.apply(value["hosts"])
            except (OSError, KeyError, TypeError):
                pass
            if (self._states, self._absent_since_s) != before:
                on_change()
            await trio.sleep(_kv.jittered(POLL_S))

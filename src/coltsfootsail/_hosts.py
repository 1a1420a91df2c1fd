"""Client for the platform's list of live and leaving hosts."""

import trio

from coltsfootsail import _kv

POLL_INTERVAL_S = 1.0
ABSENT_POLLS_MIN = 3


class HostList:
    """The state of the hosts by the last answer of the host list.

    The list lags behind the hosts' real state and may be unavailable.

    :param client: an ``HttpClient``.
    :param address: address of the host list; empty if there is none.
    :param now: callable that returns the current time in seconds.
    """

    def __init__(self, client, address, now):
        self._client = client
        self._address = address
        self._now = now
        self._states = {}
        self._absent_polls = {}
        self._absent_since_s = {}

    @property
    def configured(self):
        """Whether a host list is configured."""
        return bool(self._address)

    def is_leaving(self, host):
        """Return whether a host is leaving or gone."""
        if host in self._absent_since_s:
            return True
        return self._states.get(host) == "leaving"

    def gone_s(self, host):
        """Return for how long a host has been absent from the list.

        :returns: seconds; negative while the host may still exist.
        """
        since_s = self._absent_since_s.get(host)
        return -1.0 if since_s is None else self._now() - since_s

    def apply(self, hosts):
        """Apply an answer of the host list.

        A host counts as gone only after several answers without it.

        :param hosts: list of dicts with the name and state of each host.
        """
        states = {row["name"]: row["state"] for row in hosts}
        for name in self._states.keys() | self._absent_polls.keys():
            if name in states:
                self._absent_polls.pop(name, None)
                self._absent_since_s.pop(name, None)
                continue
            self._absent_polls[name] = self._absent_polls.get(name, 0) + 1
            if self._absent_polls[name] >= ABSENT_POLLS_MIN:
                self._absent_since_s.setdefault(name, self._now())
        self._states = states

    async def run(self, on_change):
        """Poll the host list until the task is cancelled.

        :param on_change: called after each change of a host's state.
        """
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
            await trio.sleep(_kv.jittered(POLL_INTERVAL_S))

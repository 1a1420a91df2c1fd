"""Start-time fair queueing over workspaces, by work.

Answers a workspace that sends many times its usual load: each workspace that
has requests waiting gets the same share of an engine's time, and what one
does not use the others get.  The code does no I/O and has no clock.

Each workspace has a tag, the work that it was given so far.  Its next request
starts at that tag, the one after it later by the work of the first.  Requests
start in the order of these start tags.  The virtual time is the greatest
start tag of a request that has started.  A workspace that begins to wait
again starts at the virtual time at the earliest, so that it saves up no share
while it asks for nothing.
"""

import collections


class FairShare:
    """The shares of the workspaces whose requests have one priority."""

    def __init__(self):
        self._virtual_s = 0.0
        self._tags = {}
        self._waiting = collections.Counter()

    def __len__(self):
        return len(self._tags)

    def tag(self, workspace):
        """Get the start tag of a workspace's next request."""
        tag = self._tags.get(workspace, 0.0)
        if workspace in self._waiting:
            return tag
        return max(tag, self._virtual_s)

    def lead_s(self, start_tag):
        """Get by how much a start tag is above the fair share now."""
        return start_tag - self._virtual_s

    def join(self, workspace):
        """Note that one more request of a workspace waits."""
        self._tags[workspace] = self.tag(workspace)
        self._waiting[workspace] += 1

    def leave(self, workspace):
        """Note that a request of a workspace no longer waits."""
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            del self._waiting[workspace]
            self._forget_idle()

    def start(self, workspace, work_s):
        """Charge the work of a waiting request that starts."""
        start_tag = self.tag(workspace)
        self._virtual_s = max(self._virtual_s, start_tag)
        self._tags[workspace] = start_tag + work_s
        self.leave(workspace)

    def correct(self, workspace, difference_s):
        """Correct what was charged by what a request took in fact."""
        tag = self.tag(workspace) + difference_s
        if workspace in self._waiting or tag > self._virtual_s:
            self._tags[workspace] = tag

    def _forget_idle(self):
        """Forget the workspaces that would start at the virtual time."""
        for workspace in [
            name
            for name, tag in self._tags.items()
            if tag <= self._virtual_s and name not in self._waiting
        ]:
            del self._tags[workspace]

    def start_tags(self, requests):
        """Get the start tags of requests.

        :param requests: pairs of workspace and work, each workspace's own in
            the order in which they are to start.
        :returns: list of start tags, in the order of ``requests``.
        """
        next_tags = {}
        start_tags = []
        for workspace, work_s in requests:
            tag = next_tags.get(workspace)
            if tag is None:
                tag = self.tag(workspace)
            start_tags.append(tag)
            next_tags[workspace] = tag + work_s
        return start_tags

"""The admin listener: metrics, status and configuration."""

import hashlib
import hmac

from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _records
from coltsfootsail import _schema
from coltsfootsail import exceptions

LIMITS = _http.HttpLimits(body_bytes=33_554_432)


def token_hash(token):
    """Hash an operator's token for the settings.

    Tokens are long random texts, so that one plain hash suffices.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def operation_from_plain(value):
    """Build an operation from its JSON form.

    :param value: dict with section, key, old and new; null is no entry.
    :returns: an ``Operation``.
    :raises BadField: if it is not well formed.
    :raises DocumentError: if an entry is not valid.
    """
    if not isinstance(value, dict):
        raise exceptions.BadField("an operation is a table")
    section, key = value.get("section"), value.get("key")
    if section not in _document.SECTIONS or not isinstance(key, str):
        raise exceptions.BadField("an operation needs section and key")
    return _records.Operation(
        section=section,
        key=key,
        old=_entry_bytes(section, key, value.get("old")),
        new=_entry_bytes(section, key, value.get("new")),
    )


def _entry_bytes(section, key, value):
    if value is None:
        return b""
    entry, problems = _schema.structure(value, _document.SECTIONS[section])
    if problems:
        raise exceptions.DocumentError(
            [
                _schema.Problem(
                    f"{section}.{key}.{problem.path}",
                    problem.found,
                    problem.expected,
                )
                for problem in problems
            ]
        )
    return _config.encode_entry(entry)


def operation_to_plain(operation):
    """Build the JSON form of an operation."""
    return {
        "section": operation.section,
        "key": operation.key,
        "old": _entry_plain(operation.section, operation.old),
        "new": _entry_plain(operation.section, operation.new),
    }


def _entry_plain(section, data):
    if not data:
        return None
    return _schema.unstructure(_config.decode_entry(section, data))


def change_to_plain(change):
    """Build the JSON form of an accepted change."""
    return {
        "revision": change.revision,
        "when": change.when,
        "operator": change.operator,
        "team": change.team,
        "operations": [
            operation_to_plain(operation) for operation in change.operations
        ],
    }


class Admin:
    """Answers operators on one node.

    :param node: the ``Node``.
    """

    def __init__(self, node):
        self._node = node

    async def serve(self, stream):
        """Serve one operator's connection."""
        await _http.serve_connection(stream, LIMITS, self._handle)

    async def _handle(self, req, resp):
        handle = _ROUTES.get((req.method, req.path))
        if handle is None:
            raise exceptions.NotFound()
        self._authorize(req)
        try:
            await handle(self, req, resp)
        except exceptions.SettingsError as exc:
            await resp.reply_json(_problems_json(exc), exc.status)

    def _authorize(self, req):
        wanted = self._node.settings.admin_token_hash
        if not wanted or req.path == "/metrics":
            return
        token = req.header("authorization").removeprefix("Bearer ")
        if not hmac.compare_digest(token_hash(token), wanted):
            raise exceptions.Unauthorized()

    async def _metrics(self, req, resp):
        kind = [("content-type", "text/plain; version=0.0.4")]
        await resp.reply(200, self._node.metrics.render(), kind)

    async def _status(self, req, resp):
        await resp.reply_json(status(self._node))

    async def _config(self, req, resp):
        stored = self._node.stored
        await resp.reply_json(
            {
                "revision": stored.root.revision,
                "document": _schema.unstructure(stored.document),
            }
        )

    async def _history(self, req, resp):
        changes = await _config.history(self._node.kv)
        await resp.reply_json(
            {"changes": [change_to_plain(change) for change in changes]}
        )

    async def _edit(self, req, resp):
        value = req.json()
        rows = value.get("operations")
        if not isinstance(rows, list) or not rows:
            raise exceptions.BadField("operations is not a list")
        edit = _config.Edit(
            operations=tuple(operation_from_plain(row) for row in rows),
            operator=str(value.get("operator", "")),
            team=str(value.get("team", "")),
        )
        if value.get("dry_run"):
            document = _config.apply_operations(
                self._node.document(), edit.operations
            )
            problems = _document.check(document)
            if problems:
                raise exceptions.DocumentError(problems)
            await resp.reply_json({"revision": 0, "dry_run": True})
            return
        revision = await _config.apply(self._node.kv, edit, self._node.stored)
        await resp.reply_json({"revision": revision})


def _problems_json(exc):
    value = _http.error_json(exc)
    value["error"]["problems"] = [
        {
            "path": problem.path,
            "found": problem.found,
            "expected": problem.expected,
        }
        for problem in exc.problems
    ]
    return value


def status(node):
    """Describe what a node does and sees.

    :returns: dict for operators.
    """
    members = node.cluster.members()
    return {
        "node": node.identity.node,
        "data_centre": node.identity.data_centre,
        "state": node.readiness(),
        "revision": node.stored.root.revision,
        "lease_valid": node.lease.valid(),
        "kv_ok": node.lease.kv_ok,
        "requests": node.frontend.active,
        "links": sorted(node.mesh.linked_nodes()),
        "members": _records.describe_members(members),
        "endpoints": {
            name: _endpoint_status(owner)
            for name, owner in sorted(node.owners.items())
        },
        "counters": node.metrics.counter_totals(),
    }


def _endpoint_status(owner):
    scheduler = owner.scheduler
    return {
        "active": owner.active,
        "ready": owner.ready,
        "draining": owner.draining,
        "fence": owner.fence,
        "running": scheduler.running,
        "waiting": scheduler.waiting_count,
        "resident": {
            adapter: slot.state.value
            for adapter, slot in sorted(scheduler.resident.items())
        },
    }


_ROUTES = {
    ("GET", "/metrics"): Admin._metrics,
    ("GET", "/status"): Admin._status,
    ("GET", "/config"): Admin._config,
    ("GET", "/config/history"): Admin._history,
    ("POST", "/config/edit"): Admin._edit,
}

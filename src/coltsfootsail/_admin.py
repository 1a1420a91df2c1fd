"""The HTTP API for operators: metrics, status and configuration."""

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

    Tokens are long and random, so a plain hash without a salt suffices.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def operation_from_plain(value):
    """Build an operation from its JSON form.

    :param value: dict with section, key, old and new; an old or new of
        None means that there is no entry.
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
        old=_encode_entry(section, key, value.get("old")),
        new=_encode_entry(section, key, value.get("new")),
    )


def _encode_entry(section, key, value):
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
        "old": _decode_entry(operation.section, operation.old),
        "new": _decode_entry(operation.section, operation.new),
    }


def _decode_entry(section, data):
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

    :param node: the ``Node`` whose components it uses.
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
            await resp.reply_json(_error_with_problems(exc), exc.status)

    def _authorize(self, req):
        expected_hash = self._node.settings.admin_token_hash
        if not expected_hash or req.path == "/metrics":
            return
        token = req.header("authorization").removeprefix("Bearer ")
        if not hmac.compare_digest(token_hash(token), expected_hash):
            raise exceptions.Unauthorized()

    async def _metrics(self, req, resp):
        headers = [("content-type", "text/plain; version=0.0.4")]
        await resp.reply(200, self._node.metrics.render(), headers)

    async def _status(self, req, resp):
        await resp.reply_json(status(self._node))

    async def _config(self, req, resp):
        stored = self._node.stored_config
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
        plain_operations = value.get("operations")
        if not isinstance(plain_operations, list) or not plain_operations:
            raise exceptions.BadField("operations is not a list")
        edit = _config.Edit(
            operations=tuple(
                operation_from_plain(plain) for plain in plain_operations
            ),
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
        revision = await _config.apply(
            self._node.kv, edit, self._node.stored_config
        )
        await resp.reply_json({"revision": revision})


def _error_with_problems(exc):
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
    """Describe the state of a node for operators.

    :returns: dict of plain data.
    """
    members = node.cluster.members()
    return {
        "node": node.identity.node,
        "data_centre": node.identity.data_centre,
        "state": node.readiness(),
        "revision": node.stored_config.root.revision,
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

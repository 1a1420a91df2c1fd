"""Client of the platform's store, with the interface of the KV client."""

import base64
import urllib.parse

import trio

from coltsfootsail import _eras
from coltsfootsail import _kv
from coltsfootsail import exceptions

CALL_TIMEOUT_S = 1.0
# A page has about 500 items or 1 MB, but for the last item's value.
PAGE_BYTES_MAX = 4_194_304
CHANGES_BYTES_MAX = 16_777_216
WRITE_ANSWER_BYTES_MAX = 65_536
ENTRIES_BYTES_MAX = 67_108_864  # of all pages of a list
ENTRY_BYTES = 256  # of an entry without its key and value
LIST_TIMEOUT_S = 120.0  # for all pages
WATCH_SLACK_S = 0.7  # added to the time that the store may hold a watch
NO_REVISION = 0  # of a transaction that wrote nothing
ERA = "store-era"  # header of all answers
_READS = frozenset({"range", "get"})  # their answers hold in any era
_LIMITS_BYTES = {
    "range": PAGE_BYTES_MAX,
    "get": PAGE_BYTES_MAX,
    "watch": CHANGES_BYTES_MAX,
}


def _stated_era(headers):
    """Get the era that an answer states, None if it states none."""
    for name, value in headers:
        if name == ERA and value.strip().isdecimal():
            return int(value)
    return None


def _decode_entry(raw):
    return _kv.Entry(
        key=raw["key"],
        value=base64.b64decode(raw.get("value", "")),
        create_revision=int(raw.get("created", 0)),
        mod_revision=int(raw.get("rev", 0)),
        lease=int(raw.get("lease", 0)),
    )


def _size_bytes(entry):
    """Get about how much memory an entry takes."""
    return ENTRY_BYTES + len(entry.key) + len(entry.value)


def _decode_event(raw):
    return _kv.Event(_decode_entry(raw), bool(raw.get("deleted")))


def _encode_put(put):
    row = {
        "key": put.key,
        "value": base64.b64encode(put.value).decode("ascii"),
    }
    if put.lease:
        row["lease"] = put.lease
    return row


class StoreClient:
    """Calls the platform's store, with the methods of ``_kv.KvClient``.

    A watch, a write and a renewal raise ``KvEraChanged`` if the store came
    back from an older copy since they were sent: what they refer to, such
    as a revision or a lease, may be another one now.

    :param client: an ``HttpClient``.
    :param address: ``"ip:port"`` of the store.
    :param count: called with the name of the operation of each call.
    :param on_new_era: ``(old era, new era)``, called when the store came
        back from an older copy.
    """

    def __init__(
        self,
        client,
        address,
        count=lambda operation: None,
        on_new_era=lambda old, new: None,
    ):
        self._client = client
        self._address = address
        self._count = count
        self._eras = _eras.EraTracker(on_new_era)

    @property
    def era(self):
        """The highest era that the store stated."""
        return self._eras.era

    async def _call(self, operation, method, target, value=None, **kwargs):
        self._count(operation)
        kwargs.setdefault("timeout_s", CALL_TIMEOUT_S)
        kwargs["limit_bytes"] = _LIMITS_BYTES.get(
            operation, WRITE_ANSWER_BYTES_MAX
        )
        sent_under = self._eras.sent_under()
        try:
            call = self._client.call_json_with_headers
            status, headers, answer = await call(
                self._address, method, target, value, **kwargs
            )
        except OSError as exc:
            raise exceptions.KvError(f"{operation}: {exc!r}") from exc
        self._eras.accept(_stated_era(headers))
        if operation not in _READS:
            self._eras.check_unchanged(sent_under)
        return status, answer

    async def _get(self, operation, target, query, **kwargs):
        text = urllib.parse.urlencode(query)
        status, answer = await self._call(
            operation, "GET", f"{target}?{text}", **kwargs
        )
        if status == 410:
            raise exceptions.KvHistoryGone(operation)
        if status not in (200, 404):
            raise exceptions.KvError(f"{operation}: status {status}")
        return status, answer

    async def range(self, prefix):
        """Read all entries under a prefix, page by page.

        The snapshot has the revision of the first page, so that a watch
        from there also reports changes made while pages were read.

        :returns: a ``Snapshot``.
        :raises KvError: if the store did not answer, or its pages do not
            end.
        :raises KvEraChanged: if the pages are of different eras.
        """
        try:
            with trio.fail_after(LIST_TIMEOUT_S):
                return await self._read_pages(prefix)
        except trio.TooSlowError as exc:
            raise exceptions.KvError("range: the pages do not end") from exc

    async def _read_pages(self, prefix):
        entries = []
        size_bytes = 0
        revision = None
        query = {"prefix": prefix}
        _, answer = await self._get("range", "/v1/kv-range", query)
        era = self.era
        while True:
            try:
                page = [_decode_entry(raw) for raw in answer["items"]]
                page_revision = int(answer["storeRevision"])
            except (KeyError, TypeError, ValueError) as exc:
                raise exceptions.KvError(f"range: {exc!r}") from exc
            entries += page
            size_bytes += sum(map(_size_bytes, page))
            if size_bytes > ENTRIES_BYTES_MAX:
                raise exceptions.KvError("range: too many entries")
            revision = page_revision if revision is None else revision
            if not answer.get("hasMore") or not page:
                return _kv.Snapshot(tuple(entries), revision, era)
            query["after"] = page[-1].key
            _, answer = await self._get("range", "/v1/kv-range", query)
            self._eras.check_unchanged(era)

    async def get(self, key):
        """Read one key.

        :returns: an ``Entry`` or None.
        :raises KvError: if the store did not answer.
        """
        status, answer = await self._get("get", "/v1/kv-key", {"key": key})
        return _decode_entry(answer) if status == 200 else None

    async def changes(self, prefix, after, wait_s):
        """Wait for changes under a prefix.

        :param after: revision after which changes are reported.
        :param wait_s: how long the store may hold the call.
        :returns: tuple of ``Event`` list and the revision to continue from.
        :raises KvHistoryGone: if the store no longer has the history since
            that revision, so that the prefix must be read again.
        :raises KvError: if the store did not answer.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "waitMs": round(wait_s * 1000),
        }
        _, answer = await self._get(
            "watch",
            "/v1/kv-watch",
            query,
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        try:
            events = [_decode_event(raw) for raw in answer["events"]]
            return events, int(answer["storeRevision"])
        except (KeyError, TypeError, ValueError) as exc:
            raise exceptions.KvError(f"watch: {exc!r}") from exc

    async def txn(self, compares, operations):
        """Apply operations in one transaction if all comparisons hold.

        :param compares: sequence of ``Compare`` on mod revisions.
        :param operations: sequence of ``Put`` and ``Delete``.
        :returns: a ``TxnResult``.
        :raises KvError: if it is unknown whether they were applied.
        """
        puts = [item for item in operations if isinstance(item, _kv.Put)]
        drops = [item for item in operations if isinstance(item, _kv.Delete)]
        value = {
            "expected": [
                {"key": item.key, "rev": item.revision} for item in compares
            ],
            "writes": [_encode_put(put) for put in puts],
            "drop": [item.key for item in drops],
        }
        status, answer = await self._call("txn", "POST", "/v1/kv-txn", value)
        if status == 412:
            return _kv.TxnResult(False, NO_REVISION)
        if status != 200:
            raise exceptions.KvError(f"txn: status {status}")
        return _kv.TxnResult(True, int(answer["rev"]))

    async def lease_grant(self, ttl_s):
        """Create a lease.

        :returns: the lease's number.
        :raises KvError: if the store did not answer.
        """
        value = {"ttlMs": round(ttl_s * 1000)}
        status, answer = await self._call(
            "lease_grant", "POST", "/v1/kv-lease", value
        )
        if status != 200:
            raise exceptions.KvError(f"lease_grant: status {status}")
        return int(answer["lease"])

    async def lease_keepalive(self, lease):
        """Renew a lease.

        :returns: its length in seconds, 0 if it does not exist any more.
        :raises KvError: if the store did not answer.
        """
        status, answer = await self._call(
            "lease_keepalive", "POST", f"/v1/kv-keep/{lease}"
        )
        if status == 404:
            return 0
        if status != 200:
            raise exceptions.KvError(f"lease_keepalive: status {status}")
        return int(answer["ttlMs"]) / 1000

    async def lease_revoke(self, lease):
        """End a lease and delete its keys.

        :raises KvError: if the store did not answer.
        """
        await self._call("lease_revoke", "DELETE", f"/v1/kv-lease-end/{lease}")

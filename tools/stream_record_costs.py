"""Prints what the records of streams cost at several deployment sizes.

    python tools/stream_record_costs.py

The slots of one node are made with the real modules in simulated time; sizes
are of the store's watch events, and times are measured on this machine.
"""

import json
import time

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import _stream_origins
from coltsfootsail import _stream_records
from coltsfootsail import _view
from coltsfootsail.platform import store

# Nodes, and streams of services with several versions begun a second.
SIZES = ((9, 120.0), (77, 193.0), (330, 17_000.0))
RUN_S = 300.0
PAGE_ITEMS = 500
LOOKUPS = 20


def _event_json(key, record):
    put = _kv.Put(key, _records.dumps(record), 1)
    row = {**store._encode_put(put), "rev": 10**6, "created": 10**6}
    return json.dumps(row)


def _run_node(nodes, streams_per_s):
    """Let one node write for ``RUN_S``.

    :returns: tuple of writes, bytes written and the slots stored at the end.
    """
    ring = _stream_records.SlotRing(_stream_origins.KEEP_S)
    interval_s = _stream_records.write_interval_s(nodes)
    stored, texts = {}, []
    begun = 0
    for step in range(1, int(RUN_S / interval_s)):
        now_s = step * interval_s
        while begun < now_s * streams_per_s / nodes:
            begun += 1
            version = ("engines", f"v{begun % 2}")
            ring.add(f"request-{begun}", version, now_s)
        batch = ring.take(now_s)
        for number, record in batch.slots.items():
            key = _keys.stream_slot("node-000", "0" * 12, number)
            texts.append(_event_json(key, record))
            stored[number] = record
        for number in batch.deleted:
            del stored[number]
    return texts, stored


def _time_event_us(texts):
    """Measure the decoding and applying of one watch event."""
    view = _view.DeploymentView(None, lambda: 0.0, lambda changed: None)
    begun_s = time.perf_counter()
    for text in texts:
        row = json.loads(text)
        view.apply_entry(store._decode_entry(row))
    return (time.perf_counter() - begun_s) / len(texts) * 1e6


def _time_lookup_ms(slots):
    begun_s = time.perf_counter()
    for number in range(LOOKUPS):
        _stream_records.find_versions(slots, f"absent-{number}")
    return (time.perf_counter() - begun_s) / LOOKUPS * 1e3


def main():
    """Print a row of a table for each size."""
    print(
        "| nodes | streams/s | interval s | writes/s | KB/s to a node "
        "| core % | keys | pages | MB read at start | lookup ms |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for nodes, streams_per_s in SIZES:
        texts, stored = _run_node(nodes, streams_per_s)
        writes_per_s = nodes * len(texts) / RUN_S
        mean_bytes = sum(map(len, texts)) / len(texts)
        keys = nodes * len(stored)
        start_bytes = (
            keys
            * sum(
                len(_event_json(_keys.stream_slot("node-000", "0" * 12, n), r))
                for n, r in stored.items()
            )
            / len(stored)
        )
        lookup_ms = _time_lookup_ms(list(stored.values()) * nodes)
        core = writes_per_s * _time_event_us(texts) / 1e4
        print(
            f"| {nodes} | {streams_per_s:.0f} "
            f"| {_stream_records.write_interval_s(nodes):.2f} "
            f"| {writes_per_s:.0f} "
            f"| {writes_per_s * mean_bytes / 1e3:.1f} | {core:.2f} | {keys} "
            f"| {-(-keys // PAGE_ITEMS)} | {start_bytes / 1e6:.2f} "
            f"| {lookup_ms:.2f} |"
        )


if __name__ == "__main__":
    main()
